import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {MembershipSimulation, type SimulatedDaemon} from '../../../bench/simulation/membership-simulation.ts';

type Fault = {
	readonly kind: 'kill' | 'pause' | 'cut zone' | 'cut daemon' | 'restart with an old clock';
	readonly target: number;
	readonly startS: number;
	readonly durationS: number;
};

const zones = 3;
const daemonsPerZone = 3;
const settleMs = 5000;
const faultWindowS = 20;
const recoveryMs = 15_000;
const maxSpreadMs = 3000;

const fault: fc.Arbitrary<Fault> = fc.record({
	kind: fc.constantFrom('kill', 'pause', 'cut zone', 'cut daemon', 'restart with an old clock'),
	target: fc.nat({max: (zones * daemonsPerZone) - 1}),
	startS: fc.nat({max: 5}),
	durationS: fc.integer({min: 1, max: 15}),
});

/** A simulation with its active faults; each message is checked against the current partitions. */
class Run {
	readonly simulation: MembershipSimulation;
	readonly #cutDaemons = new Map<SimulatedDaemon, number>();
	readonly #cutZones = new Map<string, number>();

	constructor(seed: number) {
		this.simulation = new MembershipSimulation({
			zones, daemonsPerZone, seed, measuresBytes: false, isCut: (from, to) => this.isCut(from, to),
		});
	}

	isCut(from: SimulatedDaemon, to: SimulatedDaemon): boolean {
		return this.#cutDaemons.has(from) || this.#cutDaemons.has(to)
			|| (from.zone !== to.zone && (this.#cutZones.has(from.zone) || this.#cutZones.has(to.zone)));
	}

	begin({kind, target}: Fault): void {
		const daemon = this.simulation.daemons[target]!;
		switch (kind) {
			case 'kill': {
				this.simulation.kill(daemon);
				return;
			}

			case 'pause': {
				this.simulation.pause(daemon);
				return;
			}

			case 'cut zone': {
				this.#cutZones.set(daemon.zone, (this.#cutZones.get(daemon.zone) ?? 0) + 1);
				return;
			}

			case 'cut daemon': {
				this.#cutDaemons.set(daemon, (this.#cutDaemons.get(daemon) ?? 0) + 1);
				return;
			}

			case 'restart with an old clock': {
				this.simulation.restart(daemon, 1_600_000_000_000);
			}
		}
	}

	end({kind, target}: Fault): void {
		const daemon = this.simulation.daemons[target]!;
		if (kind === 'cut zone') {
			removeCut(this.#cutZones, daemon.zone);
		} else if (kind === 'cut daemon') {
			removeCut(this.#cutDaemons, daemon);
		} else if (daemon.condition === 'down') {
			this.simulation.restart(daemon);
		} else if (daemon.condition === 'paused') {
			this.simulation.resume(daemon);
		}
	}

	get running(): readonly SimulatedDaemon[] {
		return this.simulation.daemons.filter(daemon => daemon.condition === 'running');
	}
}

function removeCut<Key>(cuts: Map<Key, number>, key: Key): void {
	const count = (cuts.get(key) ?? 1) - 1;
	if (count === 0) {
		cuts.delete(key);
	} else {
		cuts.set(key, count);
	}
}

function conditionsOf(observer: SimulatedDaemon): ReadonlyMap<string, string> {
	return new Map(observer.membership.members.map(member => [member.id, member.condition]));
}

function observersNotSeeingDead(run: Run, victim: SimulatedDaemon, except: SimulatedDaemon | undefined): readonly string[] {
	return run.running
		.filter(observer => observer !== except && conditionsOf(observer).get(victim.id) !== 'dead')
		.map(observer => observer.id);
}

/** Creates a check that fails when an observer's known incarnation of a member decreases. */
function createIncarnationCheck(simulation: MembershipSimulation): () => void {
	const highest = new Map<string, number>();
	return () => {
		for (const observer of simulation.daemons) {
			for (const member of observer.membership.members) {
				// A restarted observer knows no members yet and is therefore tracked separately.
				const key = `${observer.id} ${observer.membership.incarnation} ${member.id}`;
				expect(member.incarnation).toBeGreaterThanOrEqual(highest.get(key) ?? 0);
				highest.set(key, member.incarnation);
			}
		}
	};
}

function play(seed: number, faults: readonly Fault[], eachHalfSecond: (run: Run, elapsedMs: number) => void): Run {
	const run = new Run(seed);
	run.simulation.run(settleMs);
	const checkIncarnations = createIncarnationCheck(run.simulation);
	for (let elapsedMs = 0; elapsedMs < (faultWindowS * 1000) + recoveryMs; elapsedMs += 500) {
		for (const item of faults) {
			if (item.startS * 1000 === elapsedMs) {
				run.begin(item);
			}

			if ((item.startS + item.durationS) * 1000 === elapsedMs) {
				run.end(item);
			}
		}

		run.simulation.run(500);
		checkIncarnations();
		eachHalfSecond(run, elapsedMs);
	}

	return run;
}

describe('membership under fault schedules', () => {
	it('considers every live reachable member alive again after one or two faults, and never lowers a known incarnation', () => {
		fc.assert(fc.property(fc.nat(1000), fc.array(fault, {minLength: 1, maxLength: 2}), (seed, faults) => {
			const {simulation} = play(seed, faults, () => {
				// Only the final state and the incarnations are checked.
			});
			for (const observer of simulation.daemons) {
				expect([...conditionsOf(observer).values()], observer.id).toEqual(Array.from({length: (zones * daemonsPerZone) - 1}, () => 'alive'));
			}
		}), {seed: 4, numRuns: 25});
	});

	it('reconnects a daemon that was cut off from all others of a single zone, although both sides consider each other dead', () => {
		let isCut = false;
		const isFirst = ({id}: SimulatedDaemon) => id === 'daemon-zone-0-0';
		const simulation = new MembershipSimulation({
			zones: 1, daemonsPerZone: 4, seed: 7, measuresBytes: false, isCut: (from, to) => isCut && (isFirst(from) || isFirst(to)),
		});
		simulation.run(settleMs);
		isCut = true;
		simulation.run(recoveryMs);
		expect([...conditionsOf(simulation.daemons[0]!).values()]).toEqual(['dead', 'dead', 'dead']);
		isCut = false;
		simulation.run(recoveryMs);
		for (const observer of simulation.daemons) {
			expect([...conditionsOf(observer).values()], observer.id).toEqual(['alive', 'alive', 'alive']);
		}
	});

	it('marks a killed member dead at every observer within 12 s during another fault, so that its work is taken over', () => {
		const kill = fc.record({
			kind: fc.constant('kill' as const), target: fc.constant(0), startS: fc.constant(0), durationS: fc.constant(30),
		});
		fc.assert(fc.property(fc.nat(1000), kill, fault.filter(({kind, target}) => target !== 0 && !kind.startsWith('cut')), (seed, killed, other) => {
			play(seed, [killed, other], (run, elapsedMs) => {
				const victim = run.simulation.daemons[0]!;
				if (elapsedMs < 12_000 || victim.condition !== 'down') {
					return;
				}

				const isBusy = elapsedMs < (other.startS + other.durationS + 12) * 1000;
				const busy = isBusy ? run.simulation.daemons[other.target] : undefined;
				expect(observersNotSeeingDead(run, victim, busy)).toEqual([]);
			});
		}), {seed: 5, numRuns: 12});
	});

	it('spreads a leaving mark within 3 s to every running daemon that is connected to the observer, so that the upstream gets no new work', () => {
		fc.assert(fc.property(fc.nat(1000), fault, fc.nat({max: 8}), (seed, item, witness) => {
			const run = new Run(seed);
			run.simulation.run(settleMs);
			run.begin(item);
			run.simulation.run(item.durationS * 1000);
			const origin = run.simulation.daemons[witness]!;
			fc.pre(origin.condition === 'running');
			origin.membership.reportLeaving({upstream: 'engine', leaving: true, observedAt: run.simulation.now}, run.simulation.now);
			run.simulation.flush(origin);
			run.simulation.run(maxSpreadMs);
			for (const daemon of run.running.filter(other => !run.isCut(origin, other))) {
				expect(daemon.membership.isLeaving('engine'), daemon.id).toBe(true);
			}
		}), {seed: 6, numRuns: 100});
	});
});
