import {Buffer} from 'node:buffer';
import {describe, expect, test} from 'vitest';
import {ByteBudget} from '../../src/request/byte-budget.ts';
import {BudgetedBuffer, ByteBuffer} from '../../src/request/byte-buffer.ts';
import {EventSplitter} from '../../src/request/delivery/event-splitter.ts';
import {EventStreamValidator} from '../../src/request/event-stream-validator.ts';

const kibibyte = 1024;
/** Time for an event of 300 KiB in chunks of one byte, in milliseconds; copying all bytes at each chunk takes five times as long and more. */
const maxElapsedMs = 2000;

describe('ByteBuffer', () => {
	test('collects bytes and hands them over', () => {
		const buffer = new ByteBuffer();
		for (const text of ['a', 'bc', '', 'defg']) {
			buffer.append(Buffer.from(text));
		}

		const taken = buffer.take();
		buffer.append(Buffer.from('xyz'));
		expect([Buffer.from(taken).toString(), Buffer.from(buffer.bytes).toString(), buffer.length]).toEqual(['abcdefg', 'xyz', 3]);
	});
});

describe('BudgetedBuffer', () => {
	// Guards against several answers without end that together use more memory than the process has.
	test('shares a budget with others, but for its first bytes, and returns it', () => {
		const budget = new ByteBudget(100 * kibibyte);
		const chunk = Buffer.alloc(16 * kibibyte);
		const first = new BudgetedBuffer(budget, kibibyte * kibibyte);
		let accepted = 0;
		while (first.append(chunk)) {
			accepted += 1;
		}

		expect(accepted).toBe(7);
		expect(budget.heldBytes).toBe(96 * kibibyte);
		const second = new BudgetedBuffer(budget, kibibyte * kibibyte);
		expect([second.append(chunk), second.append(chunk), second.length]).toEqual([true, false, 16 * kibibyte]);
		first[Symbol.dispose]();
		expect([budget.heldBytes, second.append(chunk)]).toEqual([0, true]);
		expect(second.take()).toHaveLength(32 * kibibyte);
		second[Symbol.dispose]();
		expect(budget.heldBytes).toBe(0);
	});

	test('has a limit of its own', () => {
		const buffer = new BudgetedBuffer(new ByteBudget(kibibyte), 10);
		expect([buffer.append(Buffer.alloc(10)), buffer.append(Buffer.alloc(1)), buffer.length]).toEqual([true, false, 10]);
	});
});

// Guards against an event that is copied and searched as a whole again at each of its chunks.
describe('an event in chunks of one byte', () => {
	const event = Buffer.from(`id: 1\ndata: ${'x'.repeat(300 * kibibyte)}\n\nid: 2\n`);

	test('is split in time that grows with its size', () => {
		using splitter = new EventSplitter(new ByteBudget(1024 * kibibyte));
		const startedAt = performance.now();
		const events = [...event].flatMap(byte => splitter.accept(Uint8Array.of(byte)));
		expect(performance.now() - startedAt).toBeLessThan(maxElapsedMs);
		expect(events.map(({id, bytes}) => [id, bytes.length])).toEqual([['1', event.length - 6]]);
		expect(splitter.pendingBytes).toBe(6);
	});

	test('is checked in time that grows with its size', () => {
		const completion = Buffer.from(`data: {"id":"c","text":"${'x'.repeat(300 * kibibyte)}"}\r\n\r\ndata: [DONE]\n\n`);
		const validator = new EventStreamValidator();
		const startedAt = performance.now();
		const relayed = [...completion].map(byte => Buffer.from(validator.accept(Uint8Array.of(byte))));
		expect(performance.now() - startedAt).toBeLessThan(maxElapsedMs);
		expect([validator.errorCode, validator.isComplete]).toEqual([undefined, true]);
		expect(Buffer.concat(relayed).equals(completion)).toBe(true);
	});
});
