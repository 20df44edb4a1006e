import {describe, expect, test} from 'vitest';
import {SuspendAwareClock} from '../../src/process/clock.ts';

describe('SuspendAwareClock', () => {
	test('counts the time for which the host was suspended', () => {
		let steady = 0;
		let timeOfDay = 1_000_000;
		const clock = new SuspendAwareClock(() => steady, () => timeOfDay);
		steady += 100;
		timeOfDay += 100;
		expect(clock.now()).toBe(100);
		// The steady clock does not advance while the host is suspended.
		timeOfDay += 4000;
		expect(clock.now()).toBe(4100);
	});

	test('does not go back when the time of day is set back', () => {
		let steady = 0;
		let timeOfDay = 1_000_000;
		const clock = new SuspendAwareClock(() => steady, () => timeOfDay);
		steady += 100;
		timeOfDay -= 5000;
		expect(clock.now()).toBe(100);
	});
});
