import {expect, test} from 'vitest';
import {SystemClock} from '../../../src/process/clock.ts';
import {DecisionLog} from '../../../src/process/fleet/decision-log.ts';
import {Shutdown} from '../../../src/process/fleet/shutdown.ts';
import type {StopTimes} from '../../../src/process/fleet/stop-schedule.ts';

/** A shutdown beside requests of which some are always in flight. */
function createBusyShutdown(times: StopTimes): Shutdown {
	const log = new DecisionLog({}, (_bytes, done) => {
		done(undefined);
	});
	return new Shutdown(new SystemClock(), log, times, {
		openRequests: 1,
		stopCounts: {
			refusedOnArrival: 0, refused: 0, failed: 0, brokenOff: 0,
		},
		refuseUnsent: () => undefined, endAll: () => undefined,
	});
}

test('a shutdown whose callers go on sending closes the listener before the exit, so that requests in transit are answered', async () => {
	const startedAt = performance.now();
	const shutdown = createBusyShutdown({rotationDelayMs: 0, endRequestsMs: 300, exitMs: 1500});
	await shutdown.run();
	expect(performance.now() - startedAt).toBeLessThan(1000);
	await shutdown.waitForLateRequests();
	expect(performance.now() - startedAt).toBeGreaterThanOrEqual(1490);
});

test('a shutdown takes no request once it has waited for late ones, so that the exit cuts none that arrives while the log is written', async () => {
	const clock = new SystemClock();
	const log = new DecisionLog({}, (_bytes, done) => {
		done(undefined);
	});
	const shutdown = new Shutdown(clock, log, {rotationDelayMs: 0, endRequestsMs: 2000, exitMs: 2200}, {
		openRequests: 0,
		stopCounts: {
			refusedOnArrival: 0, refused: 0, failed: 0, brokenOff: 0,
		},
		refuseUnsent: () => undefined, endAll: () => undefined,
	});
	await shutdown.run();
	const short = {
		kind: 'unrepeatable', remainingMs: 100, targetLatencyMs: 10, usualMs: 10,
	} as const;
	expect(shutdown.canEnd(short, clock.now())).toBe(true);
	await shutdown.waitForLateRequests();
	expect(shutdown.canEnd(short, clock.now())).toBe(false);
});
