import fc from 'fast-check';
import {
	beforeEach, describe, expect, it,
} from 'vitest';
import {LoadTable} from '../../../src/process/load/load-table.ts';
import {SeededRandom} from '../../../src/process/random.ts';

const request = {group: 'm', promptTokens: 100, outputTokens: 10};

describe('the load table', () => {
	let table: LoadTable;

	beforeEach(() => {
		table = createTable(9);
	});

	// Guards against requests that cross availability zones without need.
	it('stays in its zone while the upstreams there have capacity', () => {
		expect(draw(table, 0, 200).every(id => ['u0', 'u3', 'u6'].includes(id))).toBe(true);
	});

	// Guards against a zone that queues work while other zones are idle.
	it('spills to other zones if its own zone exceeds the limit', () => {
		for (const id of ['u0', 'u3', 'u6']) {
			table.start(0, `busy-${id}`, id, {...request, promptTokens: 50_000});
		}

		expect(draw(table, 0, 50).some(id => !['u0', 'u3', 'u6'].includes(id))).toBe(true);
	});

	// Guards against counting own work twice when a delayed report includes it.
	it('subtracts own work at the time of measurement from a delayed report', () => {
		table.start(0, 'own', 'u0', {...request, promptTokens: 600});
		table.start(0, 'other', 'u3', {...request, promptTokens: 300});
		for (const id of ['u0', 'u3']) {
			table.applyReport(id, {outstandingTokens: id === 'u0' ? 610 : 310, measuredAt: 100});
		}

		table.finish(200, 'own', 'u0');
		table.finish(200, 'other', 'u3');
		expect(new Set(draw(table, 300, 100)).size).toBe(3);
	});

	// Guards against stragglers that keep getting work, and against ejecting most of a group if most of it is slow.
	it.each([1, 3, 6])('ejects at most a third of the group if %i of 9 upstreams are slow', slow => {
		const start = 1000;
		for (let step = 0; step < 20; step += 1) {
			for (let index = 0; index < 9; index += 1) {
				table.observe(start + (step * 100), `u${index}`, 10, index < slow ? 2000 : 200);
			}

			table.choose(start + (step * 100), request);
		}

		const ejected = Array.from({length: 9}, (_, index) => `u${index}`).filter(id => table.isEjected(start + 2000, id));
		expect(ejected).toHaveLength(slow === 6 ? 0 : Math.min(slow, 3));
	});

	// Guards against a load spike on an upstream that has just returned.
	it('applies a slow start to a returned upstream', () => {
		table.setUpstreams(0, createUpstreams(6));
		table.setUpstreams(1000, createUpstreams(9));
		const early = count(draw(table, 1001, 600), 'u6');
		const late = count(draw(table, 12_000, 600), 'u6');
		expect(early).toBeLessThan(late / 4);
	});

	// Guards against sending prompts to upstreams without the cached prefix, and against trusting cache state after a gap in the events.
	it('prefers the upstream with the cached prefix until a gap in its cache events', () => {
		const prefixed = {...request, prefix: 'p', prefixTokens: 90};
		table.applyCacheEvents('u3', {first: 1, events: [{sequence: 1, kind: 'stored', prefix: 'p'}]});
		expect(draw(table, 0, 30, prefixed).every(id => id === 'u3')).toBe(true);
		table.applyCacheEvents('u3', {first: 5, events: [{sequence: 5, kind: 'stored', prefix: 'q'}]});
		expect(new Set(draw(table, 0, 60, prefixed)).size).toBeGreaterThan(1);
	});

	// Guards against retrying at an upstream that has been tried, and against refusing a request while an untried one is left.
	it('never chooses an excluded upstream', () => {
		fc.assert(fc.property(fc.uniqueArray(fc.integer({min: 0, max: 8}), {maxLength: 9}), tried => {
			const excluded = new Set(tried.map(index => `u${index}`));
			const chosen = table.choose(0, {...request, excluded});
			expect(chosen === undefined).toBe(excluded.size === 9);
			expect(excluded.has(chosen ?? '')).toBe(false);
		}), {seed: 4});
	});
});

function createTable(count: number): LoadTable {
	const table = new LoadTable({availabilityZone: 'z0', random: new SeededRandom(7)});
	table.setUpstreams(0, createUpstreams(count));
	return table;
}

function createUpstreams(count: number) {
	return Array.from({length: count}, (_, index) => ({id: `u${index}`, availabilityZone: `z${index % 3}`, group: 'm'}));
}

function draw(table: LoadTable, now: number, times: number, wanted: Parameters<LoadTable['choose']>[1] = request): readonly string[] {
	return Array.from({length: times}, () => table.choose(now, wanted)!);
}

function count(ids: readonly string[], id: string): number {
	return ids.filter(other => other === id).length;
}
