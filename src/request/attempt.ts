import type {IncomingHttpHeaders} from 'node:http';
import type {Socket} from 'node:net';
import {errors, type Dispatcher} from 'undici';
import {isInvalidAnswerError} from '../connection/answer-guard.ts';
import {captureNextSocket, guardPausedSocket} from '../connection/attempt-socket.ts';
import type {AttemptEnd} from './attempt-listener.ts';
import type {RunState} from './caller-error.ts';
import {requestIdHeader} from './headers.ts';
import type {AnswerHead, AnswerRelay} from './relay.ts';

/** A request as it is sent to an upstream. */
export type UpstreamRequest = {
	readonly origin: string;
	readonly method: string;
	readonly path: string;
	readonly headers: IncomingHttpHeaders;
	readonly body: Uint8Array;
	/** Timeout for the head of the answer, in milliseconds. */
	readonly headersTimeoutMs: number;
	/** Time without a byte, in milliseconds, after which the connection is closed if a new one works; see `PoolDispatchOptions`. */
	readonly silenceTimeoutMs?: number;
};

/** How an attempt ended. */
export type AttemptResult = Pick<AttemptEnd, 'outcome' | 'ran' | 'status' | 'isLeaving'> & {
	/** Text for logs; the `CancelReason` when the signal ended the attempt. */
	readonly message: string;
};

/** How an attempt handles the answer and its cancellation. */
export type AttemptOptions = {
	readonly relay: AnswerRelay;
	/** Cancels the attempt: caller disconnected, deadline passed or work preempted. */
	readonly signal: AbortSignal;
	/** Called with the head of the answer; returns true to discard the answer so that another upstream can be tried. */
	readonly shouldDiscard: (head: AnswerHead, isLeaving: boolean) => boolean;
	/** Called when the first byte of the body arrives. */
	readonly onFirstByte: () => void;
	/** Time after which a caller that does not read its stream is disconnected, in milliseconds. */
	readonly callerStallTimeoutMs: number;
	/** Time without a complete event after which a completion stream is aborted, in milliseconds; bytes alone do not show that it makes progress. */
	readonly eventTimeoutMs: number;
};

const bodyTimeoutMs = 60_000;
const leavingHeader = 'wagtailtack-leaving';

/** Reason of an abort by the daemon, as opposed to a failure of the connection. */
class AttemptAbortError extends Error {
	readonly outcome: AttemptEnd['outcome'];

	constructor(outcome: AttemptEnd['outcome'], message: string) {
		super(message);
		this.outcome = outcome;
	}
}

/**
One dispatch of a request to one upstream.

The client library calls `onRequestStart` only right before it writes the request to a connected socket, so a request
without that call has not run. Aborting destroys the connection, which is therefore never reused.
*/
class Attempt implements Dispatcher.DispatchHandler {
	readonly #options: AttemptOptions;
	readonly #target: Pick<UpstreamRequest, 'method' | 'path'>;
	readonly #requestId: unknown;
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
	#eventTimer: NodeJS.Timeout | undefined;

	constructor({method, path, headers}: UpstreamRequest, options: AttemptOptions, finish: (result: AttemptResult) => void) {
		this.#target = {method, path};
		this.#requestId = headers[requestIdHeader];
		this.#options = options;
		this.#finish = finish;
		options.signal.addEventListener('abort', this.#cancel);
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		if (this.#runState !== 'no' || this.#options.signal.aborted) {
			// The client library is about to write the request a second time, or after it was cancelled.
			controller.abort(new AttemptAbortError('cancelled', 'the request was already sent or cancelled'));
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

		const answeredId = headers[requestIdHeader];
		if (answeredId !== undefined && answeredId !== this.#requestId) {
			controller.abort(new AttemptAbortError('invalid_answer', 'the answer belongs to another request'));
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
		this.#restartEventTimer(controller);
		if (!this.#hasFraming(head)) {
			controller.abort(new AttemptAbortError('invalid_answer', 'the answer has neither a content length nor chunked framing'));
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
		const {answerBytes} = relay;
		const mayContinue = relay.write(chunk);
		if (relay.answerBytes > answerBytes) {
			this.#restartEventTimer(controller);
		}

		if (relay.streamErrorCode !== undefined) {
			controller.abort(new AttemptAbortError('invalid_answer', relay.streamErrorCode));
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
			this.#end('connection_lost', 'unknown', 'the stream ended without its end marker');
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

	/** True when the end of the body can be detected: by its length, its last chunk or the end marker of a completion stream. */
	#hasFraming({status, headers}: AnswerHead): boolean {
		return this.#options.relay.hasEndMark || this.#target.method === 'HEAD' || status === 204 || status === 304
			|| headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
	}

	/** Restarts the timer for the next event of a completion stream. */
	#restartEventTimer(controller: Dispatcher.DispatchController): void {
		clearTimeout(this.#eventTimer);
		if (this.#options.relay.hasEndMark) {
			this.#eventTimer = setTimeout(() => {
				controller.abort(new AttemptAbortError('timed_out', 'the stream sent no complete event in time'));
			}, this.#options.eventTimeoutMs);
		}
	}

	#pause(controller: Dispatcher.DispatchController): void {
		controller.pause();
		clearTimeout(this.#eventTimer);
		const stallTimer = setTimeout(() => {
			controller.abort(new AttemptAbortError('cancelled', 'the caller stopped reading'));
		}, this.#options.callerStallTimeoutMs);
		const guard = this.#socket === undefined ? undefined : guardPausedSocket(this.#socket, () => this.#resume?.());
		this.#resume = () => {
			this.#resume = undefined;
			clearTimeout(stallTimer);
			guard?.[Symbol.dispose]();
			this.#restartEventTimer(controller);
			controller.resume();
		};

		this.#options.relay.onceDrained(() => this.#resume?.());
	}

	readonly #cancel = (): void => {
		const abort = new AttemptAbortError('cancelled', String(this.#options.signal.reason));
		if (this.#controller === undefined) {
			// The request still waits for a connection; `onRequestStart` prevents it from being written.
			this.#end('cancelled', 'no', abort.message);
		} else {
			this.#controller.abort(abort);
		}
	};

	#end(outcome: AttemptEnd['outcome'], ran: RunState, message: string): void {
		this.#resume?.();
		clearTimeout(this.#eventTimer);
		this.#options.signal.removeEventListener('abort', this.#cancel);
		this.#finish({
			outcome, ran, message, isLeaving: this.#isLeaving, ...(this.#status === undefined ? {} : {status: this.#status}),
		});
	}
}

/** Sends a request to one upstream and relays the answer; never rejects. */
export async function runAttempt(dispatcher: Dispatcher, request: UpstreamRequest, options: AttemptOptions): Promise<AttemptResult> {
	const {promise, resolve} = Promise.withResolvers<AttemptResult>();
	const attempt = new Attempt(request, options, resolve);
	const {headersTimeoutMs, ...rest} = request;
	try {
		dispatcher.dispatch({
			...rest,
			method: request.method,
			body: request.body.length === 0 ? null : request.body,
			headersTimeout: headersTimeoutMs,
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

	return isInvalidAnswerError(error) ? 'invalid_answer' : 'connection_lost';
}
