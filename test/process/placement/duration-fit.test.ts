import {describe, expect, test} from 'vitest';
import {DurationFit} from '../../../src/process/placement/duration-fit.ts';
import {SeededRandom} from '../../../src/process/random.ts';

const initial = {tokensPerMs: 157, fixedMs: 40};

/** Lets a fit observe prefills of engines with a rate and an overhead, with 20 % of noise. */
function observe(fit: DurationFit, {tokensPerMs, fixedMs}: typeof initial, count: number, startsAt = 0): void {
	const random = new SeededRandom(4);
	for (let index = 0; index < count; index += 1) {
		const tokens = 500 + random.integer(16_000);
		fit.observe(tokens, (fixedMs + (tokens / tokensPerMs)) * (0.8 + (random.next() * 0.4)), startsAt + (index * 100));
	}
}

describe('fit of durations', () => {
	test('starts with the initial rate', () => {
		expect(new DurationFit(initial).rate.tokensPerMs).toBeCloseTo(157);
		expect(new DurationFit(initial).rate.fixedMs).toBeCloseTo(40);
	});

	test('learns a third of the initial rate from ten observations', () => {
		const fit = new DurationFit(initial);
		observe(fit, {tokensPerMs: 51, fixedMs: 40}, 10);
		expect(fit.rate.tokensPerMs).toBeGreaterThan(43);
		expect(fit.rate.tokensPerMs).toBeLessThan(62);
	});

	test('is not determined by a tenth of the prefills that waited for something else', () => {
		const fit = new DurationFit(initial);
		for (let index = 0; index < 300; index += 1) {
			const tokens = 500 + ((index * 37) % 16_000);
			fit.observe(tokens, (40 + (tokens / 157)) * (index % 10 === 9 ? 10 : 1), index * 50);
		}

		expect(fit.rate.fixedMs).toBeLessThan(60);
		expect(fit.rate.tokensPerMs).toBeGreaterThan(120);
	});

	test('forgets engines that have been replaced by faster ones', () => {
		const fit = new DurationFit(initial);
		observe(fit, {tokensPerMs: 51, fixedMs: 40}, 200);
		observe(fit, {tokensPerMs: 300, fixedMs: 20}, 200, 100_000);
		expect(fit.rate.tokensPerMs).toBeGreaterThan(250);
		expect(fit.rate.fixedMs).toBeLessThan(35);
	});

	test('stays within bounds when the observations contradict each other', () => {
		const fit = new DurationFit(initial);
		for (let index = 0; index < 50; index += 1) {
			fit.observe(10_000, 10, index);
			fit.observe(100, 5000, index);
		}

		expect(fit.rate.tokensPerMs).toBeLessThanOrEqual(5000);
		expect(fit.rate.fixedMs).toBeLessThanOrEqual(400);
	});
});
