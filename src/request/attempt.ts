import type {IncomingHttpHeaders} from 'node:http';
import type {Socket} from 'node:net';
import {errors, type Dispatcher} from 'undici';
import {captureNextSocket, guardPausedSocket} from '../connection/attempt-socket.ts';
import type {AttemptEnd} from './attempt-listener.ts';
import type {RunState} from './caller-error.ts';
import type {AnswerHead, AnswerRelay} from './relay.ts';

/** A request as it is sent to an upstream. */
export type UpstreamRequest = {
	readonly origin: string;
	readonly method: string;
	readonly path: string;
	readonly headers: IncomingHttpHeaders;
	readonly body: Uint8Array;
	/** Limit on the wait for the answer's head, in milliseconds. */
	readonly headersTimeoutMs: number;
	/** Silence after which the connection is compared with a new one, in milliseconds; see the upstream pool. */
	readonly silenceTimeoutMs?: number;
};

/** How an attempt ended. */
export type AttemptResult = Pick<AttemptEnd, 'outcome' | 'ran' | 'status' | 'isLeaving'> & {
	/** For logs. */
	readonly message: string;
};

/** What an attempt does with the answer. */
export type AttemptOptions = {
	readonly relay: AnswerRelay;
	/** Ends the attempt: caller gone, deadline or preemption. */
	readonly signal: AbortSignal;
	/** Called on the head of the answer; true discards the answer so that another upstream is tried. */
	readonly shouldDiscard: (head: AnswerHead, isLeaving: boolean) => boolean;
	/** Called on the first byte of the body. */
	readonly onFirstByte: () => void;
	/** Limit on the time that a caller may leave its stream undrained, in milliseconds. */
	readonly callerStallTimeoutMs: number;
};

const bodyTimeoutMs = 60_000;
const leavingHeader = 'wagtailtack-leaving';

/** Cause of an abort that comes from the daemon and not from the connection. */
class AttemptAbortError extends Error {
	readonly outcome: AttemptEnd['outcome'];

	constructor(outcome: AttemptEnd['outcome'], message: string) {
		super(message);
		this.outcome = outcome;
	}
}

/**
One dispatch of a request to one upstream.

The client library calls `onRequestStart` right before it writes to a connected socket and on no other occasion,
so that the request was not run if that call has not happened. Aborting destroys the connection: it is never reused.
*/
class Attempt implements Dispatcher.DispatchHandler {
	readonly #options: AttemptOptions;
	readonly #target: Pick<UpstreamRequest, 'method' | 'path'>;
	readonly #finish: (result: AttemptResult) => void;
	#controller: Dispatcher.DispatchController | undefined;
	#runState: RunState = 'no';
	#status: number | undefined;
	#isLeaving = false;
	#hasFirstByte = false;
	#isDiscarded = false;
	#socket: Socket | undefined;
	/** Set while the answer is paused. */
	#resume: (() => void) | undefined;

	constructor({method, path}: UpstreamRequest, options: AttemptOptions, finish: (result: AttemptResult) => void) {
		this.#target = {method, path};
		this.#options = options;
		this.#finish = finish;
		options.signal.addEventListener('abort', this.#cancel);
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		if (this.#runState !== 'no' || this.#options.signal.aborted) {
			// The library would write the request a second time, or after its caller has gone.
			controller.abort(new AttemptAbortError('cancelled', 'the request must not be written'));
			return;
		}

		this.#runState = 'unknown';
		this.#controller = controller;
		captureNextSocket({
			...this.#target,
			onSocket: socket => {
				this.#socket = socket;
			},
		});
	}

	onResponseStart(controller: Dispatcher.DispatchController, status: number, headers: IncomingHttpHeaders): void {
		if (status < 200) {
			return;
		}

		const head = {status, headers};
		this.#status = status;
		this.#isLeaving = status === 503 && headers[leavingHeader] === 'true';
		this.#isDiscarded = this.#options.shouldDiscard(head, this.#isLeaving);
		if (this.#isDiscarded) {
			return;
		}

		this.#options.relay.begin(head);
		if (!this.#hasFraming(head)) {
			controller.abort(new AttemptAbortError('invalid_answer', 'the end of the answer cannot be recognised'));
		}
	}

	onResponseData(controller: Dispatcher.DispatchController, chunk: Uint8Array): void {
		if (this.#isDiscarded) {
			return;
		}

		if (!this.#hasFirstByte) {
			this.#hasFirstByte = true;
			this.#options.onFirstByte();
		}

		const {relay} = this.#options;
		const mayContinue = relay.write(chunk);
		if (relay.fault !== undefined) {
			controller.abort(new AttemptAbortError('invalid_answer', relay.fault));
		} else if (!mayContinue) {
			this.#pause(controller);
		}
	}

	onResponseEnd(): void {
		if (this.#isDiscarded && this.#isLeaving) {
			this.#end('not_sent', 'no', 'the upstream is leaving');
		} else if (this.#isDiscarded) {
			this.#end('connection_lost', 'unknown', 'the upstream refused the request');
		} else if (this.#options.relay.isComplete) {
			this.#end('complete', 'yes', '');
		} else {
			this.#end('connection_lost', 'unknown', 'the stream ended without its end mark');
		}
	}

	onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
		if (error instanceof AttemptAbortError) {
			this.#end(error.outcome, this.#runState, error.message);
		} else if (this.#runState === 'no') {
			this.#end('not_sent', 'no', error.message);
		} else {
			this.#end(classifyError(error), 'unknown', error.message);
		}
	}

	/** A whole body is recognised by its length, its last chunk or the end mark of a completion stream. */
	#hasFraming({status, headers}: AnswerHead): boolean {
		return this.#options.relay.hasEndMark || this.#target.method === 'HEAD' || status === 204 || status === 304
			|| headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
	}

	#pause(controller: Dispatcher.DispatchController): void {
		controller.pause();
		const stallTimer = setTimeout(() => {
			controller.abort(new AttemptAbortError('cancelled', 'the caller stopped reading'));
		}, this.#options.callerStallTimeoutMs);
		const watch = this.#socket === undefined ? undefined : guardPausedSocket(this.#socket, () => this.#resume?.());
		this.#resume = () => {
			this.#resume = undefined;
			clearTimeout(stallTimer);
			watch?.[Symbol.dispose]();
			controller.resume();
		};

		this.#options.relay.onceDrained(() => this.#resume?.());
	}

	readonly #cancel = (): void => {
		const abort = new AttemptAbortError('cancelled', String(this.#options.signal.reason));
		if (this.#controller === undefined) {
			// Still waiting for a connection: onRequestStart refuses to write.
			this.#end('cancelled', 'no', abort.message);
		} else {
			this.#controller.abort(abort);
		}
	};

	#end(outcome: AttemptEnd['outcome'], ran: RunState, message: string): void {
		this.#resume?.();
		this.#options.signal.removeEventListener('abort', this.#cancel);
		this.#finish({
			outcome, ran, message, isLeaving: this.#isLeaving, ...(this.#status === undefined ? {} : {status: this.#status}),
		});
	}
}

/** Sends a request to one upstream and relays its answer; never rejects. */
export async function runAttempt(dispatcher: Dispatcher, request: UpstreamRequest, options: AttemptOptions): Promise<AttemptResult> {
	const {promise, resolve} = Promise.withResolvers<AttemptResult>();
	const attempt = new Attempt(request, options, resolve);
	const {headersTimeoutMs: headTimeoutMs, ...rest} = request;
	try {
		dispatcher.dispatch({
			...rest,
			method: request.method,
			body: request.body.length === 0 ? null : request.body,
			headersTimeout: headTimeoutMs,
			bodyTimeout: bodyTimeoutMs,
		}, attempt);
	} catch (error) {
		attempt.onResponseError(undefined as never, error as Error);
	}

	return promise;
}

function classifyError(error: Error): AttemptEnd['outcome'] {
	if (error instanceof errors.HeadersTimeoutError || error instanceof errors.BodyTimeoutError) {
		return 'timed_out';
	}

	const isCutShort = error instanceof errors.HTTPParserError && error.code === 'HPE_INVALID_EOF_STATE';
	if (isCutShort) {
		return 'connection_lost';
	}

	return error instanceof errors.HTTPParserError || error instanceof errors.HeadersOverflowError
		? 'invalid_answer'
		: 'connection_lost';
}
