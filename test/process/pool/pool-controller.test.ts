import {describe, expect, test} from 'vitest';
import {
	PoolModel, scaling, type ModelEvent, type RequestKind,
} from './pool-model.ts';

/** Three kinds of requests that together keep 12 engines busy, in waves; `factors` multiplies the rates of the first and the third kind. */
function createLoad(factors: (second: number) => readonly [number, number] = () => [1, 1]): readonly RequestKind[] {
	const wave = (second: number) => 1 + (0.27 * Math.sin(second / 11 * 2 * Math.PI));
	return [
		{
			perSecond: second => 69 * wave(second) * factors(second)[0], workMs: 92, targetMs: 1200, deadlineMs: 6000,
		},
		{
			perSecond: second => 51 * wave(second), workMs: 64, targetMs: 500, deadlineMs: 4000,
		},
		{
			perSecond: second => 90 * wave(second) * factors(second)[1], workMs: 22, targetMs: 400, deadlineMs: 8000,
		},
	];
}

const leadSeconds = 16;
const seconds = leadSeconds + 50;
const startCount = 98;
const isBurst = (second: number) => (second > 35 && second < 41) || (second > 55 && second < 61);
const alternates = (second: number): readonly [number, number] => second % 28 < 14 ? [1.9, 0.4] : [0.4, 1.7];
/** Second from which the load is known and the pool has settled. */
const knownAfterSeconds = 45;
const sum = (numbers: readonly number[]) => {
	let total = 0;
	for (const number of numbers) {
		total += number;
	}

	return total;
};

/** Runs a day with a number of upstreams that is never changed. */
async function runFixed(load: readonly RequestKind[], count: number, events: readonly ModelEvent[]): Promise<{readonly onTime: number; readonly price: number}> {
	const model = new PoolModel(load, count, events);
	model.authority = undefined;
	const {onTime, prices} = await model.run(seconds, leadSeconds);
	return {onTime, price: sum(prices)};
}

/** Returns the fewest upstreams, in steps, with which the requests of the whole day are on time. */
async function findSufficientCount(load: readonly RequestKind[]): Promise<number> {
	for (let count = 15; count < startCount; count += 5) {
		const {onTime} = await runFixed(load, count, []);
		if (onTime >= 0.99) {
			return count;
		}
	}

	return startCount;
}

const reclaims: readonly ModelEvent[] = [
	{
		second: 30, run(model) {
			model.reclaim('b', 8500);
		},
	},
	{
		second: 45, run(model) {
			model.reclaim('d', 8500);
		},
	},
];
const earlyReclaims: readonly ModelEvent[] = [[6, 'b'], [18, 'd'], [27, 'a']].map(([second, zone]) => ({
	second: second as number,
	run(model) {
		model.reclaim(zone as string, 8500);
	},
}));
const crash: readonly ModelEvent[] = [{
	second: 40, run(model) {
		model.drain(({id}) => Number(id.slice(2)) % 4 === 0);
	},
}];
const zoneCut: readonly ModelEvent[] = [{
	second: 40, run(model) {
		model.drain(({availabilityZone}) => availabilityZone === 'b');
	},
}];

describe('callers get answers on time, and the pool costs less than half of the fixed one', () => {
	test.each<readonly [string, readonly RequestKind[], readonly ModelEvent[]]>([
		['in waves', createLoad(), []],
		['in bursts of one kind to 2.5 times', createLoad(second => [isBurst(second) ? 2.5 : 1, 1]), []],
		['while the mix changes', createLoad(alternates), []],
		['when a zone loses its reclaimable upstreams and has no new ones, twice', createLoad(), reclaims],
		['when zones lose them while they replace the others, whose places they need', createLoad(), earlyReclaims],
		['when a quarter of the upstreams is lost at once', createLoad(), crash],
		['when a zone is lost', createLoad(), zoneCut],
	])('%s', async (_name, load, events) => {
		const {onTime, prices} = await new PoolModel(load, startCount, events).run(seconds, leadSeconds);
		const fixed = await runFixed(load, startCount, events);
		const sufficient = await findSufficientCount(load);
		const clairvoyant = await runFixed(load, sufficient, []);
		expect(onTime).toBeGreaterThan(0.99);
		expect(sum(prices)).toBeLessThan(fixed.price * 0.4);
		// Once the load is known, the pool with its reserves costs no more than the fewest ordinary upstreams that suffice for the day without losses.
		const known = prices.slice(knownAfterSeconds);
		expect(sum(known) / known.length).toBeLessThan(clairvoyant.price / seconds);
	});
});

describe('the number of upstreams', () => {
	test('is left alone while upstreams register one after the other at the start, so that those that are not listed yet are not ordered away', async () => {
		const model = new PoolModel(createLoad(), startCount);
		model.startListingMs = [3000, 30];
		const {present} = await model.run(leadSeconds, leadSeconds);
		expect(model.orders.length).toBeGreaterThan(0);
		expect(Math.min(...present.slice(8))).toBeGreaterThanOrEqual(startCount - 5);
	});

	test('stays the same until the load is known, and reclaimable upstreams replace the others one for one', async () => {
		const model = new PoolModel(createLoad(), startCount);
		const {present} = await model.run(leadSeconds, leadSeconds);
		expect(Math.min(...present)).toBeGreaterThanOrEqual(startCount - 5);
		expect(model.serving.length).toBe(startCount);
		expect(model.serving.filter(({isReclaimable}) => isReclaimable === true).length).toBeGreaterThan(startCount * 0.8);
	});

	test('does not follow the waves', async () => {
		const model = new PoolModel(createLoad(), startCount);
		const {present} = await model.run(120, leadSeconds);
		const later = present.slice(60);
		expect(later.filter((count, index) => index > 0 && count !== later[index - 1]).length).toBeLessThanOrEqual(2);
	});

	test('rises from too few upstreams within the boot time of the first and the second step', async () => {
		const model = new PoolModel(createLoad(), 8);
		const {present} = await model.run(30, 2);
		expect(present[12]).toBeGreaterThanOrEqual(28);
	});

	test('does not swing when the duty changes hands in the middle of orders', async () => {
		const handovers = [5, 9, 23.5, 25, 30].map((second): ModelEvent => ({
			second, run(model) {
				model.changeHolder();
			},
		}));
		const steady = await new PoolModel(createLoad(), startCount).run(seconds, leadSeconds);
		const model = new PoolModel(createLoad(), startCount, handovers);
		const {onTime, present, prices} = await model.run(seconds, leadSeconds);
		expect(onTime).toBeGreaterThan(0.99);
		expect(Math.max(...present)).toBeLessThan(startCount * 1.5);
		expect(sum(prices)).toBeLessThan(sum(steady.prices) * 1.1);
		const later = present.slice(45);
		expect(Math.max(...later) - Math.min(...later)).toBeLessThanOrEqual(12);
	});

	test('never goes beyond the bounds of a zone, nor to less than one upstream of each stage', async () => {
		const model = new PoolModel(createLoad(), startCount, [...reclaims, ...crash].toSorted((a, b) => a.second - b.second));
		await model.run(seconds, leadSeconds);
		expect(model.results).not.toContain('rejected');
		for (const {count} of model.orders.filter(({isReclaimable}) => !isReclaimable)) {
			expect(count).toBeGreaterThanOrEqual(1);
		}
	});

	test('is not reduced under load while a zone has no engine that decodes, so that the stages keep up', async () => {
		const withDecoders = new PoolModel(createLoad(), startCount);
		const withoutDecoders = new PoolModel(createLoad(), startCount);
		withDecoders.stages = {runs: 20, slots: 64, backlogMs: 0};
		withoutDecoders.stages = withDecoders.stages;
		withoutDecoders.decodeZones = new Set(['a', 'b', 'c']);
		const served = await withDecoders.run(40, 0);
		const unserved = await withoutDecoders.run(40, 0);
		expect(served.present.at(-1)).toBeLessThan(startCount * 0.6);
		expect(unserved.present.at(-1)).toBeGreaterThanOrEqual(startCount * 0.9);
	});
});

describe('orders', () => {
	test('are not sent without the authority', async () => {
		const model = new PoolModel(createLoad(), startCount);
		model.authority = undefined;
		await model.run(30);
		expect(model.orders).toEqual([]);
	});

	test('carry the authority under which they were decided, and are not written once it has ended', async () => {
		const model = new PoolModel(createLoad(), startCount);
		model.beforeOrder = () => {
			model.authority = undefined;
		};

		await model.run(10);
		expect(model.orders).toEqual([]);
		expect(model.results).toContain('throttled');
	});

	test('go to other zones while a kind is exhausted in one, and ask again with a growing delay', async () => {
		const model = new PoolModel(createLoad(), startCount);
		model.dryUntil.set('a', 60_000);
		model.dryUntil.set('b', 60_000);
		await model.run(seconds, leadSeconds);
		expect(model.serving.some(({availabilityZone, isReclaimable}) => availabilityZone === 'a' && isReclaimable === true)).toBe(false);
		expect(model.serving.length).toBeGreaterThanOrEqual(30);
		const asked = model.orders.filter(({availabilityZone, isReclaimable, count}) => availabilityZone === 'a' && isReclaimable && count > 0);
		expect(asked.length).toBeGreaterThanOrEqual(1);
		expect(asked.length).toBeLessThanOrEqual(6);
	});

	test('use ordinary upstreams while no zone has reclaimable ones', async () => {
		const model = new PoolModel(createLoad(), 8);
		for (const zone of scaling.zonePrices.keys()) {
			model.dryUntil.set(zone, 60_000);
		}

		const {onTime} = await model.run(40, 2);
		expect(model.serving.length).toBeGreaterThanOrEqual(28);
		expect(onTime).toBeGreaterThan(0.6);
	});

	test('are repeated unchanged if their outcome is unknown or they were throttled', async () => {
		const model = new PoolModel(createLoad(), startCount);
		model.nextResults = ['unknown', 'throttled', 'unknown', 'throttled'];
		await model.run(12);
		const key = (index: number) => JSON.stringify(model.orders[index]);
		expect(model.orders.slice(4).map(order => JSON.stringify(order))).toEqual(expect.arrayContaining([key(0), key(1), key(2), key(3)]));
	});

	test('are repeated if upstreams that were ordered do not come or were taken away', async () => {
		const model = new PoolModel(createLoad(), 40, [{
			second: 50, run(other) {
				other.drain(({availabilityZone, isReclaimable}) => availabilityZone === 'b' && isReclaimable === true);
			},
		}]);
		await model.run(60);
		expect(model.serving.filter(({availabilityZone, isReclaimable}) => availabilityZone === 'b' && isReclaimable === true).length).toBeGreaterThanOrEqual(6);
	});

	test('are not repeated at once after a rejection', async () => {
		const model = new PoolModel(createLoad(), startCount);
		model.nextResults = Array.from({length: 100}, () => 'rejected' as const);
		await model.run(20);
		expect(model.orders.length).toBeLessThanOrEqual(8);
	});

	test('reduce one zone a second under load, so that the engines that are left take over the stages', async () => {
		const model = new PoolModel(createLoad(), startCount);
		await model.run(30);
		const zones = model.orders.map(({availabilityZone, isReclaimable}, index) => ({availabilityZone, at: model.times[index]!, isReclaimable})).filter(({isReclaimable}) => !isReclaimable);
		const changes = zones.filter(({availabilityZone, at}, index) => index > 0 && availabilityZone !== zones[index - 1]!.availabilityZone && at - zones[index - 1]!.at < 1000);
		expect(zones.length).toBeGreaterThanOrEqual(4);
		expect(changes).toEqual([]);
	});

	test('are few', async () => {
		const model = new PoolModel(createLoad(second => [isBurst(second) ? 2.5 : 1, 1]), startCount, reclaims);
		await model.run(seconds, leadSeconds);
		expect(model.orders.length).toBeLessThanOrEqual(60);
	});
});
