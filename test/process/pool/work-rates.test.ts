import {describe, expect, test} from 'vitest';
import {WorkCounter} from '../../../src/process/pool/service-work.ts';
import {peakWindowMs, WorkRates} from '../../../src/process/pool/work-rates.ts';

const reportMs = 500;

/** Lets daemons report the sums of steady work, this many engine milliseconds per second each; returns the time of the last report. */
function report(rates: WorkRates, perSecond: Readonly<Record<string, number>>, from: number, until: number): number {
	let now = from;
	for (; now <= until; now += reportMs) {
		for (const [daemon, work] of Object.entries(perSecond)) {
			rates.hear(daemon, [{service: 'model', arrivedMs: work * now / 1000, refusedMs: work * now / 10_000}], now);
		}
	}

	return now - reportMs;
}

describe('rate of the work', () => {
	test('is the sum over all daemons', () => {
		const rates = new WorkRates(0);
		const now = report(rates, {a: 3000, b: 1500, c: 500}, 0, 10_000);
		expect(rates.measure('model', now).busy).toBeCloseTo(5);
		expect(rates.measure('model', now).refusedShare).toBeCloseTo(0.1);
		expect(rates.measure('other', now)).toEqual({
			busy: 0, peakBusy: 0, refusedShare: 0, observedMs: undefined,
		});
	});

	test('loses nothing when reports are lost', () => {
		const rates = new WorkRates(0);
		report(rates, {a: 4000}, 0, 4000);
		rates.hear('a', [{service: 'model', arrivedMs: 28_000, refusedMs: 2800}], 7000);
		expect(rates.measure('model', 7000).busy).toBeCloseTo(4);
		expect(rates.measure('model', 7000).peakBusy).toBeCloseTo(4);
	});

	test('does not count what a daemon had counted before it was first heard, so that a new holder sees no peak', () => {
		const rates = new WorkRates(0);
		rates.hear('a', [{service: 'model', arrivedMs: 1_000_000, refusedMs: 0}], 60_000);
		expect(rates.measure('model', 60_500).busy).toBe(0);
	});

	test('goes on when a daemon restarts and counts from zero', () => {
		const rates = new WorkRates(0);
		report(rates, {a: 4000}, 0, 10_000);
		rates.hear('a', [{service: 'model', arrivedMs: 500, refusedMs: 0}], 10_500);
		const {busy} = rates.measure('model', 11_000);
		expect(busy).toBeGreaterThan(2);
		expect(busy).toBeLessThan(4);
	});

	test('remembers a peak for a while', () => {
		const rates = new WorkRates(0);
		let sum = 0;
		for (let now = 0; now <= 60_000; now += reportMs) {
			sum += now > 10_000 && now <= 16_000 ? 5000 : 2500;
			rates.hear('a', [{service: 'model', arrivedMs: sum, refusedMs: 0}], now);
			const {busy, peakBusy} = rates.measure('model', now);
			const isPeakRecent = now > 13_000 && now < 16_000 + peakWindowMs - 2000;
			expect(peakBusy).toBeGreaterThanOrEqual(busy);
			if (isPeakRecent) {
				expect(peakBusy).toBeCloseTo(10);
			}
		}

		expect(rates.measure('model', 60_000).peakBusy).toBeCloseTo(5);
	});

	test('counts this daemon\'s own first work', () => {
		const work = new WorkCounter();
		const rates = new WorkRates(0);
		work.arrived('model', 800);
		work.arrived('model', 200);
		work.refused('model', 200);
		rates.hear('self', work.totals(['model']), 500, true);
		expect(rates.measure('model', 1000)).toMatchObject({busy: 0.5, refusedShare: 0.2});
	});
});
