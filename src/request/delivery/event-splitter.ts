import {Buffer} from 'node:buffer';

/** One whole event of a stream. */
export type StreamEvent = {
	readonly bytes: Uint8Array;
	/** Undefined for events without an id. */
	readonly id: string | undefined;
};

const eventDelimiter = Buffer.from('\n\n');
const idLinePattern = /^id:[ ]?(.*)$/mv;
/** An event that grows beyond this is no event. */
const maxEventBytes = 1024 * 1024;

/** Splits a stream's bytes into whole events; an event that is cut off stays inside. */
export class EventSplitter {
	#pending: Uint8Array = Buffer.alloc(0);

	/** Bytes of an event that has begun and not ended. */
	get pendingBytes(): number {
		return this.#pending.length;
	}

	/** True when the bytes cannot be events. */
	get isEventTooLarge(): boolean {
		return this.#pending.length > maxEventBytes;
	}

	/** Takes a chunk and returns the events that it completes. */
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
