import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import type {CallerProtocol, Refusal} from '../../ports/caller-protocol.ts';

/** Answer to one caller; ends with exactly one call of `sendComplete`, `refuse`, `end` or `abort`. */
export class CallerAnswer {
	readonly #response: ServerResponse;
	readonly #protocol: CallerProtocol;
	readonly #requestId: string;
	readonly #beforeHead: () => void;
	#isAborted = false;

	/** `beforeHead` is called right before the head of the answer is sent. */
	constructor(response: ServerResponse, protocol: CallerProtocol, requestId: string, beforeHead: () => void) {
		this.#response = response;
		this.#protocol = protocol;
		this.#requestId = requestId;
		this.#beforeHead = beforeHead;
	}

	/** True once the head has been sent. */
	get hasBegun(): boolean {
		return this.#response.headersSent;
	}

	/** True once a streamed answer has been aborted. */
	get isAborted(): boolean {
		return this.#isAborted;
	}

	/** Bytes buffered because the caller has not read them yet. */
	get pendingBytes(): number {
		return this.#response.writableLength;
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
		this.#response.write(chunk);
	}

	/** Ends a complete streamed answer. */
	end(): void {
		this.#response.end();
	}

	/** Sends a complete answer. */
	sendComplete(status: number, headers: readonly string[], body: Uint8Array): void {
		this.#beforeHead();
		this.#response.writeHead(status, [...omitContentLength(headers), 'content-length', String(body.length)]);
		this.#response.end(body);
	}

	/** Sends an error answer from the daemon itself. */
	refuse(refusal: Refusal): void {
		const {status, headers, body} = this.#protocol.encodeRefusal(refusal, this.#requestId);
		this.#beforeHead();
		this.#response.writeHead(status, [...headers, 'content-length', String(Buffer.byteLength(body))]);
		this.#response.end(body);
	}

	/** Aborts a streamed answer, so that it does not look complete. */
	abort(): void {
		this.#isAborted = true;
		this.#response.destroy();
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
