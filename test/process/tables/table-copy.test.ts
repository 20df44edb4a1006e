import {describe, expect, test} from 'vitest';
import type {FeedRow} from '../../../src/ports/row-feed.ts';
import {SeededRandom} from '../../../src/process/random.ts';
import {TableCopy} from '../../../src/process/tables/table-copy.ts';
import type {TablePosition} from '../../../src/process/tables/table-position.ts';

/** Position in the first epoch of the store. */
function at(version: number): TablePosition {
	return {epoch: 1, version};
}

const contentOf = ({value}: FeedRow) => new TextDecoder().decode(value).split(' ')[0]!;

function row(key: string, value: string | undefined): FeedRow {
	return {key, value: value === undefined ? undefined : new TextEncoder().encode(value), isRemoved: value === undefined};
}

describe('a copy of a table', () => {
	test('has the same digest as any other copy with the same content, in whatever order and pages the rows came', () => {
		const first = new TableCopy(contentOf);
		first.apply({rows: [row('a', 'ready 1'), row('b', 'ready 1')], position: at(5), isWhole: true});
		first.apply({rows: [row('b', undefined)], position: at(6), isWhole: false});
		const second = new TableCopy(contentOf);
		second.apply({rows: [row('c', 'ready 3')], position: at(3), isWhole: true});
		expect(second.digest).not.toBe(first.digest);
		second.apply({rows: [row('a', 'ready 9')], position: at(9), isWhole: true});
		expect(second.digest).toBe(first.digest);
	});

	test('reports changes of content only', () => {
		const copy = new TableCopy(contentOf);
		expect(copy.apply({rows: [row('a', 'ready 1')], position: at(2), isWhole: true})).toBe(true);
		expect(copy.apply({rows: [row('a', 'ready 2')], position: at(3), isWhole: false})).toBe(false);
		expect(copy.apply({rows: [row('a', 'draining 3')], position: at(4), isWhole: false})).toBe(true);
		expect(copy.changesAfter(at(3)).rows.map(({key}) => key)).toEqual(['a']);
		expect(copy.changesAfter(at(4)).rows).toEqual([]);
	});

	// Guards against a follower that keeps an upstream which has left, because the removal was missing from the rows it got.
	test.each([1, 2, 3, 4, 5])('brings any older copy to the same content, also after more removals than it remembers (seed %i)', seed => {
		const random = new SeededRandom(seed);
		const source = new TableCopy(contentOf);
		const copies = [new TableCopy(contentOf)];
		for (let version = 1; version < 3000; version += 1) {
			const key = `k${random.integer(1500)}`;
			source.apply({rows: [row(key, random.next() < 0.6 ? undefined : `v${random.integer(5)} ${version}`)], position: at(version), isWhole: version === 1});
			if (random.next() < 0.01) {
				const copy = copies[random.integer(copies.length)]!;
				copy.apply(source.changesAfter(copy.position));
				expect(copy.digest).toBe(source.digest);
				copies.push(new TableCopy(contentOf));
			}
		}

		for (const copy of copies) {
			copy.apply(source.changesAfter(copy.position));
			expect(copy.digest).toBe(source.digest);
		}
	});

	// Guards against versions of a restored store being compared with those of before.
	test('is replaced by the whole table of another epoch, and gives the whole table to copies of the earlier one', () => {
		const copy = new TableCopy(contentOf);
		copy.apply({rows: [row('a', 'ready 1'), row('b', 'ready 1')], position: at(40), isWhole: true});
		expect(copy.apply({rows: [row('a', 'ready 1')], position: {epoch: 2, version: 30}, isWhole: true})).toBe(true);
		expect(copy.position).toEqual({epoch: 2, version: 30});
		expect(copy.changesAfter(at(40))).toMatchObject({isWhole: true, rows: [{key: 'a'}]});
		expect(copy.changesAfter({epoch: 2, version: 30})).toMatchObject({isWhole: false, rows: []});
		expect(() => copy.apply({rows: [], position: at(50), isWhole: false})).toThrow('epoch');
	});

	test('goes back with a whole table that is older in a store without epochs', () => {
		const copy = new TableCopy(contentOf);
		copy.apply({rows: [row('a', 'ready 1'), row('b', 'ready 1')], position: {epoch: undefined, version: 40}, isWhole: true});
		copy.apply({rows: [row('a', 'ready 1')], position: {epoch: undefined, version: 30}, isWhole: true});
		expect(copy.position).toEqual({epoch: undefined, version: 30});
		expect(copy.changesAfter({epoch: undefined, version: 20})).toMatchObject({isWhole: true, rows: [{key: 'a'}]});
	});
});
