import type {ServerResponse} from 'node:http';
import type {Admission, RequestUsage, Ticket} from './admission.ts';
import {
	runStateHeader, toRunState, type CallerError, type RunState,
} from './caller-error.ts';
import {combineSignals, type CancelReason} from './cancellation.ts';
import type {Claim, ClaimStore, StoredAnswer} from './claim-store.ts';
import {Dispatch, type DispatchOptions, type DispatchOutcome} from './dispatch.ts';
import {describeCancellation} from './failure.ts';
import type {ParsedRequest} from './parsed-request.ts';
import {AnswerRelay} from './relay.ts';
import type {RequestTrace} from './request-trace.ts';

/** Dependencies and limits of the pipeline. */
export type RequestPipelineOptions = DispatchOptions & {
	readonly admission: Admission;
	readonly claimStore: ClaimStore;
	/** Largest answer body of a claimed request that is stored for resends, in bytes. @default 4 MiB */
	readonly maxStoredAnswerBytes?: number;
};

/** One request in the pipeline. */
export type PipelineRequest = {
	readonly parsedRequest: ParsedRequest;
	readonly response: ServerResponse;
	/** Aborts with a `CancelReason`. */
	readonly signal: AbortSignal;
	readonly trace: RequestTrace;
};

/** Result of a request. */
export type PipelineOutcome = {
	/** Set when no complete answer was relayed. */
	readonly error?: CallerError;
	/** Relay of an answer that has begun and must be aborted. */
	readonly unfinishedRelay?: AnswerRelay;
	readonly attempts: number;
	readonly answerBytes: number;
	readonly firstByteMs?: number;
};

const defaultMaxStoredAnswerBytes = 4 * 1024 * 1024;

/** Runs complete requests through crash check, claim, admission and dispatch. */
export class RequestPipeline {
	readonly #options: RequestPipelineOptions;

	constructor(options: RequestPipelineOptions) {
		this.#options = options;
	}

	/** Runs one request; an error is returned, and the caller of this method sends it. */
	async run(request: PipelineRequest): Promise<PipelineOutcome> {
		const {parsedRequest: {demand, head}, trace} = request;
		const {idempotencyKey} = head;
		const condemned = this.#options.crashRegistry.checkCondemned(demand);
		if (condemned !== undefined) {
			// An earlier request with the same key may have run.
			return createFailure(idempotencyKey === undefined ? condemned : {...condemned, ran: 'unknown'});
		}

		if (idempotencyKey === undefined) {
			return this.#admit(request);
		}

		const {customer, fingerprint} = demand;
		const grant = await trace.traceHop('claim', async () =>
			this.#options.claimStore.claim({customer, idempotencyKey, digest: fingerprint}));
		return grant.caseOf<PipelineOutcome | Promise<PipelineOutcome>>({
			Left: createFailure,
			Right: async value => value.kind === 'answered'
				? sendStoredAnswer(request, value.answer)
				: this.#runClaimed(request, value.claim),
		});
	}

	async #runClaimed(request: PipelineRequest, claim: Claim): Promise<PipelineOutcome> {
		const outcome = await this.#admit(request, claim);
		if (outcome.error?.ran === 'no') {
			await claim.release();
		} else if (outcome.error !== undefined) {
			await claim.abandon();
		}

		return outcome;
	}

	async #admit(request: PipelineRequest, claim?: Claim): Promise<PipelineOutcome> {
		const {parsedRequest: {demand}, trace} = request;
		if (request.signal.aborted) {
			return createFailure(describeCancellation(request.signal.reason as CancelReason, 'no'));
		}

		const ticket = await trace.traceHop('queue', async () => this.#options.admission.acquire(demand, request.signal));
		return ticket.caseOf<PipelineOutcome | Promise<PipelineOutcome>>({
			Left: createFailure,
			Right: async granted => this.#dispatch(request, granted, claim),
		});
	}

	async #dispatch(request: PipelineRequest, ticket: Ticket, claim?: Claim): Promise<PipelineOutcome> {
		const startMs = this.#options.clock.now();
		const relay = this.#createRelay(request, claim);
		// A claimed request is not cancelled when its caller disconnects, because its answer is needed for resends.
		using scope = combineSignals(claim === undefined ? request.signal : undefined, ticket.preemptionSignal);
		const {signal} = scope;
		const dispatch = new Dispatch(this.#options, {
			...request, ticket, relay, signal,
		});
		let outcome: DispatchOutcome | undefined;
		try {
			outcome = await dispatch.run();
		} finally {
			ticket.release(this.#createUsage(outcome, relay, startMs));
		}

		if (outcome.error === undefined) {
			await this.#finish(relay, claim);
			return this.#createOutcome(outcome, relay, startMs);
		}

		const canRestart = outcome.error.code === 'preempted' && dispatch.isRepeatable && !relay.hasBegun;
		if (canRestart) {
			return keepRunState(await this.#admit(request, claim), outcome.error.ran);
		}

		return this.#createOutcome(outcome, relay, startMs);
	}

	#createRelay({parsedRequest: {demand, head}, response}: PipelineRequest, claim?: Claim): AnswerRelay {
		return new AnswerRelay({
			response,
			requestId: head.requestId,
			isCompletionStream: demand.call.kind === 'model' && demand.call.stream,
			maxStoredAnswerBytes: claim === undefined ? 0 : this.#options.maxStoredAnswerBytes ?? defaultMaxStoredAnswerBytes,
		});
	}

	/** Stores the answer of a claimed request before its end is sent, so that a resend after a complete answer finds it. */
	async #finish(relay: AnswerRelay, claim?: Claim): Promise<void> {
		const kept = claim === undefined ? undefined : relay.takeStoredAnswer();
		await (kept === undefined ? claim?.abandon() : claim?.complete(kept));
		relay.end();
	}

	#createUsage(outcome: DispatchOutcome | undefined, relay: AnswerRelay, startMs: number): RequestUsage {
		const isCancelled = outcome?.result?.outcome === 'cancelled';
		return {
			outcome: outcome !== undefined && outcome.error === undefined ? 'complete' : (isCancelled ? 'cancelled' : 'failed'),
			answerBytes: relay.answerBytes,
			...(outcome?.firstByteMs === undefined ? {} : {firstByteMs: outcome.firstByteMs - startMs}),
			totalMs: this.#options.clock.now() - startMs,
		};
	}

	#createOutcome(outcome: DispatchOutcome, relay: AnswerRelay, startMs: number): PipelineOutcome {
		const {error, attempts, firstByteMs} = outcome;
		return {
			attempts,
			answerBytes: relay.answerBytes,
			...(error === undefined ? {} : {error}),
			...(error !== undefined && relay.hasBegun ? {unfinishedRelay: relay} : {}),
			...(firstByteMs === undefined ? {} : {firstByteMs: firstByteMs - startMs}),
		};
	}
}

function createFailure(error: CallerError): PipelineOutcome {
	return {error, attempts: 0, answerBytes: 0};
}

/** Corrects a refusal after a restart: the request may have run before it, although not since. */
function keepRunState(restarted: PipelineOutcome, earlier: RunState): PipelineOutcome {
	return restarted.error?.ran === 'no' ? {...restarted, error: {...restarted.error, ran: earlier}} : restarted;
}

function sendStoredAnswer({parsedRequest, response}: PipelineRequest, answer: StoredAnswer): PipelineOutcome {
	response.writeHead(answer.status, {
		...answer.headers, 'x-request-id': parsedRequest.head.requestId, [runStateHeader]: toRunState(answer.status), 'content-length': answer.body.length,
	});
	response.end(answer.body);
	return {attempts: 0, answerBytes: answer.body.length};
}
