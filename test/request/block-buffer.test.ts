import {Buffer} from 'node:buffer';
import process from 'node:process';
import {describe, expect, test} from 'vitest';
import {blockBytes, BlockBuffer} from '../../src/request/block-buffer.ts';

const mebibyte = 1024 * 1024;

/** Bytes that differ by their place and by `seed`. */
function createBytes(length: number, seed = 0): Uint8Array {
	return Uint8Array.from({length}, (_, index) => ((index * 31) + Math.floor(index / 256) + seed) % 251);
}

function fill(buffer: BlockBuffer, bytes: Uint8Array, chunkBytes: number): void {
	for (let offset = 0; offset < bytes.length; offset += chunkBytes) {
		buffer.append(bytes.subarray(offset, offset + chunkBytes));
	}
}

describe('BlockBuffer', () => {
	test.each([
		[0, 1], [1, 1], [blockBytes - 1, 1000], [blockBytes, blockBytes], [blockBytes + 1, blockBytes], [3 * blockBytes, 7777], [(3 * blockBytes) + 5, 200_000], [mebibyte, 65_000],
	])('hands over %i bytes that arrived in chunks of %i', (length, chunkBytes) => {
		const bytes = createBytes(length);
		const buffer = new BlockBuffer(4 * mebibyte);
		fill(buffer, bytes, chunkBytes);
		expect(buffer.length).toBe(length);
		expect(Buffer.from(buffer.take()).equals(bytes)).toBe(true);
		expect(buffer.length).toBe(0);
	});

	// Guards against a body that changes after it has been handed over, or that has bytes of another one.
	test('keeps the bytes of each buffer apart when blocks are used again', () => {
		const dropped = new BlockBuffer(mebibyte);
		fill(dropped, createBytes(mebibyte, 1), 50_000);
		dropped.clear();
		const bytes = [createBytes(300_000, 2), createBytes(400_000, 3)];
		const buffers = bytes.map(() => new BlockBuffer(mebibyte));
		for (const [index, buffer] of buffers.entries()) {
			fill(buffer, bytes[index]!, 30_000);
		}

		const taken = buffers.map(buffer => buffer.take());
		fill(dropped, createBytes(mebibyte, 4), 50_000);
		expect(taken.map((part, index) => Buffer.from(part).equals(bytes[index]!))).toEqual([true, true]);
		expect(Buffer.from(dropped.take()).equals(createBytes(mebibyte, 4))).toBe(true);
	});

	// Guards against a budget that counts less than a body takes, or far more.
	test('takes the memory that it has announced: at most one block more than the bytes, and no more than the limit', () => {
		const buffer = new BlockBuffer(4 * mebibyte);
		for (let length = 0; length < 4 * mebibyte; length += 50_000) {
			const bytes = Math.min(50_000, (4 * mebibyte) - length);
			const capacity = buffer.capacityWith(bytes);
			buffer.append(new Uint8Array(bytes));
			expect(capacity).toBeGreaterThanOrEqual(buffer.length);
			expect(capacity).toBeLessThan(buffer.length + blockBytes);
			expect(buffer.capacityWith(0)).toBe(capacity);
		}

		expect(buffer.length).toBe(4 * mebibyte);
		expect(buffer.capacityWith(0)).toBe(4 * mebibyte);
		expect(new BlockBuffer(100).capacityWith(60)).toBe(60);
	});

	// Guards against memory that is set aside anew for each refused body: it is only freed by a garbage collection, and then fits nothing else.
	test('uses the blocks of dropped bytes again', () => {
		const before = process.memoryUsage().arrayBuffers;
		const chunk = createBytes(blockBytes);
		for (let round = 0; round < 200; round += 1) {
			const buffer = new BlockBuffer(4 * mebibyte);
			for (let count = 0; count < 32; count += 1) {
				buffer.append(chunk);
			}

			buffer.clear();
		}

		// 400 MiB were collected.
		expect(process.memoryUsage().arrayBuffers - before).toBeLessThan(24 * mebibyte);
	});
});
