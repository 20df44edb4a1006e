import {describe, expect, test} from 'vitest';
import {announcementDelayMs} from '../../../src/process/tables/table-sharing.ts';
import {createConfigurationTimes, createListTimes, type WatchTimes} from '../../../src/process/tables/watch-times.ts';

function createAll(boundMs: number): readonly WatchTimes[] {
	return [createListTimes({drainMs: boundMs, contactMs: boundMs + 1000}), createConfigurationTimes({configApplyMs: boundMs, contactMs: boundMs + 1000})];
}

// Guards against fleets in which all daemons read the store, because the confirmations of its readers lapse before the next ones.
describe('a daemon that reads the store for many others', () => {
	test.each([3000, 4000, 6000])('confirms its copy again while the last confirmation counts, with bounds of %i ms', boundMs => {
		for (const {maxAgeMs, forMany: {waitMs, pauseMs}} of createAll(boundMs)) {
			expect(Math.max(waitMs, pauseMs)).toBeLessThanOrEqual(maxAgeMs - announcementDelayMs);
		}
	});

	test('reads no more often than for itself when no confirmation could last until the next one', () => {
		for (const {waitMs, pauseMs, forMany} of createAll(2000)) {
			expect(forMany).toEqual({waitMs, pauseMs});
		}
	});
});
