import {callUpstream} from '../../connection/links/upstream-call.ts';
import type {UpstreamClients} from '../../connection/links/upstream-clients.ts';
import type {Stage, Upstream} from '../../ports/upstream.ts';
import type {EngineReport, UpstreamProtocol} from '../../ports/upstream-protocol.ts';
import type {UpstreamBackpressure} from '../backpressure/upstream-backpressure.ts';
import type {Clock} from '../clock.ts';
import type {DecisionLog} from '../fleet/decision-log.ts';
import type {HeldLease} from '../lease/lease-machine.ts';
import {planStages, type StageChange} from './stage-plan.ts';
import {StageSizer, type StageDemand} from './stage-sizer.ts';

/** The lease that permits its holder to send orders. */
export type OrderLease = {
	readonly held: () => HeldLease | undefined;
	readonly setCandidate: (isCandidate: boolean) => void;
};

/** Engines of one service, and the load on them. */
export type StageGroup = {
	readonly service: string;
	readonly upstreams: readonly Upstream[];
	/** Ids of the engines that take fewer requests than they could decode, because they have named a limit. */
	readonly limited: ReadonlySet<string>;
	readonly demand: StageDemand;
};

/** Timing of the stage controller, in milliseconds. */
export type ControllerTimes = {
	/** Time for which a plan must stay unchanged before orders are sent. */
	readonly settleMs: number;
	/** Additional delay per rank before a daemon tries to acquire the lease, so that few daemons request it at the same time. */
	readonly rankDelayMs: number;
	/** Upper bound of the delay by rank. */
	readonly maxRankDelayMs: number;
	/** Delay before a new holder of the lease sends its first order, so that the orders of two holders do not come close together. */
	readonly handoverDelayMs: number;
	/** Timeout of one call to an engine. */
	readonly callTimeoutMs: number;
	/** Time after an order for which the engine gets no other one, unless its registry entry shows the outcome earlier. */
	readonly orderTimeoutMs: number;
	/** The same time if the response to the order was lost; longer because the engine may still execute the order late. */
	readonly unknownOutcomeMs: number;
};

/** Dependencies of the stage controller. */
export type StageControllerOptions = {
	readonly clock: Clock;
	readonly log: DecisionLog;
	readonly upstreamClients: UpstreamClients;
	readonly backpressure: UpstreamBackpressure;
	readonly protocol: UpstreamProtocol;
	readonly lease: OrderLease;
	/** Name of this daemon, sent with orders as the holder of the lease. */
	readonly daemon: string;
	readonly groups: () => readonly StageGroup[];
	/** Rank of this daemon among those that may acquire the lease, from 0. */
	readonly rank: () => number;
	readonly times: ControllerTimes;
	/** Called when an engine has accepted an order; it rejects work until it has changed its stage. */
	readonly onOrdered?: (upstream: Upstream) => void;
};

/** Creates the timing; between the last possible order under a lease and the first one of the next holder, at least `handoverDelayMs` passes. */
export function createControllerTimes(leaseMs: number): ControllerTimes {
	return {
		settleMs: 1500, rankDelayMs: 700, maxRankDelayMs: 20_000, handoverDelayMs: leaseMs + 500, callTimeoutMs: 600, orderTimeoutMs: 6000, unknownOutcomeMs: 15_000,
	};
}

type PendingOrder = {
	readonly stage: Stage;
	readonly until: number;
};

/** Number of orders that may always be pending at the same time, however few engines there are. */
const minConcurrentOrders = 2;
/** Fraction of the engines that may be changing their stage at the same time while there is load. */
const concurrentOrderFraction = 0.1;
/** The holder stops sending orders this long before the lease expires, so that an order in transit arrives in time. */
const arrivalMarginMs = 1000;

/** Orders engines to change their stages according to the plan, only while this daemon holds the lease. */
export class StageController {
	readonly #options: StageControllerOptions;
	readonly #pendingOrders = new Map<string, PendingOrder>();
	readonly #sizers = new Map<string, StageSizer>();
	#plan = '';
	#planSince = 0;
	#isCandidate = false;

	constructor(options: StageControllerOptions) {
		this.#options = options;
	}

	/** Compares the engines with the plan and takes the next step; must be called a few times per second. */
	tick(): void {
		const now = this.#options.clock.now();
		const groups = this.#options.groups();
		this.#removeFinishedOrders(groups, now);
		const changes = groups.flatMap(group => planStages(group.upstreams, this.#computeDecoders(group, now), group.limited)).filter(({upstream}) => !this.#pendingOrders.has(upstream.id) && !this.#options.backpressure.isPaused(upstream.id));
		const plan = changes.map(({upstream, stage}) => `${upstream.id} ${stage}`).join(',');
		if (plan !== this.#plan) {
			this.#plan = plan;
			this.#planSince = now;
		}

		const isSettled = changes.length > 0 && now - this.#planSince >= this.#options.times.settleMs;
		const isRankDelayOver = isSettled && now - this.#planSince >= this.#options.times.settleMs + this.#rankDelayMs();
		// The daemon with rank 0 is always a candidate, and a holder remains one. A new holder would have to wait for the handover delay,
		// and an availability zone that has lost its last decode engine serves nothing while it is partitioned from the others.
		const isAlwaysCandidate = this.#options.rank() === 0 || this.#options.lease.held() !== undefined;
		this.#setCandidate(isAlwaysCandidate || isRankDelayOver || (changes.length > 0 && this.#isCandidate) || this.#pendingOrders.size > 0);
		if (isSettled && this.#canOrder()) {
			this.#sendOrders(changes, groups);
		}
	}

	/** Gives up the lease, so that another daemon can take over sooner; `tick` must not be called afterwards. */
	resign(): void {
		this.#setCandidate(false);
	}

	/** Removes pending orders that the registry shows as executed, and those that have timed out. */
	#removeFinishedOrders(groups: readonly StageGroup[], now: number): void {
		const stages = new Map(groups.flatMap(({upstreams}) => upstreams.map(({id, stage}) => [id, stage])));
		for (const [id, {stage, until}] of this.#pendingOrders) {
			if (now >= until || stages.get(id) === stage) {
				this.#pendingOrders.delete(id);
			}
		}
	}

	#computeDecoders({service, upstreams, demand}: StageGroup, now: number): number {
		const sizer = this.#sizers.get(service) ?? new StageSizer();
		this.#sizers.set(service, sizer);
		const engines = upstreams.filter(({stage}) => stage !== undefined);
		return sizer.computeDecoders(demand, {total: engines.length, decoders: engines.filter(({stage}) => stage === 'decode').length}, now);
	}

	#rankDelayMs(): number {
		const {rank, times} = this.#options;
		return Math.min(times.maxRankDelayMs, rank() * times.rankDelayMs);
	}

	#setCandidate(isCandidate: boolean): void {
		if (isCandidate !== this.#isCandidate) {
			this.#isCandidate = isCandidate;
			this.#options.lease.setCandidate(isCandidate);
			this.#options.log.write('stages.candidate', {isCandidate, plan: this.#plan});
		}
	}

	#canOrder(): boolean {
		const held = this.#options.lease.held();
		const now = this.#options.clock.now();
		// With the first grant there is no previous holder whose orders could come close.
		return held !== undefined && now < held.expiresAt - arrivalMarginMs && (held.fencing === 1 || now - held.grantedAt >= this.#options.times.handoverDelayMs);
	}

	#sendOrders(changes: readonly StageChange[], groups: readonly StageGroup[]): void {
		const {clock, times} = this.#options;
		// Without load, all engines can change at once.
		const isIdle = groups.every(({demand: {runs, backlogMs}}) => runs === 0 && backlogMs === 0);
		const engines = groups.reduce((sum, {upstreams}) => sum + upstreams.length, 0);
		const maxConcurrent = Math.max(minConcurrentOrders, Math.floor(engines * concurrentOrderFraction));
		for (const change of isIdle ? changes : changes.slice(0, Math.max(0, maxConcurrent - this.#pendingOrders.size))) {
			this.#pendingOrders.set(change.upstream.id, {stage: change.stage, until: clock.now() + times.orderTimeoutMs});
			void this.#sendOrder(change);
		}
	}

	async #sendOrder({upstream, stage}: StageChange): Promise<void> {
		const {clock, log, times} = this.#options;
		const report = await this.#readReport(upstream);
		const lease = this.#options.lease.held();
		if (report === undefined || report.isBusy || report.stage === stage || lease === undefined || !this.#canOrder()) {
			log.write('stages.postponed', {
				upstream: upstream.id, stage, report, isHeld: lease !== undefined,
			});
			return;
		}

		const {upstreamClients, backpressure, protocol, daemon} = this.#options;
		log.write('stages.ordered', {
			upstream: upstream.id, address: upstream.address, stage, fencing: lease.fencing, acceptedOrders: report.acceptedOrders,
		});
		backpressure.count(upstream.id);
		const result = await callUpstream({
			upstreamClients,
			protocol,
			upstream,
			wire: protocol.encodeOrder({
				upstream, stage, holder: daemon, fencing: lease.fencing, expectedAcceptedOrders: report.acceptedOrders,
			}),
			timeoutMs: times.callTimeoutMs,
			// Opening the connection may have taken a while, so the lease is checked again right before the order is written.
			shouldStart: () => this.#canOrder() && this.#options.lease.held()?.token === lease.token,
		});
		const isOutcomeUnknown = result.kind === 'failed' && result.failure.wasSent;
		if (isOutcomeUnknown) {
			this.#pendingOrders.set(upstream.id, {stage, until: clock.now() + times.unknownOutcomeMs});
		}

		if (result.kind === 'answered' && result.answer.status === 202) {
			this.#options.onOrdered?.(upstream);
		}

		log.write('stages.answered', {
			upstream: upstream.id, stage, fencing: lease.fencing, ...(result.kind === 'answered' ? {status: result.answer.status} : {cause: result.failure.message, wasSent: result.failure.wasSent}),
		});
	}

	async #readReport(upstream: Upstream): Promise<EngineReport | undefined> {
		const {upstreamClients, backpressure, protocol, times, log} = this.#options;
		backpressure.count(upstream.id);
		const result = await callUpstream({
			upstreamClients, protocol, upstream, wire: protocol.encodeReportRequest(upstream), timeoutMs: times.callTimeoutMs,
		});
		if (result.kind === 'failed' || result.answer.status !== 200) {
			log.write('stages.noReport', {upstream: upstream.id, cause: result.kind === 'failed' ? result.failure.message : `status ${result.answer.status}`});
			return undefined;
		}

		return protocol.decodeReport(result.body).caseOf<EngineReport | undefined>({
			Left(cause) {
				log.write('stages.noReport', {upstream: upstream.id, cause});
				return undefined;
			},
			Right: report => report,
		});
	}
}
