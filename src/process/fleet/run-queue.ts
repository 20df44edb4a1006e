import type {AccountUsage} from '../accounts/account-usage.ts';
import {plainWork} from '../accounts/request-work.ts';
import {levelOnArrival, rankByShare, type SharedWork} from '../accounts/share-order.ts';
import type {UpstreamBackpressure} from '../backpressure/upstream-backpressure.ts';
import type {PlacementDemand, PlacementResult} from '../../request/delivery/upstream-scheduler.ts';
import type {Stage} from '../../ports/upstream.ts';
import type {Clock} from '../clock.ts';
import type {DecisionLog} from './decision-log.ts';
import type {Placements} from './placements.ts';
import type {UpstreamState} from './upstream-state.ts';
import type {UpstreamStates} from './upstream-states.ts';

/** Dependencies of the queue. */
export type RunQueueOptions = {
	readonly clock: Clock;
	readonly log: DecisionLog;
	readonly backpressure: UpstreamBackpressure;
	readonly states: UpstreamStates;
	readonly placements: Placements;
	readonly accountUsage: AccountUsage;
};

/** Run to be placed at an upstream of a service. */
export type RunDemand = {
	readonly demand: PlacementDemand;
	readonly stage: Stage | undefined;
	/** Time after which nobody waits for the run any more, in milliseconds. */
	readonly giveUpAt: number;
	/** Chooses among upstreams that take a request, and begins the run there; undefined if none of them takes it after all. */
	readonly begin: (states: readonly UpstreamState[]) => PlacementResult | undefined;
};

type WaitingRun = RunDemand & SharedWork & {
	readonly settle: (result: PlacementResult) => void;
};

/** Result of an attempt to place a run: `limited` if all upstreams have reached their limits. */
type AttemptResult = PlacementResult | 'limited';

const retryIntervalMs = 10;
/** Least remaining time with which a run is placed, in milliseconds. */
const minRemainingMs = 60;
/** Part of the time that its caller has for which a run may be expected to wait, if the target latency is shorter. */
const maxWaitPart = 0.25;

/**
Holds runs while no upstream of a service takes a request, because all have reached the limits that they named or asked for a pause.

A run that is expected to wait for longer than its caller gains by waiting is refused at once, so that those that wait are answered
soon: the limit, not the length of the queue, decides how many are served.
*/
export class RunQueue {
	readonly #options: RunQueueOptions;
	readonly #queue = new Set<WaitingRun>();
	#isScheduled = false;

	constructor(options: RunQueueOptions) {
		this.#options = options;
	}

	/** Places a run, or waits until an upstream takes it. */
	async place(run: RunDemand): Promise<PlacementResult> {
		if (run.demand.signal.aborted) {
			return {reason: 'cancelled', retryAfterMs: 0};
		}

		this.#record(run, 'ask');
		const ahead = this.#countAhead(run);
		const result = ahead === 0 ? this.#tryPlace(run) : 'limited';
		return result === 'limited' ? this.#wait(run, ahead) : result;
	}

	/** Time for which a run would wait for a limit, in milliseconds. */
	predictWaitMs({demand, stage}: Pick<RunDemand, 'demand' | 'stage'>, ahead = 0): number {
		const usable = this.#options.states.usable(demand.service, stage, demand.triedUpstreams);
		return this.#options.backpressure.predictWaitMs(usable.map(({upstream}) => upstream.id), ahead);
	}

	#countAhead(run: RunDemand): number {
		if (this.#queue.size === 0) {
			return 0;
		}

		const {accountUsage, clock} = this.#options;
		const {demand: {service, route: {priority}}, stage} = run;
		const now = clock.now();
		const level = levelOnArrival(toSharedWork(run), this.#queue, accountUsage, now);
		let count = 0;
		for (const [{demand: other, stage: otherStage}, otherLevel] of rankByShare([...this.#queue], accountUsage, now)) {
			const isAhead = other.route.priority < priority || (other.route.priority === priority && otherLevel <= level);
			count += other.service === service && otherStage === stage && isAhead ? 1 : 0;
		}

		return count;
	}

	/** Records the work of a plain run; that of a model request is recorded with its prompt. */
	#record({demand: {service, account}, stage}: RunDemand, event: 'ask' | 'place'): void {
		if (account !== undefined && stage === undefined) {
			this.#options.accountUsage[event](service, account, plainWork, this.#options.clock.now());
		}
	}

	#tryPlace(run: RunDemand): AttemptResult {
		const {demand, stage, begin} = run;
		const {states, backpressure, placements} = this.#options;
		const usable = states.usable(demand.service, stage, demand.triedUpstreams);
		if (usable.length === 0) {
			return placements.refuse(demand, 'noUpstream');
		}

		const open = usable.filter(({upstream}) => backpressure.hasRoom(upstream.id));
		const result = open.length === 0 ? undefined : begin(open);
		if (result === undefined) {
			return 'limited';
		}

		this.#record(run, 'place');
		return result;
	}

	async #wait(run: RunDemand, ahead: number): Promise<PlacementResult> {
		const {clock, log, placements} = this.#options;
		const {demand} = run;
		const now = clock.now();
		const expectedMs = this.predictWaitMs(run, ahead);
		const maxWaitMs = Math.max(demand.arrivedAt + demand.route.targetLatencyMs - now, (run.giveUpAt - now) * maxWaitPart);
		if (expectedMs > Math.min(maxWaitMs, run.giveUpAt - now - minRemainingMs)) {
			return placements.refuse(demand, 'overloaded', expectedMs);
		}

		const {promise, resolve} = Promise.withResolvers<PlacementResult>();
		const waiting: WaitingRun = {...run, ...toSharedWork(run), settle: resolve};
		const cancel = () => {
			this.#leave(waiting, {reason: 'cancelled', retryAfterMs: 0});
		};

		demand.signal.addEventListener('abort', cancel, {once: true});
		this.#queue.add(waiting);
		log.write('queued', {
			request: demand.request.id, service: demand.service, waiting: this.#queue.size, expectedMs: Math.round(expectedMs), reason: 'limit',
		});
		this.#schedule();
		const result = await promise;
		demand.signal.removeEventListener('abort', cancel);
		return result;
	}

	#schedule(): void {
		if (this.#isScheduled) {
			return;
		}

		this.#isScheduled = true;
		setTimeout(() => {
			this.#isScheduled = false;
			this.#placeWaiting();
			if (this.#queue.size > 0) {
				this.#schedule();
			}
		}, retryIntervalMs);
	}

	/** Places waiting runs, the most urgent first, then those of accounts within their share and then the oldest, until all upstreams of their service have reached their limits again. */
	#placeWaiting(): void {
		const now = this.#options.clock.now();
		const blocked = new Set<string>();
		const byArrival = [...this.#queue].toSorted((a, b) => a.demand.arrivedAt - b.demand.arrivedAt);
		const levels = rankByShare(byArrival, this.#options.accountUsage, now);
		const ordered = byArrival.toSorted((a, b) => a.demand.route.priority - b.demand.route.priority || levels.get(a)! - levels.get(b)!);
		for (const run of ordered) {
			const {demand, stage, giveUpAt} = run;
			const group = `${demand.service} ${stage ?? ''}`;
			if (now > giveUpAt - minRemainingMs) {
				this.#leave(run, this.#options.placements.refuse(demand, 'overloaded', this.predictWaitMs(run)));
				continue;
			}

			const result = blocked.has(group) ? 'limited' : this.#tryPlace(run);
			if (result === 'limited') {
				blocked.add(group);
			} else {
				this.#leave(run, result);
			}
		}
	}

	#leave(run: WaitingRun, result: PlacementResult): void {
		if (this.#queue.delete(run)) {
			run.settle(result);
		}
	}
}

function toSharedWork({demand: {service, account}}: RunDemand): SharedWork {
	return {service, account, work: plainWork};
}
