import {Buffer} from 'node:buffer';
import {describe, expect, test} from 'vitest';
import {ByteBudget} from '../../../src/request/byte-budget.ts';
import {EventSplitter} from '../../../src/request/delivery/event-splitter.ts';

const budget = new ByteBudget(1024 * 1024);
const stream = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n';

describe('event splitter', () => {
	test.each([1, 2, 5, 7, 16, 100])('finds the same events in chunks of %i bytes', size => {
		const splitter = new EventSplitter(budget);
		const events = [];
		for (let start = 0; start < stream.length; start += size) {
			events.push(...splitter.accept(Buffer.from(stream.slice(start, start + size))));
		}

		expect(events.map(({id}) => id)).toEqual(['1', '2', '3']);
		expect(Buffer.concat(events.map(({bytes}) => bytes)).toString()).toBe(stream);
		expect(splitter.pendingBytes).toBe(0);
	});

	test('keeps an incomplete event', () => {
		const splitter = new EventSplitter(budget);
		expect(splitter.accept(Buffer.from('id: 1\ndata: a\n\nid: 2\nda'))).toHaveLength(1);
		expect(splitter.pendingBytes).toBeGreaterThan(0);
	});

	test('does not depend on the memory of a chunk after accepting it', () => {
		const splitter = new EventSplitter(budget);
		const chunk = Buffer.from('id: 1\nda');
		splitter.accept(chunk);
		chunk.fill(0);
		const [event] = splitter.accept(Buffer.from('ta: a\n\n'));
		expect(Buffer.from(event!.bytes).toString()).toBe('id: 1\ndata: a\n\n');
	});
});
