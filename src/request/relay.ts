import {Buffer} from 'node:buffer';
import type {IncomingHttpHeaders, ServerResponse} from 'node:http';
import {
	abortEventStream, runStateHeader, toRunState, type CallerError,
} from './caller-error.ts';
import {EventStreamValidator, type StreamFault} from './event-stream-validator.ts';
import {selectAnswerHeaders} from './headers.ts';
import type {StoredAnswer} from './claim-store.ts';

/** Head of an upstream's answer. */
export type AnswerHead = {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
};

/** How an answer is relayed. */
export type RelayOptions = {
	readonly response: ServerResponse;
	readonly requestId: string;
	/** True when a streamed completion was asked for, so that its end mark and ids are checked. */
	readonly isCompletionStream: boolean;
	/** Largest answer that is kept for resends, in bytes; nothing is kept when it is 0. */
	readonly maxStoredAnswerBytes: number;
};

/**
Relays one answer to the caller with bounded buffering.

The head is held back until the first byte of the body, so that an answer without output can be retried elsewhere.
*/
export class AnswerRelay {
	readonly #options: RelayOptions;
	readonly #storedChunks: Uint8Array[] = [];
	#head: AnswerHead | undefined;
	#validator: EventStreamValidator | undefined;
	#bytes = 0;

	constructor(options: RelayOptions) {
		this.#options = options;
	}

	/** True once a byte was handed to the caller's connection. */
	get hasBegun(): boolean {
		return this.#options.response.headersSent;
	}

	/** Bytes of the body that were relayed. */
	get answerBytes(): number {
		return this.#bytes;
	}

	/** Reason to abandon the stream, if any. */
	get fault(): StreamFault | undefined {
		return this.#validator?.fault;
	}

	/** True when the end of the body is marked inside it. */
	get hasEndMark(): boolean {
		return this.#validator !== undefined;
	}

	/** True when the end of the body proves that the answer is whole. */
	get isComplete(): boolean {
		return this.#validator === undefined || this.#validator.isComplete;
	}

	/** Takes the head of an answer; a later attempt replaces it while nothing has been sent. */
	begin(head: AnswerHead): void {
		const isEventStream = head.status === 200 && (head.headers['content-type'] ?? '').startsWith('text/event-stream');
		this.#head = head;
		this.#validator = this.#options.isCompletionStream && isEventStream ? new EventStreamValidator() : undefined;
		this.#storedChunks.length = 0;
		this.#bytes = 0;
	}

	/** Relays a part of the body; returns false when the caller must drain first. */
	write(chunk: Uint8Array): boolean {
		const bytes = this.#validator === undefined ? chunk : this.#validator.accept(chunk);
		if (bytes.length === 0) {
			return true;
		}

		this.#bytes += bytes.length;
		if (this.#bytes <= this.#options.maxStoredAnswerBytes) {
			this.#storedChunks.push(bytes);
		}

		if (this.#options.response.destroyed) {
			// The answer of a claimed request is read to its end for resends, even when the caller has gone.
			return true;
		}

		this.#sendHead();
		return this.#options.response.write(bytes);
	}

	/** Calls back once the caller has drained or gone. */
	onceDrained(callback: () => void): void {
		const {response} = this.#options;
		const finish = () => {
			response.off('drain', finish);
			response.off('close', finish);
			callback();
		};

		// The answer of a claimed request is read on when its caller has gone.
		response.once('drain', finish);
		response.once('close', finish);
	}

	/** Ends a whole answer. */
	end(): void {
		this.#sendHead();
		this.#options.response.end();
	}

	/** Ends an answer that has begun and is not whole: an error event where there is a place for it, then an aborted connection. */
	abort(error: CallerError): void {
		if (this.#validator === undefined) {
			this.#options.response.destroy();
		} else {
			abortEventStream(this.#options.response, error);
		}
	}

	/** Returns the whole answer for resends; undefined when it is larger than what is kept. */
	takeStoredAnswer(): StoredAnswer | undefined {
		return this.#head === undefined || this.#bytes > this.#options.maxStoredAnswerBytes
			? undefined
			: {
				status: this.#head.status,
				headers: selectAnswerHeaders(this.#head.headers),
				body: Buffer.concat(this.#storedChunks),
			};
	}

	#sendHead(): void {
		const {response, requestId} = this.#options;
		if (response.headersSent || this.#head === undefined) {
			return;
		}

		const {status, headers} = this.#head;
		response.writeHead(status, {
			...selectAnswerHeaders(headers),
			'x-request-id': requestId,
			[runStateHeader]: toRunState(status),
		});
	}
}
