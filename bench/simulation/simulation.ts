import {SeededRandom} from '../../src/process/random.ts';
import {RolePlanner} from '../../src/process/roles/role-planner.ts';
import {kvPieceTokens, type EngineEvent} from '../../src/stand-ins/engine/engine-work.ts';
import {DaemonModel, type Attempt, type ActiveRequest} from './daemon-model.ts';
import {SimulatedEngine} from './simulated-engine.ts';
import type {Outcome, RequestRecord} from './outcome.ts';
import {
	zones, type Scenario, type SimulatedRequest,
} from './scenario.ts';
import {EventScheduler} from './event-scheduler.ts';

/** One-way network latency between a daemon and an engine. */
const networkHopMs = 0.5;
const reportIntervalMs = 500;
/** Delay until a load report or a cache event of an engine reaches the daemons. */
const reportLagMs = 2000;
const newsIntervalMs = 500;
/** Delay until a daemon's news reaches the other daemons. */
const newsLagMs = 700;
/** Fraction of the news messages that is lost. */
const newsLossFraction = 0.1;
const tickIntervalMs = 25;
const observationIntervalMs = 250;
const planIntervalMs = 1000;
const kvTransferMsPerPiece = 2;

/** Rates of an engine with default options in the prefill and in the decode role, as an operator would measure them: steps with 4096 prompt tokens, and steps with 40 sequences. */
export const roleRates = {prefillTokensPerMs: 4096 / (12 + (4096 * 0.04)), decodeTokensPerMs: 40 / (12 + (40 * 0.25))};

/** Simulates daemons and engines in virtual time; one instance is one run. */
export class Simulation {
	readonly #scenario: Scenario;
	readonly #scheduler = new EventScheduler();
	readonly #random: SeededRandom;
	readonly #engines: readonly SimulatedEngine[];
	readonly #engineById: ReadonlyMap<string, SimulatedEngine>;
	readonly #daemons: readonly DaemonModel[];
	readonly #records: readonly RequestRecord[];
	readonly #recordById: ReadonlyMap<string, RequestRecord>;
	readonly #planners: readonly RolePlanner[];
	readonly #daemonByAttempt = new Map<string, DaemonModel>();
	readonly #roleChangeTimes: number[] = [];
	readonly #roleChangeZones: string[] = [];
	#targetPrefillEngines: number | undefined;

	constructor(scenario: Scenario) {
		this.#scenario = scenario;
		this.#random = new SeededRandom(scenario.seed);
		this.#engines = scenario.engines.map(engine => new SimulatedEngine(this.#scheduler, engine, (from, event) => {
			this.#handleEngineEvent(from, event);
		}));
		this.#engineById = new Map(this.#engines.map(engine => [engine.id, engine]));
		this.#records = scenario.requests.map(request => ({
			request, firstTokenAt: undefined, finishedAt: undefined, isRefused: false,
		}));
		this.#recordById = new Map(this.#records.map(record => [record.request.id, record]));
		this.#daemons = Array.from({length: scenario.daemons}, (_, index) => this.#createDaemon(index));
		this.#planners = zones.map(availabilityZone => new RolePlanner({
			availabilityZone, changeMs: (scenario.roleChangeMs ?? 5000) + 3000, ...roleRates,
		}));
	}

	/** Runs the scenario to its end and returns the outcome. */
	run(): Outcome {
		const {requests, faults = [], roleSteps = [], endMs, policy} = this.#scenario;
		this.#updateEngines();
		for (const request of requests) {
			this.#scheduler.at(request.at, () => {
				this.#arrive(request);
			});
		}

		for (const {at, engine, factor} of faults) {
			this.#scheduler.at(at, () => {
				this.#engineById.get(engine)?.setSlowdown(factor);
			});
		}

		for (const {at, prefillEngines} of policy.roles === 'scheduled' ? roleSteps : []) {
			this.#scheduler.at(at, () => {
				this.#targetPrefillEngines = prefillEngines;
			});
		}

		this.#startPeriodicWork();
		this.#scheduler.runUntil(endMs);
		return this.#outcome();
	}

	#startPeriodicWork(): void {
		const {policy} = this.#scenario;
		this.#scheduler.every(0, tickIntervalMs, () => {
			const ready = this.#readyEngines;
			for (const daemon of this.#daemons) {
				daemon.tick(this.#scheduler.now, ready);
			}
		});
		this.#scheduler.every(observationIntervalMs, observationIntervalMs, () => {
			this.#observeProgress();
		});
		this.#scheduler.every(reportIntervalMs, reportIntervalMs, () => {
			this.#reportLoads();
		});
		this.#scheduler.every(newsIntervalMs, newsIntervalMs, () => {
			this.#exchangeNews();
		});
		if (policy.roles !== 'static') {
			this.#scheduler.every(planIntervalMs, planIntervalMs, () => {
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
		const daemon = this.#daemons[request.daemonIndex % this.#daemons.length]!;
		for (const planner of this.#planners) {
			planner.recordDemand(this.#scheduler.now, request.promptTokens, request.outputTokens);
		}

		daemon.arrive(this.#scheduler.now, request);
	}

	#createDaemon(index: number): DaemonModel {
		const {seed, policy, daemons, shares = {}, isDisaggregated = false, maxQueueMs = 500} = this.#scenario;
		const daemon: DaemonModel = new DaemonModel({
			index,
			availabilityZone: zones[index % zones.length]!,
			policy,
			random: new SeededRandom(seed + index + 1),
			daemonCount: daemons,
			share: customer => shares[customer] ?? 1,
			isDisaggregated,
			maxQueueMs,
		}, {
			send: attempt => {
				this.#daemonByAttempt.set(attempt.id, daemon);
				this.#schedule(networkHopMs, () => {
					this.#submit(daemon, attempt);
				});
			},
			cancel: attempt => {
				this.#schedule(networkHopMs, () => {
					this.#engineById.get(attempt.engine)?.cancel(attempt.id);
				});
			},
			refuse: request => {
				this.#recordById.get(request.id)!.isRefused = true;
			},
			complete: activeRequest => {
				this.#recordCompletion(activeRequest);
			},
			transferMs: promptTokens => Math.ceil(promptTokens / kvPieceTokens) * kvTransferMsPerPiece,
			schedule: (delayMs, run) => {
				this.#schedule(delayMs, run);
			},
		});
		return daemon;
	}

	#submit(daemon: DaemonModel, attempt: Attempt): void {
		const {activeRequest: {request}, stage, id} = attempt;
		const isAccepted = this.#engineById.get(attempt.engine)?.submit({
			id,
			promptTokens: request.promptTokens,
			outputTokens: stage === 'prefill' ? 1 : request.outputTokens,
			priority: request.workClass === 'live' ? 0 : 1,
			prefix: request.prefix,
			prefixTokens: request.prefixTokens,
			generatedTokens: attempt.resumedTokens,
			isKvImported: stage === 'decode',
		}) ?? false;
		if (!isAccepted) {
			this.#schedule(networkHopMs, () => {
				daemon.rejected(this.#scheduler.now, attempt);
			});
		}
	}

	#handleEngineEvent(engine: SimulatedEngine, event: EngineEvent): void {
		switch (event.kind) {
			case 'first-token': {
				this.#schedule(networkHopMs, () => {
					this.#daemonByAttempt.get(event.id)?.firstToken(this.#scheduler.now, event.id);
				});
				return;
			}

			case 'finished': {
				this.#schedule(networkHopMs, () => {
					this.#daemonByAttempt.get(event.id)?.finished(this.#scheduler.now, event.id);
				});
				return;
			}

			case 'stored':
			case 'evicted': {
				this.#schedule(reportLagMs, () => {
					for (const daemon of this.#daemons) {
						daemon.loads.applyCacheEvents(engine.id, {first: event.sequence, events: [event]});
					}
				});
				return;
			}

			case 'role-changed': {
				this.#updateEngines();
				break;
			}

			case 'preempted':
			case 'token': {
				break;
			}
		}
	}

	#recordCompletion({request, firstTokenAt}: ActiveRequest): void {
		const record = this.#recordById.get(request.id)!;
		record.firstTokenAt = firstTokenAt;
		record.finishedAt = this.#scheduler.now;
	}

	#observeProgress(): void {
		for (const engine of this.#engines) {
			engine.advance();
			const progress = Map.groupBy(engine.model.progress, ([id]) => this.#daemonByAttempt.get(id));
			for (const [daemon, entries] of progress) {
				daemon?.observe(this.#scheduler.now, engine.id, new Map(entries), observationIntervalMs);
			}
		}
	}

	#reportLoads(): void {
		const measuredAt = this.#scheduler.now;
		const reports = this.#engines.map(engine => ({id: engine.id, outstandingTokens: engine.model.load.outstandingTokens}));
		this.#schedule(reportLagMs, () => {
			for (const daemon of this.#daemons) {
				for (const {id, outstandingTokens} of reports) {
					daemon.loads.applyReport(id, {outstandingTokens, measuredAt});
				}
			}
		});
	}

	#exchangeNews(): void {
		const sentAt = this.#scheduler.now;
		for (const [origin, daemon] of this.#daemons.entries()) {
			const news = daemon.news(sentAt);
			for (const other of this.#daemons) {
				if (other !== daemon && this.#random.next() >= newsLossFraction) {
					this.#schedule(newsLagMs, () => {
						for (const usage of news) {
							other.allocator.recordRemoteUsage(sentAt, String(origin), usage);
						}
					});
				}
			}
		}
	}

	#planRoles(): void {
		const {now} = this.#scheduler;
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
			this.#updateEngines();
		}
	}

	/** Returns the role changes that reach the scheduled number of prefill engines, all at once; none while an engine isn't ready. */
	#followSchedule() {
		const wanted = this.#targetPrefillEngines;
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

	#updateEngines(): void {
		const engines = this.#engines.map(({id, group, availabilityZone, model}) => ({
			id, group, availabilityZone, role: model.role, isAway: model.phase !== 'ready',
		}));
		for (const daemon of this.#daemons) {
			daemon.setEngines(this.#scheduler.now, engines);
		}
	}

	#schedule(delayMs: number, run: () => void): void {
		this.#scheduler.at(this.#scheduler.now + delayMs, run);
	}

	#outcome(): Outcome {
		const sum = (value: (daemon: DaemonModel) => number) => this.#daemons.reduce((total, daemon) => total + value(daemon), 0);
		return {
			records: this.#records,
			roleChanges: this.#roleChangeTimes.length,
			roleChangeTimes: this.#roleChangeTimes,
			roleChangeZones: this.#roleChangeZones,
			hedges: sum(daemon => daemon.hedges),
			extraTokenFraction: sum(daemon => daemon.extraTokens) / Math.max(1, sum(daemon => daemon.servedTokens)),
			preemptions: sum(daemon => daemon.preemptions),
		};
	}
}

/** Runs a scenario to its end and returns the outcome. */
export function simulate(scenario: Scenario): Outcome {
	return new Simulation(scenario).run();
}
