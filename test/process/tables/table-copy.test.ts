import {describe, expect, test} from 'vitest';
import type {FeedRow} from '../../../src/ports/row-feed.ts';
import {SeededRandom} from '../../../src/process/random.ts';
import {TableCopy} from '../../../src/process/tables/table-copy.ts';

const contentOf = ({value}: FeedRow) => new TextDecoder().decode(value).split(' ')[0]!;

function row(key: string, value: string | undefined): FeedRow {
	return {key, value: value === undefined ? undefined : new TextEncoder().encode(value), isRemoved: value === undefined};
}

describe('a copy of a table', () => {
	test('has the same digest as any other copy with the same content, in whatever order and pages the rows came', () => {
		const first = new TableCopy(contentOf);
		first.apply({rows: [row('a', 'ready 1'), row('b', 'ready 1')], version: 5, isWhole: true});
		first.apply({rows: [row('b', undefined)], version: 6, isWhole: false});
		const second = new TableCopy(contentOf);
		second.apply({rows: [row('c', 'ready 3')], version: 3, isWhole: true});
		expect(second.digest).not.toBe(first.digest);
		second.apply({rows: [row('a', 'ready 9')], version: 9, isWhole: true});
		expect(second.digest).toBe(first.digest);
	});

	test('reports changes of content only', () => {
		const copy = new TableCopy(contentOf);
		expect(copy.apply({rows: [row('a', 'ready 1')], version: 2, isWhole: true})).toBe(true);
		expect(copy.apply({rows: [row('a', 'ready 2')], version: 3, isWhole: false})).toBe(false);
		expect(copy.apply({rows: [row('a', 'draining 3')], version: 4, isWhole: false})).toBe(true);
		expect(copy.changesAfter(3).rows.map(({key}) => key)).toEqual(['a']);
		expect(copy.changesAfter(4).rows).toEqual([]);
	});

	// Guards against a follower that keeps an upstream which has left, because the removal was missing from the rows it got.
	test.each([1, 2, 3, 4, 5])('brings any older copy to the same content, also after more removals than it remembers (seed %i)', seed => {
		const random = new SeededRandom(seed);
		const source = new TableCopy(contentOf);
		const copies = [new TableCopy(contentOf)];
		for (let version = 1; version < 3000; version += 1) {
			const key = `k${random.integer(1500)}`;
			source.apply({rows: [row(key, random.next() < 0.6 ? undefined : `v${random.integer(5)} ${version}`)], version, isWhole: version === 1});
			if (random.next() < 0.01) {
				const copy = copies[random.integer(copies.length)]!;
				copy.apply(source.changesAfter(copy.version));
				expect(copy.digest).toBe(source.digest);
				copies.push(new TableCopy(contentOf));
			}
		}

		for (const copy of copies) {
			copy.apply(source.changesAfter(copy.version));
			expect(copy.digest).toBe(source.digest);
		}
	});
});
