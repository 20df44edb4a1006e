import {describe, expect, test} from 'vitest';
import {
	countAll, planPool, priceAll, type PoolCounts, type PoolLimit, type PoolSize,
} from '../../../src/process/pool/pool-plan.ts';
import {PoolSizer, type PoolDemand} from '../../../src/process/pool/pool-sizer.ts';
import type {PoolScaling} from '../../../src/version/routes/route-configuration.ts';

const scaling: PoolScaling = {
	minUpstreams: 1, maxUpstreams: 49, bootMs: 4000, reclaimablePrice: 0.22, zonePrices: new Map([['a', 1], ['b', 0.8], ['c', 1.25], ['d', 0.9]]),
};
const noLimit: PoolLimit = () => Number.POSITIVE_INFINITY;
const dry = (...zones: readonly string[]): PoolLimit => (zone, kind) => kind === 'reclaimable' && zones.includes(zone) ? 0 : Number.POSITIVE_INFINITY;
const size: PoolSize = {total: 40, essential: 40, afterLoss: 25};
const countsIn = (plan: PoolCounts, zone: string) => {
	const {ordinary, reclaimable} = plan.get(zone)!;
	return ordinary + reclaimable;
};

describe('plan of a pool', () => {
	test('uses mostly reclaimable upstreams, most of them in the cheap zones', () => {
		const plan = planPool(scaling, size, noLimit);
		expect(countAll(plan)).toBe(40);
		expect([...plan.values()].map(({ordinary}) => ordinary)).toEqual([1, 1, 1, 1]);
		expect(countsIn(plan, 'b')).toBeGreaterThan(countsIn(plan, 'c'));
		expect(priceAll(scaling, plan)).toBeLessThan(40 * 0.8 * 0.5);
	});

	test.each([
		['all kinds available', noLimit],
		['no reclaimable ones in one zone', dry('b')],
		['no reclaimable ones in two zones', dry('b', 'd')],
		['no reclaimable ones in three zones', dry('a', 'b', 'd')],
		['no reclaimable ones at all', dry('a', 'b', 'c', 'd')],
	])('leaves enough when any zone is lost: %s', (_name, limit) => {
		const plan = planPool(scaling, size, limit);
		expect(countAll(plan)).toBeGreaterThanOrEqual(40);
		for (const zone of plan.keys()) {
			expect(countAll(plan) - countsIn(plan, zone)).toBeGreaterThanOrEqual(25);
		}
	});

	test('buys no ordinary upstreams for the headroom of which reclaimable ones would be cheap', () => {
		const plan = planPool(scaling, {total: 40, essential: 18, afterLoss: 12}, dry('a', 'b', 'c', 'd'));
		expect(countAll(plan)).toBe(18);
	});

	test('keeps the bounds of each zone, with two upstreams at least', () => {
		for (const total of [0, 3, 17, 90, 400]) {
			const plan = planPool({...scaling, maxUpstreams: 20}, {total, essential: total, afterLoss: total}, noLimit);
			for (const zone of plan.keys()) {
				expect(countsIn(plan, zone)).toBeGreaterThanOrEqual(2);
				expect(countsIn(plan, zone)).toBeLessThanOrEqual(20);
			}
		}
	});

	test('has the configured minimum, also of ordinary upstreams if no others can be had', () => {
		const plan = planPool({...scaling, minUpstreams: 6}, {total: 0, essential: 0, afterLoss: 0}, dry('a'));
		expect([...plan.keys()].map(zone => countsIn(plan, zone))).toEqual([6, 6, 6, 6]);
	});

	test('uses ordinary upstreams if a service has no cheaper ones', () => {
		for (const reclaimablePrice of [undefined, 1, 1.2]) {
			const plan = planPool({...scaling, reclaimablePrice}, size, noLimit);
			expect([...plan.values()].every(({reclaimable}) => reclaimable === 0)).toBe(true);
			expect(countAll(plan)).toBe(40);
		}
	});

	test('is spread over zones that cost nothing', () => {
		const plan = planPool({...scaling, zonePrices: new Map([['a', 0], ['b', 0], ['c', 0]])}, size, noLimit);
		expect([...plan.keys()].map(zone => countsIn(plan, zone))).toEqual([14, 13, 13]);
	});

	test('does not grow without bound in a service with one zone, whose loss nothing can make up for', () => {
		expect(countAll(planPool({...scaling, zonePrices: new Map([['a', 1]])}, size, noLimit))).toBe(40);
	});

	test('adds to what is kept', () => {
		const kept: PoolCounts = new Map([['a', {ordinary: 9, reclaimable: 0}], ['b', {ordinary: 0, reclaimable: 4}]]);
		const plan = planPool(scaling, size, noLimit, kept);
		expect(plan.get('a')!.ordinary).toBe(9);
		expect(plan.get('b')!.reclaimable).toBeGreaterThanOrEqual(4);
		expect(countAll(plan)).toBe(40);
	});
});

describe('size of a pool', () => {
	const terms = {isHeadroomCheap: true, zones: 4};
	const demand = (peakBusy: number, values: Partial<PoolDemand['work']> = {}, backlogMs = 0): PoolDemand => ({
		work: {
			busy: peakBusy, peakBusy, refusedShare: 0, observedMs: 60_000, ...values,
		},
		stages: {runs: 20, slots: 64, backlogMs},
		isComplete: true,
	});

	test('has more headroom where it is cheap, and an engine to decode in each zone', () => {
		const cheap = new PoolSizer().computeSize(demand(12), terms, 0);
		const dear = new PoolSizer().computeSize(demand(12), {...terms, isHeadroomCheap: false}, 0);
		expect(cheap).toMatchObject({total: 34, decoders: 4, mayShrink: true});
		expect(dear.total).toBeLessThan(cheap.total);
		expect(dear.afterLoss).toBe(cheap.afterLoss);
	});

	test('has room for the peak of concurrent runs', () => {
		const sizer = new PoolSizer();
		sizer.computeSize({...demand(12), stages: {runs: 500, slots: 64, backlogMs: 0}}, terms, 0);
		expect(sizer.computeSize(demand(12), terms, 5000).decoders).toBe(13);
	});

	test('covers the engines that prefill, should their speed be overestimated', () => {
		const sizer = new PoolSizer();
		const load = {
			...demand(4), stages: {
				runs: 20, slots: 64, backlogMs: 0, prefillEngines: 12,
			},
		};
		sizer.computeSize({...load, stages: {...load.stages, prefillEngines: 0}}, terms, 0);
		expect(sizer.computeSize(load, terms, 3000).total).toBeLessThan(34);
		expect(sizer.computeSize(load, terms, 5000).total).toBe(34);
	});

	test('is bounded by the engines that were seen to prefill, should hosts without processor time measure slow engines', () => {
		const stages = {
			runs: 20, slots: 64, backlogMs: 0, prefillEngines: 8,
		};
		expect(new PoolSizer().computeSize({...demand(60), stages}, terms, 0).total).toBe(34);
	});

	test('may not shrink before the load is known', () => {
		expect(new PoolSizer().computeSize(demand(0, {observedMs: undefined}), terms, 0).mayShrink).toBe(false);
		expect(new PoolSizer().computeSize(demand(5, {observedMs: 1000}), terms, 0).mayShrink).toBe(false);
	});

	test.each([
		['prompts wait', demand(12, {}, 400)],
		['requests are refused', demand(12, {refusedShare: 0.2})],
	])('rises while %s although the estimate says that the pool suffices, and falls slowly afterwards', (_name, pressed) => {
		const sizer = new PoolSizer();
		const first = sizer.computeSize(pressed, terms, 0).total;
		let total = first;
		for (let now = 0; now <= 10_000; now += 250) {
			total = sizer.computeSize(pressed, terms, now).total;
		}

		expect(total).toBeGreaterThan(2 * first);
		expect(sizer.computeSize(demand(12), terms, 15_000).total).toBe(total);
		for (let now = 15_000; now <= 200_000; now += 1000) {
			total = sizer.computeSize(demand(12), terms, now).total;
		}

		expect(total).toBe(first);
	});

	test('does not rise by waiting prompts while upstreams that were ordered still boot', () => {
		const sizer = new PoolSizer();
		const pressed = {...demand(12, {refusedShare: 0.2}), isComplete: false};
		for (let now = 0; now <= 10_000; now += 250) {
			expect(sizer.computeSize(pressed, terms, now).total).toBe(34);
		}
	});
});
