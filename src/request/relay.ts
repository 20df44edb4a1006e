import type {IncomingHttpHeaders, ServerResponse} from 'node:http';
import {
	abortEventStream, runStateHeader, toRunState, type CallerError,
} from './caller-error.ts';
import {ByteBuffer} from './byte-buffer.ts';
import {EventStreamValidator, type StreamErrorCode} from './event-stream-validator.ts';
import {selectAnswerHeaders} from './headers.ts';
import type {StoredAnswer} from './claim-store.ts';

/** Head of an upstream's answer. */
export type AnswerHead = {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
};

/** Options for relaying an answer. */
export type RelayOptions = {
	readonly response: ServerResponse;
	readonly requestId: string;
	/** True when the caller requested a streamed completion, whose end marker and ids are then checked. */
	readonly isCompletionStream: boolean;
	/** Largest answer body that is stored for resends, in bytes; 0 stores none. */
	readonly maxStoredAnswerBytes: number;
};

/**
Relays one answer to the caller with bounded buffering.

The head is held back until the first byte of the body arrives, so that an answer without output can be retried elsewhere.
*/
export class AnswerRelay {
	readonly #options: RelayOptions;
	#stored = new ByteBuffer();
	#head: AnswerHead | undefined;
	#validator: EventStreamValidator | undefined;
	#bytes = 0;

	constructor(options: RelayOptions) {
		this.#options = options;
	}

	/** True once the head was written to the caller's connection. */
	get hasBegun(): boolean {
		return this.#options.response.headersSent;
	}

	/** Bytes of the body relayed so far. */
	get answerBytes(): number {
		return this.#bytes;
	}

	/** Reason to abort the stream, if it is invalid. */
	get streamErrorCode(): StreamErrorCode | undefined {
		return this.#validator?.errorCode;
	}

	/** True when the body itself has an end marker. */
	get hasEndMark(): boolean {
		return this.#validator !== undefined;
	}

	/** True when the end of the body proves that the answer is complete. */
	get isComplete(): boolean {
		return this.#validator === undefined || this.#validator.isComplete;
	}

	/** Sets the head of an answer; a later attempt may replace it as long as nothing has been sent. */
	begin(head: AnswerHead): void {
		const isEventStream = head.status === 200 && (head.headers['content-type'] ?? '').startsWith('text/event-stream');
		this.#head = head;
		this.#validator = this.#options.isCompletionStream && isEventStream ? new EventStreamValidator() : undefined;
		this.#stored = new ByteBuffer();
		this.#bytes = 0;
	}

	/** Relays a part of the body; returns false when the caller's buffer must drain first. */
	write(chunk: Uint8Array): boolean {
		const bytes = this.#validator === undefined ? chunk : this.#validator.accept(chunk);
		if (bytes.length === 0) {
			return true;
		}

		this.#bytes += bytes.length;
		if (this.#bytes <= this.#options.maxStoredAnswerBytes) {
			this.#stored.append(bytes);
		}

		if (this.#options.response.destroyed) {
			// The answer of a claimed request is read to its end for resends, even after the caller has disconnected.
			return true;
		}

		this.#sendHead();
		return this.#options.response.write(bytes);
	}

	/** Calls back once, when the caller's buffer has drained or the connection has closed. */
	onceDrained(callback: () => void): void {
		const {response} = this.#options;
		const finish = () => {
			response.off('drain', finish);
			response.off('close', finish);
			callback();
		};

		// Reading the answer of a claimed request continues after its caller has disconnected.
		response.once('drain', finish);
		response.once('close', finish);
	}

	/** Ends a complete answer. */
	end(): void {
		this.#sendHead();
		this.#options.response.end();
	}

	/** Aborts an incomplete answer that has begun, after an error event if it is a completion stream. */
	abort(error: CallerError): void {
		if (this.#validator === undefined) {
			this.#options.response.destroy();
		} else {
			abortEventStream(this.#options.response, error);
		}
	}

	/** Returns the complete answer for resends, or undefined when it exceeds the storage limit. */
	takeStoredAnswer(): StoredAnswer | undefined {
		return this.#head === undefined || this.#bytes > this.#options.maxStoredAnswerBytes
			? undefined
			: {
				status: this.#head.status,
				headers: selectAnswerHeaders(this.#head.headers),
				body: this.#stored.bytes,
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
