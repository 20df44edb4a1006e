import type {Dispatcher} from 'undici';
import {EndlessAnswerError, isInvalidAnswerError, type AnswerLimit} from '../answer-guard.ts';

/** Reason why an exchange did not end with a complete answer. */
export type ExchangeFailure = {
	/** False only when no byte of the request can have reached the upstream. */
	readonly wasSent: boolean;
	/** `refused`: the connection was refused; `unreachable`: it was not established in time; `lost`: it broke; `invalid`: the daemon closed it because of what the upstream sent; `cancelled`: the daemon cancelled the exchange. */
	readonly kind: 'refused' | 'unreachable' | 'lost' | 'invalid' | 'cancelled';
	readonly message: string;
	/** Limit at which the answer was given up; undefined if it ended otherwise. */
	readonly limit?: AnswerLimit;
};

/** Receives the events of one exchange; calls are synchronous, and the last one is `onEnd` or `onFailed`. */
export type ExchangeListener = {
	/** Called right before the request is written; returns false to end the exchange with nothing sent. */
	readonly shouldStart?: () => boolean;
	/** Called when the request is about to be written; from then on it may run. */
	readonly onStarted: () => void;
	/** Returns false if the answer is not one to this request; its connection is then not used again. `isReused`: other requests were sent on the connection before. */
	readonly onHead: (status: number, headers: Readonly<Record<string, string | string[] | undefined>>, isReused: boolean) => boolean;
	readonly onData: (chunk: Uint8Array) => void;
	readonly onEnd: () => void;
	readonly onFailed: (failure: ExchangeFailure) => void;
};

/** Error of an exchange that the daemon cancelled. */
class ExchangeCancelledError extends Error {
	override name = 'ExchangeCancelledError';
}

const unreachableCodes: ReadonlySet<string> = new Set(['UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH', 'ENETUNREACH', 'ETIMEDOUT']);

/** One request and its answer on one connection. */
export class Exchange implements Dispatcher.DispatchHandler {
	readonly #listener: ExchangeListener;
	readonly #destroy: (reason: Error) => void;
	readonly #reset: () => void;
	#controller: Dispatcher.DispatchController | undefined;
	#isStarted = false;
	#hasEnded = false;
	#isUnreachable = false;
	#isOwnAnswer = true;
	readonly #isReused: boolean;

	/** `reset` resets the connection, so that bytes of the request that have not left the host are dropped. */
	constructor(listener: ExchangeListener, destroy: (reason: Error) => void, reset: () => void = () => undefined, isReused = false) {
		this.#isReused = isReused;
		this.#listener = listener;
		this.#destroy = destroy;
		this.#reset = reset;
	}

	/** True once the request may have reached the upstream. */
	get isStarted(): boolean {
		return this.#isStarted;
	}

	/** True once the exchange has ended, with or without an answer. */
	get hasEnded(): boolean {
		return this.#hasEnded;
	}

	/** False once an answer has begun that is not one to this request. */
	get isOwnAnswer(): boolean {
		return this.#isOwnAnswer;
	}

	/** Cancels the exchange and resets its connection, which makes most upstreams stop the work. */
	cancel(message: string): void {
		if (!this.#hasEnded) {
			this.#reset();
			this.#abort(new ExchangeCancelledError(message));
		}
	}

	/** Ends the exchange because of the size of the answer's body; its connection is closed. */
	rejectBody(bytes: number): void {
		if (!this.#hasEnded) {
			this.#abort(new EndlessAnswerError('body', bytes));
		}
	}

	/** Ends the exchange as unreachable if its connection has not been established yet. */
	cancelConnecting(message: string): void {
		if (!this.#isStarted && !this.#hasEnded) {
			this.#isUnreachable = true;
			this.#abort(new Error(message));
		}
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		this.#controller = controller;
		if (this.#isStarted || this.#hasEnded) {
			// The client library is about to write the request a second time, on a new connection.
			controller.abort(new ExchangeCancelledError('the request was already sent or cancelled'));
			return;
		}

		if (this.#listener.shouldStart?.() === false) {
			controller.abort(new ExchangeCancelledError('the request was cancelled before it was sent'));
			return;
		}

		this.#isStarted = true;
		this.#listener.onStarted();
	}

	onResponseStart(_controller: Dispatcher.DispatchController, status: number, headers: Readonly<Record<string, string | string[] | undefined>>): void {
		if (!this.#hasEnded && status >= 200) {
			this.#isOwnAnswer = this.#listener.onHead(status, headers, this.#isReused);
		}
	}

	onResponseData(_controller: Dispatcher.DispatchController, chunk: Uint8Array): void {
		if (!this.#hasEnded) {
			this.#listener.onData(chunk);
		}
	}

	onResponseEnd(): void {
		if (!this.#hasEnded) {
			this.#hasEnded = true;
			this.#listener.onEnd();
		}
	}

	onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
		if (!this.#hasEnded) {
			this.#hasEnded = true;
			this.#listener.onFailed({
				wasSent: this.#isStarted, kind: this.#classify(error), message: error.message, limit: error instanceof EndlessAnswerError ? error.limit : undefined,
			});
		}
	}

	#abort(error: Error): void {
		if (this.#controller === undefined) {
			this.#destroy(error);
		} else {
			this.#controller.abort(error);
		}

		this.onResponseError(undefined as never, error);
	}

	#classify(error: Error): ExchangeFailure['kind'] {
		if (error instanceof ExchangeCancelledError) {
			return 'cancelled';
		}

		if (isInvalidAnswerError(error)) {
			return 'invalid';
		}

		const {code = ''} = error as {readonly code?: string};
		if (code === 'ECONNREFUSED') {
			return 'refused';
		}

		return this.#isUnreachable || unreachableCodes.has(code) ? 'unreachable' : 'lost';
	}
}
