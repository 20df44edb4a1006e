import {describe, expect, test} from 'vitest';
import {RouteDurations} from '../../../src/process/fleet/route-durations.ts';

describe('the usual duration of a route', () => {
	test('is not raised by the few slowest requests, so that a stop does not refuse the others early', () => {
		const durations = new RouteDurations();
		for (let index = 0; index < 100; index += 1) {
			durations.record('a', index < 97 ? 200 : 5000, 1000);
		}

		expect(durations.usualMs('a', 1000)).toBeCloseTo(200, -1);
		expect(durations.usualMs('b', 1000)).toBeUndefined();
	});

	test('follows a route that became quicker, and is unknown after a minute without requests', () => {
		const durations = new RouteDurations();
		durations.record('a', 5000, 0);
		durations.record('a', 100, 35_000);
		expect(durations.usualMs('a', 36_000)).toBeGreaterThan(4900);
		durations.record('a', 100, 66_000);
		expect(durations.usualMs('a', 66_000)).toBeLessThan(110);
		expect(durations.usualMs('a', 200_000)).toBeUndefined();
	});
});
