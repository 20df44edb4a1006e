import type {CallerAnswer} from '../../connection/links/caller-answer.ts';
import type {ExchangeFailure} from '../../connection/links/exchange.ts';
import type {UpstreamClients} from '../../connection/links/upstream-clients.ts';
import type {Refusal} from '../../ports/caller-protocol.ts';
import type {Upstream} from '../../ports/upstream.ts';
import type {PromptWork, UpstreamAnswer, UpstreamProtocol} from '../../ports/upstream-protocol.ts';
import type {Clock} from '../../process/clock.ts';
import type {DecisionLog} from '../../process/fleet/decision-log.ts';
import type {SharedRetryBudget} from '../../process/fleet/shared-retry-budget.ts';
import type {CrashDetector} from '../../process/fleet/crash-detector.ts';
import type {Route} from '../../version/routes/route-configuration.ts';
import type {RouteRequest} from './route-request.ts';
import type {
	PlacementDemand, Placement, PlacementRefusal, SendResult, UpstreamScheduler,
} from './upstream-scheduler.ts';

/** What deliveries need from the rest of the daemon. */
export type DeliveryDependencies = {
	readonly clock: Clock;
	readonly upstreamClients: UpstreamClients;
	readonly protocol: UpstreamProtocol;
	readonly scheduler: UpstreamScheduler;
	readonly retryBudget: SharedRetryBudget;
	readonly crashes: CrashDetector;
	readonly log: DecisionLog;
};

/** One request on its way to upstreams. */
export type DeliveryJob = {
	readonly request: RouteRequest;
	readonly route: Route;
	readonly service: string;
	readonly answer: CallerAnswer;
	readonly arrivedAt: number;
	/** Time by which the request must have ended, on the daemon's clock in milliseconds. */
	readonly deadlineAt: number;
	/** Aborted with `caller_gone` or `deadline`. */
	readonly signal: AbortSignal;
};

/** How a delivery ended; the caller's answer has been ended accordingly. */
export type DeliveryResult = {
	readonly outcome: 'delivered' | 'refused' | 'failed' | 'brokenOff' | 'callerGone';
	readonly reason: string;
	/** Sends to upstreams that may have run the request. */
	readonly runs: number;
	/** All sends, those that only read the prompt included. */
	readonly sends: number;
	/** Time to the answer or its first event, in milliseconds. */
	readonly firstAnswerMs: number | undefined;
};

/** Share of the caller's remaining time that it waits at most before it comes back. */
const maxRetryAfterRatio = 0.3;
const minRetryAfterMs = 50;
/** Margin within which an upstream is told to stop before the daemon itself gives up. */
const upstreamDeadlineMarginMs = 20;

/** State and steps that deliveries of all kinds share. */
export abstract class Delivery {
	protected readonly dependencies: DeliveryDependencies;
	protected readonly job: DeliveryJob;
	protected readonly tried = new Set<string>();
	/** Sends that may have run. */
	protected runs = 0;
	protected sends = 0;
	/** Sends that count against the shared retry budget once the first one is made. */
	protected countedSends = 0;
	protected firstAnswerMs: number | undefined;
	/** Set when the next arrival has been counted already. */
	#isNextSendReserved = false;

	constructor(tools: DeliveryDependencies, job: DeliveryJob) {
		this.dependencies = tools;
		this.job = job;
	}

	/** Delivers the request; never rejects. */
	abstract run(): Promise<DeliveryResult>;

	protected get remainingMs(): number {
		return this.job.deadlineAt - this.dependencies.clock.now();
	}

	protected get upstreamRemainingMs(): number {
		return Math.max(1, this.remainingMs - upstreamDeadlineMarginMs);
	}

	protected get demand(): PlacementDemand {
		const {request, route, service, arrivedAt, deadlineAt: endAt, signal} = this.job;
		return {
			request, route, service, tried: this.tried, arrivedAt, deadlineAt: endAt, signal,
		};
	}

	/**
	Asks whether a send that has been silent may be ended: only when the next one is certain, since an upstream may also be slow
	and a caller whose request is given up for nothing has lost it.
	*/
	protected reserveFailover(): boolean {
		const mayResend = this.dependencies.scheduler.hasUntriedUpstream(this.demand) && this.reserveSend();
		if (mayResend) {
			this.carryReservation();
		}

		return mayResend;
	}

	/** True when one more arrival at an upstream is allowed; the first arrival of a request is free. */
	protected reserveSend(): boolean {
		if (this.#isNextSendReserved) {
			this.#isNextSendReserved = false;
			return true;
		}

		if (this.countedSends > 0 && !this.dependencies.retryBudget.take(this.job.service, this.dependencies.clock.now())) {
			this.log('retry.denied', {service: this.job.service, arrivals: this.countedSends});
			return false;
		}

		this.countedSends += 1;
		return true;
	}

	/** Lets the next arrival go on the account of the last one that was taken. */
	protected carryReservation(): void {
		this.#isNextSendReserved = true;
	}

	/** Counts and logs a send that begins. */
	protected recordSend({upstream, predictedMs}: Placement, work: PromptWork['kind'] | 'plain', fields: Readonly<Record<string, unknown>> = {}): void {
		this.sends += 1;
		this.log('send', {
			upstream: upstream.id, address: upstream.address, work, ...fields, predictedMs: Math.round(predictedMs), remainingMs: Math.round(this.remainingMs),
		});
	}

	/** Logs a send that has ended. */
	protected logSendResult({id}: Upstream, outcome: string, elapsedMs: number, fields: Readonly<Record<string, unknown>>): void {
		this.log('sent', {
			upstream: id, outcome, elapsedMs: Math.round(elapsedMs), ...fields,
		});
	}

	/** Classifies a failed call for the scheduler; one that the daemon itself gave up was silent. */
	protected classifyFailure({kind, wasSent}: ExchangeFailure, elapsedMs: number): SendResult {
		if (kind === 'cancelled') {
			return {kind: this.job.signal.aborted ? 'cancelled' : 'silent', elapsedMs};
		}

		return {kind: wasSent ? 'lost' : kind, elapsedMs};
	}

	protected log(event: string, fields: Readonly<Record<string, unknown>>): void {
		this.dependencies.log.write(event, {request: this.job.request.id, ...fields});
	}

	protected createResult(outcome: DeliveryResult['outcome'], reason: string): DeliveryResult {
		return {
			outcome, reason, runs: this.runs, sends: this.sends, firstAnswerMs: this.firstAnswerMs,
		};
	}

	protected markFirstAnswer(): void {
		this.firstAnswerMs ??= this.dependencies.clock.now() - this.job.arrivedAt;
	}

	/** Ends a request that no upstream has run. */
	protected refuse(message: string, retryAfterMs: number): DeliveryResult {
		if (this.isCallerGone) {
			return this.createResult('callerGone', message);
		}

		const bound = Math.max(0, this.remainingMs * maxRetryAfterRatio);
		this.job.answer.refuse({
			ran: 'notRun', kind: 'busy', message, retryAfterMs: Math.max(minRetryAfterMs, Math.min(retryAfterMs, bound)),
		});
		return this.createResult('refused', message);
	}

	/** Ends a request that may have run. */
	protected fail(kind: Extract<Refusal['kind'], 'badAnswer' | 'expired'>, message: string): DeliveryResult {
		if (this.isCallerGone) {
			return this.createResult('callerGone', message);
		}

		this.job.answer.refuse({
			ran: 'unknown', kind, message, retryAfterMs: undefined,
		});
		return this.createResult('failed', message);
	}

	/** Ends a request for which there is no place. */
	protected refusePlacement({reason, retryAfterMs}: PlacementRefusal): DeliveryResult {
		return this.refuse(reason === 'noUpstream' ? 'No upstream is available.' : 'The service has no room in time.', retryAfterMs);
	}

	protected get isCallerGone(): boolean {
		return this.job.signal.aborted && this.job.signal.reason === 'caller_gone';
	}

	/** True when an answer belongs to this request and is as its upstream wrote it. */
	protected isAuthenticAnswer({requestId, status, isSigned, isEncoded, isNotRun}: UpstreamAnswer): boolean {
		const isOwnId = requestId === undefined ? isNotRun : requestId === this.job.request.id;
		return isOwnId && (status >= 300 || (isSigned && !isEncoded));
	}
}

/** How an upstream declined a request; undefined when it may have run it. */
export function classifyRejection({isNotRun, isMisdirected}: UpstreamAnswer): 'misdirected' | 'rejected' | undefined {
	if (!isNotRun) {
		return undefined;
	}

	return isMisdirected ? 'misdirected' : 'rejected';
}
