import {SeededRandom} from '../../src/process/random.ts';
import {RolePlanner} from '../../src/process/roles/role-planner.ts';
import {kvPieceTokens, type EngineEvent} from '../../src/stand-ins/engine/engine-work.ts';
import {DaemonModel, type Attempt, type Flight} from './daemon-model.ts';
import {SimulatedEngine} from './fleet.ts';
import type {Outcome, RequestRecord} from './outcome.ts';
import {
	zones, type Scenario, type SimulatedRequest,
} from './scenario.ts';
import {Timeline} from './timeline.ts';

/** One-way network latency between a daemon and an engine. */
const hopMs = 0.5;
const reportIntervalMs = 500;
/** Delay until a load report or a cache event of an engine reaches the daemons. */
const reportLagMs = 2000;
const newsIntervalMs = 500;
/** Delay until a daemon's news reaches the other daemons. */
const newsLagMs = 700;
/** Fraction of the news messages that is lost. */
const newsLossPart = 0.1;
const tickMs = 25;
const observationMs = 250;
const planIntervalMs = 1000;
const kvTransferMsPerPiece = 2;

/** Rates of an engine with default options in the prefill and in the decode role, as an operator would measure them: steps with 4096 prompt tokens, and steps with 40 sequences. */
export const roleRates = {prefillTokensPerMs: 4096 / (12 + (4096 * 0.04)), decodeTokensPerMs: 40 / (12 + (40 * 0.25))};

/** Simulates daemons and engines in virtual time; one instance is one run. */
export class Simulation {
	readonly #scenario: Scenario;
	readonly #timeline = new Timeline();
	readonly #random: SeededRandom;
	readonly #engines: readonly SimulatedEngine[];
	readonly #engineById: ReadonlyMap<string, SimulatedEngine>;
	readonly #daemons: readonly DaemonModel[];
	readonly #records: readonly RequestRecord[];
	readonly #recordById: ReadonlyMap<string, RequestRecord>;
	readonly #planners: readonly RolePlanner[];
	readonly #owners = new Map<string, DaemonModel>();
	readonly #roleChangeTimes: number[] = [];
	readonly #roleChangeZones: string[] = [];
	#wantedPrefill: number | undefined;

	constructor(scenario: Scenario) {
		this.#scenario = scenario;
		this.#random = new SeededRandom(scenario.seed);
		this.#engines = scenario.engines.map(engine => new SimulatedEngine(this.#timeline, engine, (from, event) => {
			this.#receive(from, event);
		}));
		this.#engineById = new Map(this.#engines.map(engine => [engine.id, engine]));
		this.#records = scenario.requests.map(request => ({
			request, firstTokenAt: undefined, finishedAt: undefined, isRefused: false,
		}));
		this.#recordById = new Map(this.#records.map(record => [record.request.id, record]));
		this.#daemons = Array.from({length: scenario.daemons}, (_, index) => this.#createDaemon(index));
		this.#planners = zones.map(availabilityZone => new RolePlanner({
			availabilityZone, changeMs: (scenario.changeMs ?? 5000) + 3000, ...roleRates,
		}));
	}

	/** Runs the scenario to its end and returns the outcome. */
	run(): Outcome {
		const {requests, faults = [], roleSteps = [], endMs, policy} = this.#scenario;
		this.#tellEngines();
		for (const request of requests) {
			this.#timeline.at(request.at, () => {
				this.#arrive(request);
			});
		}

		for (const {at, engine, factor} of faults) {
			this.#timeline.at(at, () => {
				this.#engineById.get(engine)?.slow(factor);
			});
		}

		for (const {at, prefillEngines} of policy.roles === 'scheduled' ? roleSteps : []) {
			this.#timeline.at(at, () => {
				this.#wantedPrefill = prefillEngines;
			});
		}

		this.#startPeriodicWork();
		this.#timeline.runUntil(endMs);
		return this.#outcome();
	}

	#startPeriodicWork(): void {
		const {policy} = this.#scenario;
		this.#timeline.every(0, tickMs, () => {
			const ready = this.#readyEngines;
			for (const daemon of this.#daemons) {
				daemon.tick(this.#timeline.now, ready);
			}
		});
		this.#timeline.every(observationMs, observationMs, () => {
			this.#observe();
		});
		this.#timeline.every(reportIntervalMs, reportIntervalMs, () => {
			this.#report();
		});
		this.#timeline.every(newsIntervalMs, newsIntervalMs, () => {
			this.#exchangeNews();
		});
		if (policy.roles !== 'static') {
			this.#timeline.every(planIntervalMs, planIntervalMs, () => {
				this.#planRoles();
			});
		}
	}

	/** Number of ready engines by group. */
	get #readyEngines(): ReadonlyMap<string, number> {
		const counts = new Map<string, number>();
		for (const {group, model} of this.#engines) {
			counts.set(group, (counts.get(group) ?? 0) + (model.phase === 'ready' ? 1 : 0));
		}

		return counts;
	}

	#arrive(request: SimulatedRequest): void {
		const daemon = this.#daemons[request.daemon % this.#daemons.length]!;
		for (const planner of this.#planners) {
			planner.recordDemand(this.#timeline.now, request.promptTokens, request.outputTokens);
		}

		daemon.arrive(this.#timeline.now, request);
	}

	#createDaemon(index: number): DaemonModel {
		const {seed, policy, daemons, shares = {}, isSplit = false, queueMs = 500} = this.#scenario;
		const daemon: DaemonModel = new DaemonModel({
			index,
			availabilityZone: zones[index % zones.length]!,
			policy,
			random: new SeededRandom(seed + index + 1),
			daemons,
			share: customer => shares[customer] ?? 1,
			isSplit,
			queueMs,
		}, {
			send: attempt => {
				this.#owners.set(attempt.id, daemon);
				this.#later(hopMs, () => {
					this.#submit(daemon, attempt);
				});
			},
			cancel: attempt => {
				this.#later(hopMs, () => {
					this.#engineById.get(attempt.engine)?.cancel(attempt.id);
				});
			},
			refuse: request => {
				this.#recordById.get(request.id)!.isRefused = true;
			},
			done: flight => {
				this.#record(flight);
			},
			transferMs: promptTokens => Math.ceil(promptTokens / kvPieceTokens) * kvTransferMsPerPiece,
			later: (delayMs, run) => {
				this.#later(delayMs, run);
			},
		});
		return daemon;
	}

	#submit(daemon: DaemonModel, attempt: Attempt): void {
		const {flight: {request}, part, id} = attempt;
		const taken = this.#engineById.get(attempt.engine)?.submit({
			id,
			promptTokens: request.promptTokens,
			outputTokens: part === 'prefill' ? 1 : request.outputTokens,
			priority: request.workClass === 'live' ? 0 : 1,
			prefix: request.prefix,
			prefixTokens: request.prefixTokens,
			generatedTokens: attempt.resumedTokens,
			kvImported: part === 'decode',
		}) ?? false;
		if (!taken) {
			this.#later(hopMs, () => {
				daemon.rejected(this.#timeline.now, attempt);
			});
		}
	}

	#receive(engine: SimulatedEngine, event: EngineEvent): void {
		switch (event.kind) {
			case 'first-token': {
				this.#later(hopMs, () => {
					this.#owners.get(event.id)?.firstToken(this.#timeline.now, event.id);
				});
				return;
			}

			case 'finished': {
				this.#later(hopMs, () => {
					this.#owners.get(event.id)?.finished(this.#timeline.now, event.id);
				});
				return;
			}

			case 'stored':
			case 'evicted': {
				this.#later(reportLagMs, () => {
					for (const daemon of this.#daemons) {
						daemon.loads.applyCacheEvents(engine.id, {first: event.sequence, events: [event]});
					}
				});
				return;
			}

			case 'role-changed': {
				this.#tellEngines();
				break;
			}

			case 'preempted':
			case 'token': {
				break;
			}
		}
	}

	#record({request, firstTokenAt}: Flight): void {
		const record = this.#recordById.get(request.id)!;
		record.firstTokenAt = firstTokenAt;
		record.finishedAt = this.#timeline.now;
	}

	#observe(): void {
		for (const engine of this.#engines) {
			engine.refresh();
			const progress = Map.groupBy(engine.model.progress, ([id]) => this.#owners.get(id));
			for (const [daemon, entries] of progress) {
				daemon?.observe(this.#timeline.now, engine.id, new Map(entries), observationMs);
			}
		}
	}

	#report(): void {
		const measuredAt = this.#timeline.now;
		const reports = this.#engines.map(engine => ({id: engine.id, outstandingTokens: engine.model.load.outstandingTokens}));
		this.#later(reportLagMs, () => {
			for (const daemon of this.#daemons) {
				for (const {id, outstandingTokens} of reports) {
					daemon.loads.applyReport(id, {outstandingTokens, measuredAt});
				}
			}
		});
	}

	#exchangeNews(): void {
		const sentAt = this.#timeline.now;
		for (const [origin, daemon] of this.#daemons.entries()) {
			const news = daemon.news(sentAt);
			for (const other of this.#daemons) {
				if (other !== daemon && this.#random.next() >= newsLossPart) {
					this.#later(newsLagMs, () => {
						for (const usage of news) {
							other.allocator.recordRemoteUsage(sentAt, String(origin), usage);
						}
					});
				}
			}
		}
	}

	#planRoles(): void {
		const {now} = this.#timeline;
		const engines = this.#engines.map(({id, availabilityZone, model}) => ({
			id, availabilityZone, role: model.targetRole, isAway: model.phase !== 'ready',
		}));
		const changes = this.#scenario.policy.roles === 'planned'
			? this.#planners.flatMap(planner => planner.plan(now, engines))
			: this.#followSchedule();
		for (const {id, role} of changes) {
			const engine = this.#engineById.get(id)!;
			this.#roleChangeTimes.push(now);
			this.#roleChangeZones.push(engine.availabilityZone);
			engine.changeRole(role);
		}

		if (changes.length > 0) {
			this.#tellEngines();
		}
	}

	/** Returns the role changes that reach the scheduled number of prefill engines, all at once; none while an engine isn't ready. */
	#followSchedule() {
		const wanted = this.#wantedPrefill;
		const ready = this.#engines.filter(({model}) => model.phase === 'ready');
		if (wanted === undefined || ready.length < this.#engines.length) {
			return [];
		}

		const current = ready.filter(({model}) => model.role === 'prefill').length;
		const role = wanted > current ? 'prefill' as const : 'decode' as const;
		return ready
			.filter(({model}) => model.role !== role)
			.slice(0, Math.abs(wanted - current))
			.map(({id}) => ({id, role}));
	}

	#tellEngines(): void {
		const engines = this.#engines.map(({id, group, availabilityZone, model}) => ({
			id, group, zone: availabilityZone, role: model.role, isAway: model.phase !== 'ready',
		}));
		for (const daemon of this.#daemons) {
			daemon.setEngines(this.#timeline.now, engines);
		}
	}

	#later(delayMs: number, run: () => void): void {
		this.#timeline.at(this.#timeline.now + delayMs, run);
	}

	#outcome(): Outcome {
		const sum = (value: (daemon: DaemonModel) => number) => this.#daemons.reduce((total, daemon) => total + value(daemon), 0);
		return {
			records: this.#records,
			roleChanges: this.#roleChangeTimes.length,
			roleChangeTimes: this.#roleChangeTimes,
			roleChangeZones: this.#roleChangeZones,
			hedges: sum(daemon => daemon.hedges),
			extraPart: sum(daemon => daemon.extraTokens) / Math.max(1, sum(daemon => daemon.servedTokens)),
			preemptions: sum(daemon => daemon.preemptions),
		};
	}
}

/** Runs a scenario to its end and returns the outcome. */
export function simulate(scenario: Scenario): Outcome {
	return new Simulation(scenario).run();
}
