import {Buffer} from 'node:buffer';
import type {ByteBudget} from './byte-budget.ts';

const empty = Buffer.alloc(0);
const growthFactor = 2;

/** Collects bytes in one block of memory: a list of chunks of one byte takes a hundred times as much. */
export class ByteBuffer {
	readonly #maxBytes: number;
	#memory: Uint8Array = empty;
	#length = 0;

	/** `maxBytes`: length beyond which no memory is set aside for further bytes. */
	constructor(maxBytes = Number.POSITIVE_INFINITY) {
		this.#maxBytes = maxBytes;
	}

	/** Number of bytes collected. */
	get length(): number {
		return this.#length;
	}

	/** The collected bytes; valid until the next call of `append`. */
	get bytes(): Uint8Array {
		return this.#memory.subarray(0, this.#length);
	}

	/** Memory that the buffer will take once it has been given `bytes` more. */
	capacityWith(bytes: number): number {
		const length = this.#length + bytes;
		if (length <= this.#memory.length) {
			return this.#memory.length;
		}

		return this.#length === 0 ? length : Math.max(length, Math.min(this.#memory.length * growthFactor, this.#maxBytes));
	}

	/** Adds a copy of a chunk. */
	append(chunk: Uint8Array): void {
		const length = this.#length + chunk.length;
		if (length > this.#memory.length) {
			const memory = Buffer.allocUnsafeSlow(this.capacityWith(chunk.length));
			memory.set(this.bytes);
			this.#memory = memory;
		}

		this.#memory.set(chunk, this.#length);
		this.#length = length;
	}

	/** Returns the collected bytes, which stay valid, and starts anew. */
	take(): Uint8Array {
		const {bytes} = this;
		this.#memory = empty;
		this.#length = 0;
		return bytes;
	}
}

/** Bytes of each buffer that need no budget, so that small answers can be read while larger ones hold all of it. */
const unbudgetedBytes = 16 * 1024;

/** A byte buffer that shares a budget with others; disposal returns what it holds. */
export class BudgetedBuffer implements Disposable {
	readonly #buffer = new ByteBuffer();
	readonly #budget: ByteBudget;
	readonly #maxBytes: number;
	#reserved = 0;

	/** `maxBytes` is the largest number of bytes of this buffer. */
	constructor(budget: ByteBudget, maxBytes: number) {
		this.#budget = budget;
		this.#maxBytes = maxBytes;
	}

	/** Number of bytes collected. */
	get length(): number {
		return this.#buffer.length;
	}

	/** The collected bytes; valid until the next call of `append`. */
	get bytes(): Uint8Array {
		return this.#buffer.bytes;
	}

	/** Adds a copy of a chunk; returns false and adds nothing if it exceeds the limit or the budget. */
	append(chunk: Uint8Array): boolean {
		const length = this.#buffer.length + chunk.length;
		const additional = Math.max(0, length - unbudgetedBytes - this.#reserved);
		if (length > this.#maxBytes || !this.#budget.reserve(additional)) {
			return false;
		}

		this.#reserved += additional;
		this.#buffer.append(chunk);
		return true;
	}

	/** Returns the collected bytes, which stay valid, and starts anew; they no longer count for the budget. */
	take(): Uint8Array {
		this[Symbol.dispose]();
		return this.#buffer.take();
	}

	[Symbol.dispose](): void {
		this.#budget.release(this.#reserved);
		this.#reserved = 0;
	}
}
