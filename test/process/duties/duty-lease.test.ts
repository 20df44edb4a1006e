import {setImmediate as nextTurn} from 'node:timers/promises';
import {describe, expect, test} from 'vitest';
import {ManualClock} from '../../../src/process/clock.ts';
import {isDutyCandidate} from '../../../src/process/duties/duty-candidacy.ts';
import {StoredDutyLease} from '../../../src/process/duties/stored-duty-lease.ts';
import {Log} from '../../../src/process/log.ts';
import {MemoryTable} from '../../../src/stand-ins/platform/memory-table.ts';
import {FaultyTable, type CallFault} from '../../fixtures/faulty-table.ts';

const stepMs = 250;
const alternationMs = 3000;
/** Longest time from the loss of a holder to the first call of its successor, in milliseconds. */
const maxSuccessionMs = 8500;

const ignore = () => undefined;

class Candidate implements AsyncDisposable {
	readonly clock = new ManualClock(1000);
	readonly steadyClock = new ManualClock(1000);
	readonly lease: StoredDutyLease;
	rank: number;
	isRunning = true;
	fault: CallFault = 'none';
	calls = 0;

	constructor(table: MemoryTable, name: string, rank: number) {
		this.rank = rank;
		this.lease = new StoredDutyLease({
			clock: this.clock,
			steadyClock: this.steadyClock,
			table: new FaultyTable(table, () => {
				this.calls += 1;
				return this.fault;
			}),
			taskLog: new Log({
				debug: ignore, info: ignore, warn: ignore, error: ignore,
			}, 'lease'),
			report: ignore,
			daemon: name,
			rank: () => this.rank,
			alternationMs,
		});
		this.lease.run();
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await this.lease[Symbol.asyncDispose]();
	}
}

/** Candidates of one lease; each call that one could make at any step is recorded. */
class LeaseFixture implements AsyncDisposable {
	readonly table = new MemoryTable();
	readonly candidates: Candidate[] = [];
	readonly acts: Array<{readonly at: number; readonly holder: string; readonly fencing: number}> = [];
	now = 0;

	add(rank: number): Candidate {
		const candidate = new Candidate(this.table, `daemon-${this.candidates.length + 1}`, rank);
		this.candidates.push(candidate);
		return candidate;
	}

	async advance(ms: number): Promise<void> {
		for (let passed = 0; passed < ms; passed += stepMs) {
			this.now += stepMs;
			for (const {clock, steadyClock, isRunning, lease} of this.candidates) {
				clock.advance(stepMs);
				if (isRunning) {
					steadyClock.advance(stepMs);
					lease.tick();
				}
			}

			await nextTurn();
			for (const {isRunning, lease} of this.candidates) {
				const {authority} = lease;
				if (isRunning && authority !== undefined) {
					this.acts.push({at: this.now, ...authority});
				}
			}
		}
	}

	/** Advances until a candidate may act; returns the time that it took, in milliseconds. */
	async succession(candidate: Candidate): Promise<number> {
		const startedAt = this.now;
		while (candidate.lease.authority === undefined && this.now - startedAt < 60_000) {
			await this.advance(stepMs);
		}

		return this.now - startedAt;
	}

	/** Ways in which the recorded calls break the platform's rules. */
	get violations(): readonly string[] {
		const violations: string[] = [];
		let highest = 0;
		const holders = new Map<number, string>();
		const changes = this.acts.filter(({holder}, index) => holder !== this.acts[index - 1]?.holder);
		for (const {fencing, holder} of this.acts) {
			if (fencing < highest) {
				violations.push(`fencing ${fencing} after ${highest}`);
			}

			if ((holders.get(fencing) ?? holder) !== holder) {
				violations.push(`fencing ${fencing} of two holders`);
			}

			highest = Math.max(highest, fencing);
			holders.set(fencing, holder);
		}

		for (const [index, {at, holder}] of changes.entries()) {
			const before = this.acts.findLast(act => act.at < (changes[index - 1]?.at ?? 0) && act.holder === holder);
			if (before !== undefined && at - before.at <= alternationMs) {
				violations.push(`${holder} acts again after ${at - before.at} ms`);
			}
		}

		return violations;
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await Promise.all(this.candidates.map(async candidate => candidate[Symbol.asyncDispose]()));
	}
}

describe('candidates of the lease of duties', () => {
	test.for([
		{
			rank: 0, isHolder: false, silentMs: 0, expected: true,
		},
		{
			rank: 1, isHolder: false, silentMs: 0, expected: true,
		},
		{
			rank: 2, isHolder: false, silentMs: 5900, expected: false,
		},
		{
			rank: 2, isHolder: false, silentMs: 6000, expected: true,
		},
		{
			rank: 4, isHolder: false, silentMs: 7000, expected: false,
		},
		{
			rank: 60, isHolder: false, silentMs: 16_000, expected: true,
		},
		{
			rank: 7, isHolder: true, silentMs: 0, expected: true,
		},
	])('rank $rank after a silence of $silentMs ms: $expected', ({expected, ...candidacy}) => {
		expect(isDutyCandidate(candidacy)).toBe(expected);
	});
});

describe('the lease of duties', () => {
	test('lets the first holder act at once, and no other one beside it', async () => {
		await using fixture = new LeaseFixture();
		const first = fixture.add(0);
		const second = fixture.add(1);
		expect(await fixture.succession(first)).toBeLessThanOrEqual(2500);
		await fixture.advance(30_000);
		expect(second.lease.authority).toBeUndefined();
		expect(first.lease.mayAct({holder: 'daemon-1', fencing: 1})).toBe(true);
		expect(first.lease.mayAct({holder: 'daemon-1', fencing: 2})).toBe(false);
		expect(fixture.acts.length).toBeGreaterThan(110);
		expect(fixture.violations).toEqual([]);
	});

	// Guards against a start at which every daemon, which has not heard of the others yet, competes.
	test('is left alone by a daemon that has just started', async () => {
		await using fixture = new LeaseFixture();
		const candidates = Array.from({length: 10}, () => fixture.add(0));
		await fixture.advance(1250);
		for (const [rank, candidate] of candidates.entries()) {
			candidate.rank = rank;
		}

		await fixture.advance(2000);
		expect(candidates.slice(2).every(({calls}) => calls === 0)).toBe(true);
		expect(candidates[0]!.lease.authority).toBeDefined();
	});

	test('costs less than a hundred store calls a minute, also with many daemons', async () => {
		await using fixture = new LeaseFixture();
		for (let rank = 0; rank < 12; rank += 1) {
			fixture.add(rank);
		}

		await fixture.advance(4000);
		for (const candidate of fixture.candidates) {
			candidate.calls = 0;
		}

		for (let second = 0; second < 60; second += 1) {
			await fixture.advance(1000);
			for (const {lease} of fixture.candidates) {
				lease.holderHeard();
			}
		}

		expect(fixture.candidates.reduce((sum, {calls}) => sum + calls, 0)).toBeLessThan(100);
		expect(fixture.candidates.slice(2).every(({calls}) => calls === 0)).toBe(true);
	});

	test('replaces a killed holder before the next report is late', async () => {
		await using fixture = new LeaseFixture();
		const first = fixture.add(0);
		const second = fixture.add(1);
		await fixture.advance(10_000);
		first.isRunning = false;
		expect(await fixture.succession(second)).toBeLessThanOrEqual(maxSuccessionMs);
		expect(second.lease.authority).toEqual({holder: 'daemon-2', fencing: 2});
		expect(fixture.violations).toEqual([]);
	});

	test('replaces a holder that is cut off from the store, which stops before its lease ends', async () => {
		await using fixture = new LeaseFixture();
		const first = fixture.add(0);
		const second = fixture.add(1);
		await fixture.advance(10_000);
		first.fault = 'unavailable';
		expect(await fixture.succession(second)).toBeLessThanOrEqual(maxSuccessionMs);
		expect(first.lease.authority).toBeUndefined();
		first.fault = 'none';
		await fixture.advance(20_000);
		expect(second.lease.authority).toBeDefined();
		expect(fixture.violations).toEqual([]);
	});

	test('lets a further daemon take over when both permanent candidates are cut off from the store', async () => {
		await using fixture = new LeaseFixture();
		const first = fixture.add(0);
		const second = fixture.add(1);
		const third = fixture.add(2);
		for (let passed = 0; passed < 10; passed += 1) {
			await fixture.advance(1000);
			third.lease.holderHeard();
		}

		expect(third.calls).toBe(0);
		first.fault = 'unavailable';
		second.fault = 'unavailable';
		expect(await fixture.succession(third)).toBeLessThanOrEqual(maxSuccessionMs + 6000);
		expect(fixture.violations).toEqual([]);
	});

	test('ends with the suspension of its host, so that a woken holder does not act beside its successor', async () => {
		await using fixture = new LeaseFixture();
		const first = fixture.add(0);
		const second = fixture.add(1);
		await fixture.advance(10_000);
		first.isRunning = false;
		await fixture.succession(second);
		first.isRunning = true;
		expect(first.lease.authority).toBeUndefined();
		await fixture.advance(20_000);
		expect(first.lease.authority).toBeUndefined();
		expect(fixture.violations).toEqual([]);
	});

	test('returns to the same holder without a handover delay after its renewals failed for some seconds', async () => {
		await using fixture = new LeaseFixture();
		const only = fixture.add(0);
		await fixture.advance(10_000);
		only.fault = 'unavailable';
		await fixture.advance(6000);
		expect(only.lease.authority).toBeUndefined();
		only.fault = 'none';
		expect(await fixture.succession(only)).toBeLessThanOrEqual(1500);
		expect(only.lease.authority?.fencing).toBe(2);
	});

	test('is kept when the answer to a renewal is lost', async () => {
		await using fixture = new LeaseFixture();
		const only = fixture.add(0);
		await fixture.advance(2000);
		for (let round = 0; round < 10; round += 1) {
			only.fault = 'lost-after';
			const {calls} = only;
			while (only.calls === calls) {
				await fixture.advance(stepMs);
			}

			only.fault = 'none';
			await fixture.advance(2000);
		}

		expect(only.lease.authority?.fencing).toBe(1);
	});

	test('passes to a successor soon after the holder gives it up, which does not act again within the time of alternation', async () => {
		await using fixture = new LeaseFixture();
		const first = fixture.add(0);
		const second = fixture.add(1);
		await fixture.advance(10_000);
		void first.lease.resign();
		expect(first.lease.authority).toBeUndefined();
		expect(await fixture.succession(second)).toBeLessThanOrEqual(4500);
		const third = fixture.add(0);
		void second.lease.resign();
		expect(await fixture.succession(third)).toBeLessThanOrEqual(4500);
		expect(fixture.violations).toEqual([]);
	});

	test('is not acted on early when the time of day of a successor jumps ahead', async () => {
		await using fixture = new LeaseFixture();
		const first = fixture.add(0);
		const second = fixture.add(1);
		await fixture.advance(10_000);
		for (let jump = 0; jump < 6; jump += 1) {
			second.clock.advance(3200);
			await fixture.advance(1750);
		}

		await fixture.advance(20_000);
		expect([first, second].filter(({lease}) => lease.authority !== undefined)).toHaveLength(1);
		expect(fixture.violations).toEqual([]);
	});

	test('is never acted on by two daemons while clocks jump, hosts freeze and calls fail at random', async () => {
		for (let seed = 1; seed <= 20; seed += 1) {
			await using fixture = new LeaseFixture();
			const candidates = [0, 1, 2].map(rank => fixture.add(rank));
			let state = seed;
			const random = () => {
				state = ((state * 1_103_515_245) + 12_345) % (2 ** 31);
				return state / (2 ** 31);
			};

			for (let step = 0; step < 120; step += 1) {
				for (const candidate of candidates) {
					candidate.isRunning = random() > 0.1;
					candidate.fault = (['none', 'none', 'none', 'unavailable', 'lost-after', 'lost-before'] as const)[Math.floor(random() * 6)]!;
					if (random() < 0.1) {
						candidate.clock.advance(3000);
					}
				}

				await fixture.advance(1500);
			}

			expect(fixture.violations, `seed ${seed}`).toEqual([]);
			expect(fixture.acts.length, `seed ${seed}`).toBeGreaterThan(20);
		}
	});
});
