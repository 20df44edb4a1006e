import {Buffer} from 'node:buffer';

/** One complete event of a stream. */
export type StreamEvent = {
	readonly bytes: Uint8Array;
	/** Undefined for events without an id. */
	readonly id: string | undefined;
};

const eventDelimiter = Buffer.from('\n\n');
const idLinePattern = /^id:[ ]?(.*)$/mv;
/** Largest event; more bytes without a delimiter are not an event stream. */
const maxEventBytes = 1024 * 1024;

/** Splits the bytes of a stream into complete events; keeps an incomplete event until its end arrives. */
export class EventSplitter {
	#pending: Uint8Array = Buffer.alloc(0);

	/** Buffered bytes of an incomplete event. */
	get pendingBytes(): number {
		return this.#pending.length;
	}

	/** True when the incomplete event exceeds the size limit. */
	get isEventTooLarge(): boolean {
		return this.#pending.length > maxEventBytes;
	}

	/** Adds a chunk and returns the events that it completes. */
	accept(chunk: Uint8Array): readonly StreamEvent[] {
		const bytes = Buffer.concat([this.#pending, chunk]);
		const events: StreamEvent[] = [];
		let start = 0;
		for (let end = bytes.indexOf(eventDelimiter, start); end !== -1; end = bytes.indexOf(eventDelimiter, start)) {
			const event = bytes.subarray(start, end + eventDelimiter.length);
			events.push({bytes: event, id: readId(event)});
			start = end + eventDelimiter.length;
		}

		this.#pending = bytes.subarray(start);
		return events;
	}
}

function readId(event: Uint8Array): string | undefined {
	return idLinePattern.exec(Buffer.from(event.buffer, event.byteOffset, event.length).toString('latin1'))?.[1]?.trim();
}
