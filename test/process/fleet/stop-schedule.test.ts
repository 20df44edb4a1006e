import {describe, expect, test} from 'vitest';
import {canEndBeforeExit, createStopTimes, type RequestTimes} from '../../../src/process/fleet/stop-schedule.ts';

const graceMs = 8000;
const times = createStopTimes(graceMs);
const plain: RequestTimes = {
	kind: 'unrepeatable', arrivedAfterMs: -100, remainingMs: 6000, targetLatencyMs: 400, usualMs: 1000,
};

describe('a request that arrives during a planned stop', () => {
	test.each([
		['is taken at once, so that no caller has to retry needlessly', 0, plain, true],
		['is taken late if its route is quick, so that no caller has to retry needlessly', 6000, plain, true],
		['is refused if it usually takes longer than is left, so that it is not cut', 6500, plain, false],
		['is taken if its deadline ends it before the exit, however long it may take', 6500, {...plain, remainingMs: 800}, true],
		['is refused if neither its deadline nor its usual time is short enough', 4000, {...plain, usualMs: 5000}, false],
		['is taken with a multiple of the target latency while nothing is known of its route', 6000, {...plain, usualMs: undefined}, true],
		['is refused with less than that left', 6300, {...plain, usualMs: undefined}, false],
		['is refused as a stream whose deadline is too late while nothing is known of its route', 2000, {...plain, kind: 'stream', usualMs: undefined}, false],
		['is taken as a stream if others of its route end in time', 2000, {...plain, kind: 'stream'}, true],
		['is refused as a late stream that only usually ends in time, because a stream that has begun can only be cut', 2700, {...plain, kind: 'stream', arrivedAfterMs: 2700}, false],
		['is taken as a late stream whose deadline ends it in time', 2700, {
			...plain, kind: 'stream', arrivedAfterMs: 2700, remainingMs: 4500,
		}, true],
		['is refused once all requests have been ended', 7600, {...plain, remainingMs: 10, usualMs: 1}, false],
	] satisfies ReadonlyArray<readonly [string, number, RequestTimes, boolean]>)('%s', (_name, passedMs, request, isTaken) => {
		expect(canEndBeforeExit(times, passedMs, request)).toBe(isTaken);
	});

	test.each([0, 200, 1000, 8000, 30_000])('is never ended after the exit, nor the exit after a grace period of %i ms', grace => {
		const {endRequestsMs, exitMs} = createStopTimes(grace);
		expect(endRequestsMs).toBeLessThanOrEqual(exitMs);
		expect(exitMs).toBeLessThanOrEqual(grace);
	});
});
