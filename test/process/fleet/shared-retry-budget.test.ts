import {describe, expect, test} from 'vitest';
import {SharedRetryBudget} from '../../../src/process/fleet/shared-retry-budget.ts';

const bounds = {ratio: 0.2, slack: 56, windowMs: 10_000};

/** Simulates daemons that retry as often as they are allowed to, and returns the largest number of retries in any window. */
function simulateWorstWindow(requestsPerSecond: readonly number[], seconds: number, killsAt: readonly number[] = []): {readonly retries: number; readonly allowed: number} {
	const start = (replacedAt?: number) => requestsPerSecond.map(() => new SharedRetryBudget(bounds, () => requestsPerSecond.length, () => replacedAt));
	let daemons = start();
	const retriesAt: number[] = [];
	const stepMs = 50;
	for (let now = 0; now < seconds * 1000; now += stepMs) {
		daemons = killsAt.includes(now) ? start(now) : daemons;
		for (const [index, daemon] of daemons.entries()) {
			const countUntil = (time: number) => Math.floor(requestsPerSecond[index]! * time / 1000);
			for (let count = countUntil(now); count < countUntil(now + stepMs); count += 1) {
				daemon.earn('model', now);
				while (daemon.take('model', now)) {
					retriesAt.push(now);
				}
			}
		}
	}

	const retries = Math.max(...retriesAt.map(start => retriesAt.filter(at => at >= start && at < start + bounds.windowMs).length));
	const total = requestsPerSecond.reduce((sum, rate) => sum + rate, 0) * bounds.windowMs / 1000;
	return {retries, allowed: (total * bounds.ratio) + bounds.slack};
}

describe('shared retry budget', () => {
	test.each([
		['the load is evenly distributed', [20, 20, 20, 20, 20, 20, 20, 20]],
		['one daemon gets all the load', [160, 0, 0, 0, 0, 0, 0, 0]],
		['spare daemons have joined', [20, 20, 20, 20, 20, 20, 20, 20, 20, 20, 20]],
		['many daemons get little load each', Array.from({length: 66}, () => 6)],
		['there are more idle daemons than retries in the slack', Array.from({length: 300}, () => 0.2)],
	])('keeps the sum over all daemons within the bound when %s', (_name, rates) => {
		const {retries, allowed} = simulateWorstWindow(rates, 30);
		expect(retries).toBeLessThanOrEqual(allowed);
	});

	// Guards against daemons that are killed at once, forget the retries of the window and spend its slack again.
	test.each([
		['little load', Array.from({length: 66}, () => 0.5)],
		['much load', Array.from({length: 66}, () => 6)],
		['all load at one daemon', [160, 0, 0, 0, 0, 0, 0, 0]],
	])('keeps the sum within the bound when all daemons are killed again and again, with %s', (_name, rates) => {
		const {retries, allowed} = simulateWorstWindow(rates, 40, [3000, 6000, 14_000, 15_000, 29_000]);
		expect(retries).toBeLessThanOrEqual(allowed);
	});

	test('allows a daemon with little load an occasional retry', () => {
		const allowance = new SharedRetryBudget(bounds, () => 8);
		allowance.earn('desk', 0);
		expect(allowance.take('desk', 0)).toBe(true);
	});

	test('uses the smallest part of the slack while the number of daemons is unknown', () => {
		const fresh = new SharedRetryBudget({...bounds, slack: 127}, () => undefined);
		expect(fresh.take('desk', 0)).toBe(false);
		const spare = new SharedRetryBudget({...bounds, slack: 127}, () => 66);
		expect(spare.take('desk', 0)).toBe(true);
	});

	test('keeps a separate budget for each service', () => {
		const allowance = new SharedRetryBudget(bounds, () => 8);
		for (let count = 0; count < 1000; count += 1) {
			allowance.earn('model', 0);
		}

		let taken = 0;
		while (allowance.take('desk', 0)) {
			taken += 1;
		}

		expect(taken).toBeLessThanOrEqual(2);
	});
});
