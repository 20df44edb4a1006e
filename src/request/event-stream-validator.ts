import {ByteBuffer} from './byte-buffer.ts';

/** Reason why an event stream must not be relayed further. */
export type StreamErrorCode = 'stream_mixed' | 'stream_malformed' | 'stream_event_too_large';

const empty = new Uint8Array(0);
const maxEventBytes = 1024 * 1024;
/** Bytes of the longest end of an event but for its last one. */
const emptyLineBytes = 2;
const lineFeed = 10;
const carriageReturn = 13;
const decoder = new TextDecoder();
const encoder = new TextEncoder();

/**
Validates the event stream of a completion while it is relayed.

Only complete events are passed on. All events must have the id of the first one, and nothing may follow the end marker.
*/
export class EventStreamValidator {
	readonly #pending = new ByteBuffer();
	/** Expected start of each event when the id is its first member, as common engines write it; avoids parsing the JSON. */
	#expectedPrefix: Uint8Array | undefined;
	#id: string | undefined;
	#isComplete = false;
	#errorCode: StreamErrorCode | undefined;

	/** True once the end marker has arrived and nothing is pending. */
	get isComplete(): boolean {
		return this.#isComplete && this.#pending.length === 0;
	}

	/** Set once the stream is invalid; the offending event is not relayed. */
	get errorCode(): StreamErrorCode | undefined {
		return this.#errorCode;
	}

	/** Adds a chunk and returns the bytes of the complete events that may be relayed now. */
	accept(chunk: Uint8Array): Uint8Array {
		const pending = this.#pending.length;
		if (pending > 0) {
			this.#pending.append(chunk);
		}

		const bytes = pending === 0 ? chunk : this.#pending.bytes;
		// The empty line may begin in what was pending.
		const relayedBytes = this.#checkEvents(bytes, Math.max(0, pending - emptyLineBytes));
		if (relayedBytes === 0 && pending > 0) {
			this.#checkSize();
			return empty;
		}

		// Memory of relayed bytes is not used again.
		const relayed = pending === 0 ? bytes : this.#pending.take();
		this.#pending.append(relayed.subarray(relayedBytes));
		this.#checkSize();
		return relayedBytes === relayed.length ? relayed : relayed.subarray(0, relayedBytes);
	}

	#checkSize(): void {
		if (this.#pending.length > maxEventBytes) {
			this.#errorCode ??= 'stream_event_too_large';
		}
	}

	/** Checks the complete events, the first of which ends after `searchFrom`; returns the number of bytes that may be relayed. */
	#checkEvents(bytes: Uint8Array, searchFrom: number): number {
		let start = 0;
		let end = findEventEnd(bytes, searchFrom);
		while (end !== -1 && this.#checkEvent(bytes, start, end)) {
			start = end;
			end = findEventEnd(bytes, start);
		}

		return start;
	}

	#checkEvent(bytes: Uint8Array, start: number, end: number): boolean {
		if (this.#expectedPrefix !== undefined && !this.#isComplete && startsWith(bytes, this.#expectedPrefix, start)) {
			return true;
		}

		const data = readEventData(decoder.decode(bytes.subarray(start, end)));
		if (data === undefined) {
			return true;
		}

		if (this.#isComplete) {
			this.#errorCode = 'stream_mixed';
		} else if (data === '[DONE]') {
			this.#isComplete = true;
		} else {
			this.#checkId(bytes, start, data);
		}

		return this.#errorCode === undefined;
	}

	#checkId(bytes: Uint8Array, start: number, data: string): void {
		const id = readId(data);
		if (id === 'malformed') {
			this.#errorCode = 'stream_malformed';
		} else if (id !== undefined && this.#id === undefined) {
			this.#id = id.id;
			const usualStart = encoder.encode(`data: {"id":${JSON.stringify(id.id)},`);
			this.#expectedPrefix = startsWith(bytes, usualStart, start) ? usualStart : undefined;
		} else if (id !== undefined && id.id !== this.#id) {
			this.#errorCode = 'stream_mixed';
		}
	}
}

function startsWith(bytes: Uint8Array, prefix: Uint8Array, start: number): boolean {
	let index = start;
	for (const byte of prefix) {
		if (bytes[index] !== byte) {
			return false;
		}

		index += 1;
	}

	return true;
}

/** Returns the index after the first empty line, or -1. */
function findEventEnd(bytes: Uint8Array, start: number): number {
	let lineEnd = bytes.indexOf(lineFeed, start);
	while (lineEnd !== -1) {
		const next = bytes[lineEnd + 1] === carriageReturn ? lineEnd + 2 : lineEnd + 1;
		if (bytes[next] === lineFeed) {
			return next + 1;
		}

		lineEnd = bytes.indexOf(lineFeed, lineEnd + 1);
	}

	return -1;
}

function readEventData(event: string): string | undefined {
	const lines = event.split(/\r?\n/v).filter(line => line.startsWith('data:'));
	return lines.length === 0
		? undefined
		: lines.map(line => line.slice(line.startsWith('data: ') ? 6 : 5)).join('\n');
}

function readId(data: string): {readonly id: string} | 'malformed' | undefined {
	try {
		const chunk = JSON.parse(data) as {readonly id?: unknown} | undefined;
		return typeof chunk?.id === 'string' ? {id: chunk.id} : undefined;
	} catch {
		return 'malformed';
	}
}
