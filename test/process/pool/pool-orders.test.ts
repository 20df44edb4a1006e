import {describe, expect, test} from 'vitest';
import type {DutyResult, PoolOrder} from '../../../src/ports/platform-duties.ts';
import {PoolOrders} from '../../../src/process/pool/pool-orders.ts';
import {countAll, type PoolCounts} from '../../../src/process/pool/pool-plan.ts';
import {PoolTarget, type TargetInput} from '../../../src/process/pool/pool-target.ts';
import {scaling} from './pool-model.ts';

const counts = (ordinary: number, reclaimable: number): PoolCounts => new Map([['a', {ordinary, reclaimable}]]);

/** Sends the orders that are due, all with the same result; returns them. */
function order(orders: PoolOrders, {desired, present, now, result = 'accepted', mayLower = true}: {
	readonly desired: PoolCounts;
	readonly present: PoolCounts;
	readonly now: number;
	readonly result?: DutyResult | 'none';
	readonly mayLower?: boolean;
}): readonly PoolOrder[] {
	const due = orders.due({
		scaling, desired, present, mayLower,
	}, now);
	for (const sent of due) {
		orders.started(sent, present, scaling, now);
		if (result !== 'none') {
			orders.ended(sent, result, now);
		}
	}

	return due;
}

describe('orders', () => {
	test('that raise what a zone has are sent although more was ordered before it lost all of them', () => {
		const orders = new PoolOrders('model');
		expect(order(orders, {desired: counts(1, 20), present: counts(1, 0), now: 0})).toHaveLength(1);
		expect(order(orders, {
			desired: counts(1, 7), present: counts(1, 0), now: 20_000, mayLower: false,
		})).toMatchObject([{count: 7, isReclaimable: true}]);
	});

	test('ask for an exhausted kind after a delay that doubles up to a bound', () => {
		const orders = new PoolOrders('model');
		const askedAt: number[] = [];
		for (let now = 0; now <= 100_000; now += 250) {
			if (order(orders, {
				desired: counts(1, 5), present: counts(1, 0), now, result: 'exhausted',
			}).length > 0) {
				askedAt.push(now);
			}
		}

		expect(askedAt).toEqual([0, 3000, 9000, 21_000, 45_000, 69_000, 93_000]);
	});

	test('expect no more than there is while a kind is exhausted', () => {
		const orders = new PoolOrders('model');
		order(orders, {
			desired: counts(1, 5), present: counts(1, 2), now: 0, result: 'exhausted',
		});
		expect(orders.limit(counts(1, 2), 1000)('a', 'reclaimable')).toBe(2);
		expect(orders.limit(counts(1, 2), 1000)('a', 'ordinary')).toBe(Number.POSITIVE_INFINITY);
		expect(orders.limit(counts(1, 2), 3000)('a', 'reclaimable')).toBe(Number.POSITIVE_INFINITY);
	});

	test('count a kind as exhausted that was ordered three times and does not come', () => {
		const orders = new PoolOrders('model');
		const sentAt: number[] = [];
		for (let now = 0; now <= 20_000; now += 250) {
			if (order(orders, {desired: counts(1, 5), present: counts(1, 0), now}).length > 0) {
				sentAt.push(now);
			}
		}

		expect(sentAt.slice(0, 3)).toEqual([0, 8000, 16_000]);
		expect(orders.limit(counts(1, 0), 16_500)('a', 'reclaimable')).toBe(0);
	});

	test('are repeated after a delay that doubles while the platform cannot be reached', () => {
		const orders = new PoolOrders('model');
		const sentAt: number[] = [];
		for (let now = 0; now <= 40_000; now += 250) {
			const result = now < 30_000 ? 'unknown' : 'accepted';
			if (order(orders, {
				desired: counts(1, 5), present: counts(1, now <= 31_000 ? 0 : 5), now, result,
			}).length > 0) {
				sentAt.push(now);
			}
		}

		expect(sentAt).toEqual([0, 1000, 3000, 7000, 15_000, 23_000, 31_000]);
	});

	test('do not wait for ever for a call that never returns', () => {
		const orders = new PoolOrders('model');
		order(orders, {
			desired: counts(1, 5), present: counts(1, 0), now: 0, result: 'none',
		});
		expect(order(orders, {desired: counts(1, 6), present: counts(1, 0), now: 5000})).toEqual([]);
		expect(order(orders, {desired: counts(1, 6), present: counts(1, 0), now: 10_000})).toMatchObject([{count: 6}]);
	});
});

describe('reductions', () => {
	/** Numbers of ordinary and reclaimable upstreams in the dear zone `a` and the cheap zone `b`. */
	const inZones = (a: readonly [number, number], b: readonly [number, number]): PoolCounts => new Map([['a', {ordinary: a[0], reclaimable: a[1]}], ['b', {ordinary: b[0], reclaimable: b[1]}]]);
	const desired = inZones([0, 20], [0, 20]);
	const countsOf = (sent: readonly PoolOrder[]) => sent.map(({availabilityZone, count, isReclaimable}) => [availabilityZone, count, isReclaimable]);

	test('begin in the dear zone and leave as many as are desired, also before those that were ordered away are listed as leaving', () => {
		const orders = new PoolOrders('model');
		const present = inZones([20, 10], [20, 20]);
		const sent = order(orders, {desired, present, now: 0});
		expect(countsOf(sent)).toEqual([['a', 20, true], ['a', 0, false], ['b', 8, false]]);
		expect(order(orders, {desired, present, now: 250})).toEqual([]);
		expect(countsOf(order(orders, {desired, present: inZones([0, 10], [8, 20]), now: 500}))).toEqual([]);
		expect(countsOf(order(orders, {desired, present: inZones([0, 20], [8, 20]), now: 750}))).toEqual([['b', 0, false]]);
	});

	test('wait until a step is worth an order', () => {
		expect(order(new PoolOrders('model'), {desired, present: inZones([20, 9], [0, 10]), now: 0}).filter(({isReclaimable}) => !isReclaimable)).toEqual([]);
		expect(countsOf(order(new PoolOrders('model'), {desired, present: inZones([20, 13], [0, 10]), now: 0}).filter(({isReclaimable}) => !isReclaimable))).toEqual([['a', 15, false]]);
	});

	test('begin with those that save most, whatever the order of the zones', () => {
		const sent = order(new PoolOrders('model'), {desired, present: inZones([2, 20], [20, 20]), now: 0});
		expect(countsOf(sent)).toEqual([['b', 0, false], ['a', 0, false]]);
	});
});

describe('target', () => {
	/** Lets time pass with a need of this many upstreams and returns the desired total after each quarter of a second. */
	const follow = (target: PoolTarget, needed: (second: number) => number, start: number, seconds: number) => {
		const input = (now: number): TargetInput => ({
			scaling: {...scaling, reclaimablePrice: undefined},
			size: {
				total: needed(now / 1000), essential: needed(now / 1000), afterLoss: 0, mayShrink: true, decoders: 0,
			},
			present: new Map([...scaling.zonePrices.keys()].map(zone => [zone, {ordinary: start / scaling.zonePrices.size, reclaimable: 0}])),
			limit: () => Number.POSITIVE_INFINITY,
		});
		return Array.from({length: seconds * 4}, (_, index) => countAll(target.update(input(index * 250), index * 250)));
	};

	test('falls in one step when there are clearly too many, otherwise by a fifth every ten seconds', () => {
		expect(new Set(follow(new PoolTarget(), () => 40, 96, 60))).toEqual(new Set([96, 40]));
		const gradual = follow(new PoolTarget(), () => 40, 56, 60);
		expect([...new Set(gradual)]).toEqual([56, 45]);
		expect(gradual.indexOf(45)).toBe(8);
		const slow = follow(new PoolTarget(), second => second < 2 ? 72 : 50, 72, 60);
		expect([...new Set(slow)]).toEqual([72, 58]);
		const twice = follow(new PoolTarget(), second => second < 5 ? 70 : 48, 88, 60);
		expect([...new Set(twice)]).toEqual([88, 71, 57]);
		expect(twice.indexOf(57) - twice.indexOf(71)).toBeGreaterThanOrEqual(40);
	});

	test('does not rise for a shortage of a few percent', () => {
		expect(new Set(follow(new PoolTarget(), () => 99, 96, 30))).toEqual(new Set([96]));
		expect(follow(new PoolTarget(), () => 106, 96, 30).at(-1)).toBe(106);
	});

	test('rises half a second after the need', () => {
		expect(follow(new PoolTarget(), () => 60, 40, 5).indexOf(60)).toBe(2);
	});
});
