import {callUpstream} from '../../connection/links/upstream-call.ts';
import type {UpstreamClients} from '../../connection/links/upstream-clients.ts';
import type {Stage, Upstream} from '../../ports/upstream.ts';
import type {EngineReport, UpstreamProtocol} from '../../ports/upstream-protocol.ts';
import type {Clock} from '../clock.ts';
import type {DecisionLog} from '../fleet/decision-log.ts';
import type {HeldLease} from '../lease/lease-machine.ts';
import {planStages, type StageChange} from './stage-plan.ts';
import {StageSizer, type StageDemand} from './stage-sizer.ts';

/** The lease that allows to give orders. */
export type OrderLease = {
	readonly held: () => HeldLease | undefined;
	readonly setCandidate: (isCandidate: boolean) => void;
};

/** Engines of one service with the load of the service. */
export type StageGroup = {
	readonly service: string;
	readonly upstreams: readonly Upstream[];
	readonly demand: StageDemand;
};

/** Durations of the control of stages, in milliseconds. */
export type ControllerTimes = {
	/** A plan must hold for so long before orders follow from it. */
	readonly settleMs: number;
	/** The daemon that is next in order seeks the lease so much later, so that few daemons ask for it at the same time. */
	readonly rankDelayMs: number;
	/** Longest such delay. */
	readonly maxRankDelayMs: number;
	/** A new holder of the lease waits for so long, so that no two holders give orders in close turns. */
	readonly handoverDelayMs: number;
	/** Limit on one call to an engine. */
	readonly callTimeoutMs: number;
	/** An engine is left alone for so long after an order, until its entry shows the outcome. */
	readonly orderTimeoutMs: number;
	/** An engine whose answer was lost is left alone for so long, since the order may be carried out late. */
	readonly unknownOutcomeMs: number;
};

/** What the controller needs. */
export type StageControllerOptions = {
	readonly clock: Clock;
	readonly log: DecisionLog;
	readonly upstreamClients: UpstreamClients;
	readonly protocol: UpstreamProtocol;
	readonly lease: OrderLease;
	/** Name of this daemon, as holder of the lease. */
	readonly daemon: string;
	readonly groups: () => readonly StageGroup[];
	/** Place of this daemon among those that may seek the lease; the first is 0. */
	readonly rank: () => number;
	readonly times: ControllerTimes;
};

/** Gaps between the lease's last possible order and the next holder's first one are at least the turn. */
export function createControllerTimes(leaseMs: number): ControllerTimes {
	return {
		settleMs: 1500, rankDelayMs: 700, maxRankDelayMs: 20_000, handoverDelayMs: leaseMs + 500, callTimeoutMs: 600, orderTimeoutMs: 6000, unknownOutcomeMs: 15_000,
	};
}

type PendingOrder = {
	readonly stage: Stage;
	readonly until: number;
};

/** Least number of orders that are under way at the same time once callers are being served. */
const minConcurrentOrders = 2;
/** Part of the engines that may be away for a change at the same time. */
const concurrentOrderFraction = 0.1;
/** The lease ends this long before the holder's view of it, so that an order on its way arrives in time. */
const arrivalMarginMs = 1000;

/** Gives orders so that the engines' stages follow the plan, only while it holds the lease. */
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

	/** Compares the engines with the plan and takes the next step; to be called a few times a second. */
	tick(): void {
		const now = this.#options.clock.now();
		const groups = this.#options.groups();
		this.#removeFinishedOrders(groups, now);
		const changes = groups.flatMap(group => planStages(group.upstreams, this.#computeDecoders(group, now))).filter(({upstream}) => !this.#pendingOrders.has(upstream.id));
		const plan = changes.map(({upstream, stage}) => `${upstream.id} ${stage}`).join(',');
		if (plan !== this.#plan) {
			this.#plan = plan;
			this.#planSince = now;
		}

		const isSettled = changes.length > 0 && now - this.#planSince >= this.#options.times.settleMs;
		const isTurn = isSettled && now - this.#planSince >= this.#options.times.settleMs + this.#rankDelayMs();
		// The first in order stands all the time, and a holder stays one: a new grant would have to wait for its turn, and an availability
		// zone that has lost its last generating engine serves nothing once it is cut off.
		const isStanding = this.#options.rank() === 0 || this.#options.lease.held() !== undefined;
		this.#setCandidate(isStanding || isTurn || (changes.length > 0 && this.#isCandidate) || this.#pendingOrders.size > 0);
		if (isSettled && this.#canOrder()) {
			this.#sendOrders(changes, groups);
		}
	}

	/** Gives the lease up, so that another daemon can give orders at once; no tick may follow. */
	resign(): void {
		this.#setCandidate(false);
	}

	/** Forgets the orders that the list shows as carried out, and those that are overdue. */
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
		// Nobody can have given an order before the first grant.
		return held !== undefined && now < held.expiresAt - arrivalMarginMs && (held.fencing === 1 || now - held.grantedAt >= this.#options.times.handoverDelayMs);
	}

	#sendOrders(changes: readonly StageChange[], groups: readonly StageGroup[]): void {
		const {clock, times} = this.#options;
		// Before callers come, no engine is missed.
		const isIdle = groups.every(({demand: {runs, backlogMs}}) => runs === 0 && backlogMs === 0);
		const engines = groups.reduce((sum, {upstreams}) => sum + upstreams.length, 0);
		const concurrent = Math.max(minConcurrentOrders, Math.floor(engines * concurrentOrderFraction));
		for (const change of isIdle ? changes : changes.slice(0, Math.max(0, concurrent - this.#pendingOrders.size))) {
			this.#pendingOrders.set(change.upstream.id, {stage: change.stage, until: clock.now() + times.orderTimeoutMs});
			void this.#sendOrder(change);
		}
	}

	async #sendOrder({upstream, stage}: StageChange): Promise<void> {
		const {clock, log, times} = this.#options;
		const report = await this.#readReport(upstream);
		const lease = this.#options.lease.held();
		if (report === undefined || report.hasOrderInProgress || report.stage === stage || lease === undefined || !this.#canOrder()) {
			log.write('stages.postponed', {
				upstream: upstream.id, stage, report, isHeld: lease !== undefined,
			});
			return;
		}

		const {upstreamClients: links, protocol, daemon} = this.#options;
		log.write('stages.ordered', {
			upstream: upstream.id, address: upstream.address, stage, fencing: lease.fencing, acceptedOrders: report.acceptedOrders,
		});
		const result = await callUpstream({
			upstreamClients: links,
			protocol,
			upstream,
			wire: protocol.encodeOrder({
				upstream, stage, holder: daemon, fencing: lease.fencing, expectedAcceptedOrders: report.acceptedOrders,
			}),
			timeoutMs: times.callTimeoutMs,
			// The connection may have taken its time: the lease is checked again right before the order is written.
			shouldStart: () => this.#canOrder() && this.#options.lease.held()?.token === lease.token,
		});
		const isDoubtful = result.kind === 'failed' && result.failure.wasSent;
		if (isDoubtful) {
			this.#pendingOrders.set(upstream.id, {stage, until: clock.now() + times.unknownOutcomeMs});
		}

		log.write('stages.answered', {
			upstream: upstream.id, stage, fencing: lease.fencing, ...(result.kind === 'answered' ? {status: result.answer.status} : {cause: result.failure.message, wasSent: result.failure.wasSent}),
		});
	}

	async #readReport(upstream: Upstream): Promise<EngineReport | undefined> {
		const {upstreamClients: links, protocol, times, log} = this.#options;
		const result = await callUpstream({
			upstreamClients: links, protocol, upstream, wire: protocol.encodeReportRequest(upstream), timeoutMs: times.callTimeoutMs,
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
