import type {Dispatcher} from 'undici';
import type {Host} from '../ports/host-list.ts';
import type {Clock} from '../process/clock.ts';
import type {Ticket} from './admission.ts';
import {runAttempt, type AttemptResult, type UpstreamRequest} from './attempt.ts';
import type {AttemptListener, Attempt} from './attempt-listener.ts';
import {isRepeatableCall, type Call} from './call.ts';
import type {CallerError, RunState} from './caller-error.ts';
import type {CrashRegistry} from './crash-registry.ts';
import {deadlineHeader} from './deadline.ts';
import {describeFailure, noUpstream} from './failure.ts';
import {selectRequestHeaders} from './headers.ts';
import type {ParsedRequest} from './parsed-request.ts';
import type {AnswerRelay} from './relay.ts';
import type {RequestDemand} from './request-demand.ts';
import type {RequestTrace} from './request-trace.ts';
import type {RetryBudget} from './retry-budget.ts';
import {mayRetry} from './retry-policy.ts';
import type {Router} from './router.ts';

/** Dependencies and limits of dispatching. */
export type DispatchOptions = {
	readonly dispatcher: Dispatcher;
	readonly clock: Clock;
	readonly router: Router;
	readonly crashRegistry: CrashRegistry;
	readonly retryBudget: RetryBudget;
	/** Returns the live upstreams that serve a call. */
	readonly upstreams: (call: Call) => readonly Host[];
	/** True for a route that the customer's contract marks as unrepeatable. */
	readonly isUnrepeatableRoute: (demand: RequestDemand) => boolean;
	/** Further listeners, such as metrics. */
	readonly listeners?: readonly AttemptListener[];
	/** Timeout for the head of an answer, in milliseconds. @default 60_000 */
	readonly headersTimeoutMs?: number;
	/** Time after which a caller that does not read its stream is disconnected, in milliseconds. @default 60_000 */
	readonly callerStallTimeoutMs?: number;
	/** Time without a complete event after which a completion stream is aborted, in milliseconds. @default 60_000 */
	readonly eventTimeoutMs?: number;
};

/** One admitted request to be dispatched. */
export type DispatchRequest = {
	readonly parsedRequest: ParsedRequest;
	readonly ticket: Ticket;
	readonly relay: AnswerRelay;
	readonly signal: AbortSignal;
	readonly trace: RequestTrace;
};

/** Result of dispatching; without an error, the answer is complete but not yet ended. */
export type DispatchOutcome = {
	readonly error?: CallerError;
	readonly result?: AttemptResult;
	readonly attempts: number;
	readonly firstByteMs?: number;
};

const defaultTimeoutMs = 60_000;
/** Together with the time for a probe and its confirmation, finds a silent live stream within 5 s. */
const liveStreamSilenceTimeoutMs = 3000;
/** No bytes arrive during prefill; this allows for 1,000 prompt tokens a second at four bytes a token. */
const silenceTimeoutMsPerPromptByte = 0.25;
const maxAttempts = 16;
let lastAttemptId = 0;

/** Sends one request to upstreams until an answer is complete or no retry is allowed. */
export class Dispatch {
	readonly #options: DispatchOptions;
	readonly #request: DispatchRequest;
	readonly #isRepeatable: boolean;
	readonly #listeners: readonly AttemptListener[];
	readonly #tried = new Set<string>();
	#runState: RunState = 'no';
	#firstByteMs: number | undefined;
	#isRetryGranted = false;

	constructor(options: DispatchOptions, request: DispatchRequest) {
		const {demand, head} = request.parsedRequest;
		this.#options = options;
		this.#request = request;
		this.#listeners = [options.router, options.crashRegistry, ...options.listeners ?? []];
		this.#isRepeatable = head.idempotencyKey === undefined
			&& isRepeatableCall(demand.method, demand.call)
			&& !options.isUnrepeatableRoute(demand);
	}

	/** True when the request may safely run twice. */
	get isRepeatable(): boolean {
		return this.#isRepeatable;
	}

	/** Runs attempts one after another; each goes to another upstream. */
	async run(): Promise<DispatchOutcome> {
		let failure: {readonly error: CallerError; readonly result?: AttemptResult} = {error: noUpstream};
		while (this.#tried.size < maxAttempts) {
			const upstream = this.#request.trace.traceRouting(() => this.#chooseUpstream());
			if (upstream === undefined) {
				break;
			}

			const result = await this.#attempt(upstream);
			if (result.outcome === 'complete') {
				return this.#createOutcome({result});
			}

			failure = {error: describeFailure(result, this.#request.relay, this.#runState), result};
			if (!this.#mayRetry(upstream, result)) {
				break;
			}
		}

		return this.#createOutcome(failure);
	}

	#createOutcome(outcome: Pick<DispatchOutcome, 'error' | 'result'>): DispatchOutcome {
		const firstByteMs = this.#firstByteMs;
		return {...outcome, attempts: this.#tried.size, ...(firstByteMs === undefined ? {} : {firstByteMs})};
	}

	#candidates(): readonly Host[] {
		const {demand} = this.#request.parsedRequest;
		const live = this.#options.upstreams(demand.call).filter(host => !this.#tried.has(host.id));
		return this.#options.crashRegistry.selectAllowed(demand, live);
	}

	#chooseUpstream(): Host | undefined {
		const candidates = this.#candidates();
		return candidates.length === 0 ? undefined : this.#options.router.choose(this.#request.parsedRequest.demand, candidates);
	}

	#mayRetry(upstream: Host, result: AttemptResult): boolean {
		if (this.#isRetryGranted) {
			this.#isRetryGranted = false;
			return result.outcome !== 'cancelled';
		}

		return mayRetry({
			result,
			hasBegun: this.#request.relay.hasBegun,
			isRepeatable: this.#isRepeatable,
			takeBudget: () => this.#takeBudget(upstream),
		});
	}

	#takeBudget(upstream: Host): boolean {
		return this.#candidates().length > 0
			&& this.#options.retryBudget.take({customer: this.#request.parsedRequest.demand.customer, upstream: upstream.id});
	}

	async #attempt(upstream: Host): Promise<AttemptResult> {
		const {parsedRequest: {demand}, trace} = this.#request;
		if (this.#tried.size === 0 && demand.serviceClass === 'live') {
			this.#options.retryBudget.earn({customer: demand.customer, upstream: upstream.id});
		}

		this.#tried.add(upstream.id);
		lastAttemptId += 1;
		const start: Attempt = {
			attemptId: lastAttemptId, demand, upstream, startedAt: this.#options.clock.now(),
		};
		for (const listener of this.#listeners) {
			listener.attemptStarted(start);
		}

		const result = await trace.traceHop('attempt', async ({span, headers}) => {
			const sent = await this.#send(start, headers);
			span.setAttributes({upstream: upstream.id, outcome: sent.outcome, ran: sent.ran});
			return sent;
		});
		this.#runState = result.ran === 'no' ? this.#runState : result.ran;
		this.#reportEnd(start, result);
		return result;
	}

	#reportEnd(start: Attempt, result: AttemptResult): void {
		const firstByteMs = this.#firstByteMs === undefined ? {} : {firstByteMs: this.#firstByteMs - start.startedAt};
		const totalMs = this.#options.clock.now() - start.startedAt;
		for (const listener of this.#listeners) {
			listener.attemptEnded(start, {...result, ...firstByteMs, totalMs});
		}
	}

	async #send(start: Attempt, traceHeaders: Readonly<Record<string, string>>): Promise<AttemptResult> {
		const {relay, signal} = this.#request;
		const {upstream} = start;
		return runAttempt(this.#options.dispatcher, this.#createUpstreamRequest(upstream, traceHeaders), {
			relay,
			signal,
			callerStallTimeoutMs: this.#options.callerStallTimeoutMs ?? defaultTimeoutMs,
			eventTimeoutMs: this.#options.eventTimeoutMs ?? defaultTimeoutMs,
			shouldDiscard: ({status}, isLeaving) => {
				if (isLeaving) {
					// A leaving upstream takes no new work, so the request has not run and can be sent to another one.
					return true;
				}

				this.#isRetryGranted = status === 503 && this.#isRepeatable && this.#takeBudget(upstream);
				return this.#isRetryGranted;
			},
			onFirstByte: () => {
				this.#firstByteMs = this.#options.clock.now();
				for (const listener of this.#listeners) {
					listener.attemptAnswered(start);
				}
			},
		});
	}

	#createUpstreamRequest(upstream: Host, traceHeaders: Readonly<Record<string, string>>): UpstreamRequest {
		const {parsedRequest: {demand, head}, ticket} = this.#request;
		const remainingMs = demand.deadlineMs === undefined
			? undefined
			: Math.max(1, Math.floor(demand.deadlineMs - this.#options.clock.now()));
		return {
			origin: `http://${upstream.address}`,
			method: demand.method,
			path: demand.call.path,
			body: demand.body,
			headersTimeoutMs: this.#options.headersTimeoutMs ?? defaultTimeoutMs,
			...(isLiveStream(demand) ? {silenceTimeoutMs: liveStreamSilenceTimeoutMs + (demand.body.length * silenceTimeoutMsPerPromptByte)} : {}),
			headers: {
				...selectRequestHeaders(head.headers),
				...traceHeaders,
				'x-request-id': demand.requestId,
				...(demand.call.kind === 'model' ? {'x-priority': String(ticket.enginePriority), 'accept-encoding': 'identity'} : {}),
				...(remainingMs === undefined ? {} : {[deadlineHeader]: String(remainingMs)}),
			},
		};
	}
}

/** True when the answer arrives without long gaps; other answers arrive in one piece or wait in the engine's queue. */
function isLiveStream({call, serviceClass}: RequestDemand): boolean {
	return call.kind === 'model' && call.stream && serviceClass === 'live';
}
