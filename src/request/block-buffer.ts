import {Buffer} from 'node:buffer';
import {ByteBuffer} from './byte-buffer.ts';

/** Size of a block, in bytes; that of the largest pieces that the HTTP library reads. */
export const blockBytes = 64 * 1024;
/** Blocks that are kept for the next buffers, at most. */
const maxFreeBlocks = 64;
const freeBlocks: Uint8Array[] = [];

/**
Collects bytes in blocks of one size, and those up to the first block in one smaller piece of memory.

One block of memory that grows leaves a smaller one behind at each growth, which is only freed by a garbage collection and then
fits nothing else. Blocks are used again as soon as a buffer is cleared.
*/
export class BlockBuffer {
	readonly #head: ByteBuffer;
	#blocks: Uint8Array[] = [];
	#length = 0;

	/** `maxBytes`: length beyond which no memory is set aside for further bytes. */
	constructor(maxBytes: number) {
		this.#head = new ByteBuffer(Math.min(maxBytes, blockBytes));
	}

	/** Number of bytes collected. */
	get length(): number {
		return this.#length;
	}

	/** Memory that the buffer will take once it has been given `bytes` more. */
	capacityWith(bytes: number): number {
		const length = this.#length + bytes;
		return this.#head.capacityWith(Math.min(length, blockBytes) - this.#head.length) + (countBlocks(length) * blockBytes);
	}

	/** Adds a copy of a chunk. */
	append(chunk: Uint8Array): void {
		let rest = chunk;
		const headBytes = Math.min(rest.length, blockBytes - this.#head.length);
		if (headBytes > 0) {
			this.#head.append(rest.subarray(0, headBytes));
			rest = rest.subarray(headBytes);
			this.#length += headBytes;
		}

		while (rest.length > 0) {
			const used = this.#length % blockBytes;
			if (used === 0) {
				this.#blocks.push(freeBlocks.pop() ?? Buffer.allocUnsafeSlow(blockBytes));
			}

			const part = rest.subarray(0, blockBytes - used);
			this.#blocks.at(-1)!.set(part, used);
			rest = rest.subarray(part.length);
			this.#length += part.length;
		}
	}

	/** Returns the collected bytes in one piece, which stays valid, and starts anew. */
	take(): Uint8Array {
		if (this.#blocks.length === 0) {
			this.#length = 0;
			return this.#head.take();
		}

		const bytes = Buffer.allocUnsafeSlow(this.#length);
		for (const [index, part] of [this.#head.take(), ...this.#blocks].entries()) {
			bytes.set(part.subarray(0, this.#length - (index * blockBytes)), index * blockBytes);
		}

		this.clear();
		return bytes;
	}

	/** Drops the collected bytes and starts anew. */
	clear(): void {
		freeBlocks.push(...this.#blocks.splice(0, maxFreeBlocks - freeBlocks.length));
		this.#blocks = [];
		this.#head.take();
		this.#length = 0;
	}
}

/** Number of blocks after the first piece of memory. */
function countBlocks(length: number): number {
	return Math.max(0, Math.ceil(length / blockBytes) - 1);
}
