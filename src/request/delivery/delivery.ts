import type {CallerAnswer} from '../../connection/links/caller-answer.ts';
import type {ExchangeFailure} from '../../connection/links/exchange.ts';
import type {UpstreamClients} from '../../connection/links/upstream-clients.ts';
import type {Refusal} from '../../ports/caller-protocol.ts';
import type {Upstream} from '../../ports/upstream.ts';
import type {PromptWork, UpstreamAnswer, UpstreamProtocol} from '../../ports/upstream-protocol.ts';
import type {UpstreamBackpressure} from '../../process/backpressure/upstream-backpressure.ts';
import type {Clock} from '../../process/clock.ts';
import type {DecisionLog} from '../../process/fleet/decision-log.ts';
import type {SharedRetryBudget} from '../../process/fleet/shared-retry-budget.ts';
import type {AttemptResult} from '../../process/crashes/crash-attribution.ts';
import {crashRefusalMessages, type CrashRefusal, type RouteCrashes} from '../../process/fleet/route-crashes.ts';
import type {Route} from '../../version/routes/route-configuration.ts';
import type {OpenRequest} from '../open-request.ts';
import type {RequestIdentity} from '../request-identity.ts';
import type {RouteRequest} from './route-request.ts';
import type {UsageRecorder} from './usage-recorder.ts';
import type {
	PlacementDemand, Placement, PlacementRefusal, SendResult, UpstreamScheduler,
} from './upstream-scheduler.ts';

/** Services of the daemon that all deliveries share. */
export type DeliveryDependencies = {
	readonly clock: Clock;
	readonly upstreamClients: UpstreamClients;
	readonly protocol: UpstreamProtocol;
	readonly scheduler: UpstreamScheduler;
	readonly backpressure: UpstreamBackpressure;
	readonly retryBudget: SharedRetryBudget;
	readonly crashes: RouteCrashes;
	readonly usage: UsageRecorder;
	readonly log: DecisionLog;
};

/** Reason with which a stopping daemon aborts requests. */
export const stopReason = 'stopping';

/** Reasons with which the sends of a request end after a change of the configuration: its key was withdrawn, or the request would now be sent for another account. */
export const accessChangeReasons = {withdrawn: 'key_withdrawn', changed: 'account_changed'} as const;

/** One request to be delivered to upstreams. */
export type DeliveryJob = {
	readonly request: RouteRequest;
	readonly identity: RequestIdentity;
	readonly route: Route;
	readonly service: string;
	/** Client account of the caller; undefined without accounts, and on public routes if no valid key was shown. */
	readonly account: string | undefined;
	readonly answer: CallerAnswer;
	/** Owner of the answer; each send that may run the request is announced to it. */
	readonly open: Pick<OpenRequest, 'beginSend' | 'endSend'>;
	readonly arrivedAt: number;
	/** Deadline of the request on the daemon's clock, in milliseconds. */
	readonly deadlineAt: number;
	/** Aborts with the reason `caller_gone`, `deadline` or `stopping`. */
	readonly signal: AbortSignal;
	/** Aborts with `signal`, once a stopping daemon has too little time left to send the request, and with one of `accessChangeReasons`. */
	readonly startSignal: AbortSignal;
};

/** Result of a delivery, returned after the answer to the caller has been ended. */
export type DeliveryResult = {
	/** `failed`: an error was returned to the caller although the request may have run. `brokenOff`: the answer had begun and was aborted before its end. */
	readonly outcome: 'delivered' | 'refused' | 'failed' | 'brokenOff' | 'callerGone';
	readonly reason: string;
	/** True when an answer was broken off because its upstream had broken off, or at the deadline. */
	readonly isCutByUpstream?: boolean;
	/** Sends after which the upstream may have run the request. */
	readonly possibleRuns: number;
	/** All sends, including those that only prefill the prompt. */
	readonly sends: number;
	/** Upstream and outcome of the send that ended last. */
	readonly lastSend: {readonly upstream: string; readonly outcome: string} | undefined;
	/** Time from the arrival to the answer or its first event, in milliseconds. */
	readonly firstAnswerMs: number | undefined;
};

/** Largest `retry-after` of a refusal, as a fraction of the caller's remaining time; `minRetryAfterMs` applies even if it is larger. */
const maxRetryAfterRatio = 0.3;
const minRetryAfterMs = 50;
/** An upstream's deadline is earlier by this margin, so that the upstream stops before the daemon gives up. */
const upstreamDeadlineMarginMs = 20;

/** State and steps common to all kinds of delivery. */
export abstract class Delivery {
	protected readonly dependencies: DeliveryDependencies;
	protected readonly job: DeliveryJob;
	/** Ids of the upstreams that are not chosen again for this request. */
	protected readonly triedUpstreams = new Set<string>();
	/** Sends after which the upstream may have run the request. */
	protected possibleRuns = 0;
	protected sends = 0;
	/** Sends reserved so far; all but the first are charged to the shared retry budget. */
	protected reservedSends = 0;
	protected firstAnswerMs: number | undefined;
	#lastSend: DeliveryResult['lastSend'];
	/** True when the next call of `reserveSend` uses the reservation that was made earlier. */
	#isReservationCarried = false;
	/** Release the places and end the attempts of all sends; without effect on those that have ended. */
	readonly #releases: Array<() => void> = [];

	constructor(dependencies: DeliveryDependencies, job: DeliveryJob) {
		this.dependencies = dependencies;
		this.job = job;
	}

	/** Delivers the request; rejects only if the daemon itself fails, with the places at upstreams released. */
	async run(): Promise<DeliveryResult> {
		try {
			return await this.deliver();
		} catch (error) {
			for (const release of this.#releases) {
				release();
			}

			throw error;
		}
	}

	protected get remainingMs(): number {
		return this.job.deadlineAt - this.dependencies.clock.now();
	}

	protected get upstreamRemainingMs(): number {
		return Math.max(1, this.remainingMs - upstreamDeadlineMarginMs);
	}

	protected get demand(): PlacementDemand {
		const {request, identity, route, service, account, arrivedAt, deadlineAt, startSignal} = this.job;
		const excluded = this.dependencies.crashes.excludedUpstreams(identity, service);
		return {
			request, route, service, account, triedUpstreams: excluded.size === 0 ? this.triedUpstreams : new Set([...this.triedUpstreams, ...excluded]), arrivedAt, deadlineAt, signal: startSignal,
		};
	}

	/**
	Reserves the next send, or uses the reservation that was carried over to it.

	The first send of a request is free, each further one needs retry budget. Returns false when none is left, or when the request
	was found to crash upstreams while it waited.
	*/
	protected reserveSend(): boolean {
		if (this.#crashRefusal !== undefined) {
			return false;
		}

		if (this.#isReservationCarried) {
			this.#isReservationCarried = false;
			return true;
		}

		if (this.reservedSends > 0 && !this.dependencies.retryBudget.take(this.job.service, this.dependencies.clock.now())) {
			// `arrivals`: sends reserved before this one.
			this.log('retry.denied', {service: this.job.service, arrivals: this.reservedSends});
			return false;
		}

		this.reservedSends += 1;
		return true;
	}

	/** Carries the last reservation over to the next send, which is then not counted again. */
	protected carryReservation(): void {
		this.#isReservationCarried = true;
	}

	/** Counts and logs the start of a send. */
	protected recordSend(placement: Placement, work: PromptWork['kind'] | 'plain', fields: Readonly<Record<string, unknown>> = {}): void {
		const {upstream, predictedMs} = placement;
		this.sends += 1;
		this.#releases.push(() => {
			placement.release({kind: 'cancelled', elapsedMs: 0});
		});
		this.log('send', {
			upstream: upstream.id, address: upstream.address, work, ...fields, predictedMs: Math.round(predictedMs), remainingMs: Math.round(this.remainingMs),
		});
	}

	/** Records the start of a send for the search for requests that crash upstreams; the returned function must be called with its result. */
	protected beginAttempt(upstream: Upstream): (result: AttemptResult) => void {
		const {request, identity} = this.job;
		const end = this.dependencies.crashes.begin(request, identity, upstream);
		let hasEnded = false;
		const endOnce = (result: AttemptResult) => {
			if (!hasEnded) {
				hasEnded = true;
				end(result);
			}
		};

		this.#releases.push(() => {
			endOnce('other');
		});
		return endOnce;
	}

	/** Logs the result of a send, as the event `sent`. */
	protected logSendResult({id}: Upstream, outcome: string, elapsedMs: number, fields: Readonly<Record<string, unknown>>): void {
		this.#lastSend = {upstream: id, outcome};
		this.log('sent', {
			upstream: id, outcome, elapsedMs: Math.round(elapsedMs), ...fields,
		});
	}

	/** Classifies a failed call for the scheduler; a call that the daemon ended because it timed out counts as silent. */
	protected classifyFailure(failure: ExchangeFailure, elapsedMs: number, signal = this.job.signal): SendResult {
		if (failure.kind === 'cancelled') {
			return {kind: signal.aborted || !this.hasAccess ? 'cancelled' : 'silent', elapsedMs};
		}

		return {kind: toSendResultKind(failure), elapsedMs};
	}

	protected log(event: string, fields: Readonly<Record<string, unknown>>): void {
		this.dependencies.log.write(event, {request: this.job.request.id, ...fields});
	}

	protected createResult(outcome: DeliveryResult['outcome'], reason: string): DeliveryResult {
		return {
			outcome, reason, possibleRuns: this.possibleRuns, sends: this.sends, lastSend: this.#lastSend, firstAnswerMs: this.firstAnswerMs,
		};
	}

	protected markFirstAnswer(): void {
		this.firstAnswerMs ??= this.dependencies.clock.now() - this.job.arrivedAt;
	}

	/** Refuses a request that no upstream has run. */
	protected refuse(message: string, retryAfterMs: number): DeliveryResult {
		if (this.isCallerGone) {
			return this.createResult('callerGone', message);
		}

		if (this.job.startSignal.reason === accessChangeReasons.withdrawn) {
			return this.#refuseWithdrawn();
		}

		const maxRetryAfterMs = Math.max(0, this.remainingMs * maxRetryAfterRatio);
		this.job.answer.refuse({
			ran: 'notRun',
			kind: 'busy',
			message: this.job.startSignal.reason === stopReason ? 'The daemon is stopping.' : message,
			retryAfterMs: Math.max(minRetryAfterMs, Math.min(retryAfterMs, maxRetryAfterMs)),
		});
		return this.createResult('refused', message);
	}

	/** Fails a request that may have run. */
	protected fail(kind: Extract<Refusal['kind'], 'badAnswer' | 'expired'>, message: string): DeliveryResult {
		if (this.isCallerGone) {
			return this.createResult('callerGone', message);
		}

		this.job.answer.refuse({
			ran: 'unknown', kind, message, retryAfterMs: undefined,
		});
		return this.createResult('failed', message);
	}

	/** Refuses a request for which no send could be reserved. */
	protected refuseUnreserved(): DeliveryResult {
		return this.#refuseCrashing() ?? this.refuse('No further attempt is allowed.', 0);
	}

	/** Refuses a request that the scheduler could not place. */
	protected refusePlacement({reason, retryAfterMs}: PlacementRefusal): DeliveryResult {
		return this.#refuseCrashing() ?? this.refuse(reason === 'noUpstream' ? 'No upstream is available.' : 'The service has no room in time.', retryAfterMs);
	}

	/** False once the caller's access has ended; checked right before a send is written, which may wait for a connection. */
	protected get hasAccess(): boolean {
		const {startSignal} = this.job;
		return startSignal.reason !== accessChangeReasons.withdrawn && startSignal.reason !== accessChangeReasons.changed;
	}

	protected get isCallerGone(): boolean {
		return this.job.signal.aborted && this.job.signal.reason === 'caller_gone';
	}

	/**
	True when an answer belongs to this request: it has the request's id. An answer without an id that says that the request was
	not run counts only on a connection on which nothing else was sent before; on any other one it may be a late copy.
	*/
	protected isOwnAnswer({requestId, isNotRun}: UpstreamAnswer, isReused: boolean): boolean {
		return requestId === undefined ? isNotRun && !isReused : requestId === this.job.request.id;
	}

	/** True when an answer belongs to this request and, with a status below 300, is signed by its upstream and not re-encoded on the way. */
	protected isAuthenticAnswer(answer: UpstreamAnswer, isReused: boolean): boolean {
		const {status, isSigned, hasContentEncoding} = answer;
		return this.isOwnAnswer(answer, isReused) && (status >= 300 || (isSigned && !hasContentEncoding));
	}

	protected abstract deliver(): Promise<DeliveryResult>;

	#refuseWithdrawn(): DeliveryResult {
		const message = 'The key was withdrawn.';
		this.job.answer.refuse({
			ran: 'notRun', kind: 'unauthorized', message, retryAfterMs: undefined,
		});
		return this.createResult('refused', message);
	}

	get #crashRefusal(): CrashRefusal | undefined {
		return this.dependencies.crashes.findRefusal(this.job.identity);
	}

	#refuseCrashing(): DeliveryResult | undefined {
		const refusal = this.#crashRefusal;
		return refusal === undefined ? undefined : this.refuse(crashRefusalMessages[refusal.status], refusal.retryAfterMs);
	}
}

/** Returns how an upstream declined a request, or undefined when the upstream may have run the request. */
export function classifyRejection({isNotRun, isMisdirected}: UpstreamAnswer): 'misdirected' | 'rejected' | undefined {
	if (!isNotRun) {
		return undefined;
	}

	return isMisdirected ? 'misdirected' : 'rejected';
}

/** Returns the result of a send that the exchange did not answer. */
export function toSendResultKind({kind, wasSent}: ExchangeFailure): SendResult['kind'] {
	return wasSent || kind === 'invalid' || kind === 'cancelled' ? 'lost' : kind;
}
