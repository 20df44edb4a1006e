import {Buffer} from 'node:buffer';
import type {ByteBudget} from '../byte-budget.ts';
import {BudgetedBuffer} from '../byte-buffer.ts';

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
export class EventSplitter implements Disposable {
	readonly #pending: BudgetedBuffer;
	#isTooLarge = false;

	/** `budget` limits the incomplete events of all streams together. */
	constructor(budget: ByteBudget) {
		this.#pending = new BudgetedBuffer(budget, Number.POSITIVE_INFINITY);
	}

	/** Buffered bytes of an incomplete event. */
	get pendingBytes(): number {
		return this.#pending.length;
	}

	/** True when an incomplete event exceeds the size limit or the budget. */
	get isEventTooLarge(): boolean {
		return this.#isTooLarge;
	}

	/** Adds a chunk and returns the events that it completes. */
	accept(chunk: Uint8Array): readonly StreamEvent[] {
		// A delimiter may begin with the last byte of what was pending.
		const searchFrom = Math.max(0, this.#pending.length - 1);
		if (!this.#pending.append(chunk)) {
			this.#isTooLarge = true;
			return [];
		}

		const isComplete = toBuffer(this.#pending.bytes).includes(eventDelimiter, searchFrom);
		const events = isComplete ? this.#takeEvents() : [];
		this.#isTooLarge ||= this.#pending.length > maxEventBytes;
		return events;
	}

	[Symbol.dispose](): void {
		this.#pending[Symbol.dispose]();
	}

	/** Returns the complete events, whose memory is not used again, and keeps the rest. */
	#takeEvents(): readonly StreamEvent[] {
		const bytes = toBuffer(this.#pending.take());
		const events: StreamEvent[] = [];
		let start = 0;
		for (let end = bytes.indexOf(eventDelimiter, start); end !== -1; end = bytes.indexOf(eventDelimiter, start)) {
			const event = bytes.subarray(start, end + eventDelimiter.length);
			events.push({bytes: event, id: readId(event)});
			start = end + eventDelimiter.length;
		}

		this.#isTooLarge ||= !this.#pending.append(bytes.subarray(start));
		return events;
	}
}

/** Views bytes as a buffer, which searches faster. */
function toBuffer(bytes: Uint8Array) {
	return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length);
}

function readId(event: Uint8Array): string | undefined {
	return idLinePattern.exec(toBuffer(event).toString('latin1'))?.[1]?.trim();
}
