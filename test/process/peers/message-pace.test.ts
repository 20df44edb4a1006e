import {setTimeout} from 'node:timers/promises';
import {describe, expect, test} from 'vitest';
import {createBusyMeter, MessagePace} from '../../../src/process/peers/message-pace.ts';

function paceAfter(shares: readonly number[]): MessagePace {
	const left = [...shares];
	const pace = new MessagePace(() => left.shift()!);
	for (const _share of shares) {
		pace.measure();
	}

	return pace;
}

function repeat(share: number, times: number): readonly number[] {
	return Array.from({length: times}, () => share);
}

// Guards against hosts with little processor time that spend most of it on messages to other daemons.
describe('the pace of messages between daemons', () => {
	test('is the usual one before the first measurement, and in a process that has time left', () => {
		expect(paceAfter([]).stretch).toBe(1);
		expect(paceAfter(repeat(0.6, 50)).stretch).toBe(1);
	});

	test('slows down with the time that the process lacks, to a half at most', () => {
		expect(paceAfter(repeat(0.75, 50)).stretch).toBeCloseTo(1.5, 2);
		expect(paceAfter(repeat(1, 50)).stretch).toBe(2);
	});

	test('does not change with a single busy moment', () => {
		expect(paceAfter([...repeat(0.3, 10), 1]).stretch).toBe(1);
	});

	test('returns to the usual one once the process has time again', () => {
		expect(paceAfter([...repeat(1, 20), ...repeat(0.2, 5)]).stretch).toBe(1);
	});

	test('is measured from the time that the event loop worked', async () => {
		const measure = createBusyMeter();
		await setTimeout(100);
		const idleShare = measure();
		spin(100);
		await setTimeout(1);
		expect(measure()).toBeGreaterThan(idleShare);
	});
});

/** Keeps the processor busy. */
function spin(durationMs: number): void {
	const until = performance.now() + durationMs;
	for (let now = performance.now(); now < until; now = performance.now()) {
		// Only time passes.
	}
}
