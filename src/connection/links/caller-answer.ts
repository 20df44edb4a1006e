import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import type {CallerProtocol, Refusal} from '../../ports/caller-protocol.ts';

/** Memory that a buffered write uses beside its bytes; events may be as short as three bytes. */
const writeOverheadBytes = 512;

/** Answer to one caller; ends with exactly one call of `sendComplete`, `refuse`, `end` or `abort`, and throws at a second one. */
export class CallerAnswer {
	readonly #response: ServerResponse;
	readonly #protocol: CallerProtocol;
	readonly #requestId: () => string;
	readonly #beforeHead: () => void;
	#hasEnded = false;
	#isAborted = false;
	#pendingWrites = 0;
	readonly #endWrite: () => void;

	/** `beforeHead` is called right before the head of the answer is sent. */
	constructor(response: ServerResponse, protocol: CallerProtocol, requestId: () => string, beforeHead: () => void) {
		this.#response = response;
		this.#protocol = protocol;
		this.#requestId = requestId;
		this.#beforeHead = beforeHead;
		this.#endWrite = () => {
			this.#pendingWrites -= 1;
		};
	}

	/** True once the head has been sent. */
	get hasBegun(): boolean {
		return this.#response.headersSent;
	}

	/** True once the answer has been completed, refused or aborted. */
	get hasEnded(): boolean {
		return this.#hasEnded;
	}

	/** True once a streamed answer has been aborted. */
	get isAborted(): boolean {
		return this.#isAborted;
	}

	/** Memory that is used because the caller has not read what was written, in bytes. */
	get pendingBytes(): number {
		return this.#response.writableLength + (this.#pendingWrites * writeOverheadBytes);
	}

	/** Sends the head of a streamed answer. */
	begin(status: number, headers: readonly string[]): void {
		// The length of a stream is unknown, because another upstream may resume it.
		this.#beforeHead();
		this.#response.writeHead(status, omitContentLength(headers));
		this.#response.flushHeaders();
	}

	/** Sends a part of a streamed answer. */
	write(chunk: Uint8Array): void {
		this.#pendingWrites += 1;
		this.#response.write(chunk, this.#endWrite);
	}

	/** Ends a complete streamed answer. */
	end(): void {
		this.#markEnded();
		this.#response.end();
	}

	/** Sends a complete answer. */
	sendComplete(status: number, headers: readonly string[], body: Uint8Array): void {
		this.#beforeHead();
		this.#response.writeHead(status, [...omitContentLength(headers), 'content-length', String(body.length)]);
		this.#markEnded();
		this.#response.end(body);
	}

	/** Sends an error answer from the daemon itself. */
	refuse(refusal: Refusal): void {
		const {status, headers, body} = this.#protocol.encodeRefusal(refusal, this.#requestId());
		this.#beforeHead();
		this.#response.writeHead(status, [...headers, 'content-length', String(Buffer.byteLength(body))]);
		this.#markEnded();
		this.#response.end(body);
	}

	/** Aborts a streamed answer, so that it does not look complete. */
	abort(): void {
		this.#markEnded();
		this.#isAborted = true;
		this.#response.destroy();
	}

	#markEnded(): void {
		if (this.#hasEnded) {
			throw new Error('The answer has already ended.');
		}

		this.#hasEnded = true;
	}
}

function omitContentLength(headers: readonly string[]): string[] {
	const kept: string[] = [];
	for (let index = 0; index + 1 < headers.length; index += 2) {
		if (headers[index]!.toLowerCase() !== 'content-length') {
			kept.push(headers[index]!, headers[index + 1]!);
		}
	}

	return kept;
}
