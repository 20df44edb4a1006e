import {describe, expect, test} from 'vitest';
import {announcementDelayMs, readsForMany, TableSharing} from '../../../src/process/tables/table-sharing.ts';

const maxAgeMs = 1500;
const own = {position: {epoch: 1, version: 5}, digest: 50};

/** Sharing in which a reader has confirmed the own copy at 1,000 ms. */
function createConfirmed(): TableSharing {
	const sharing = new TableSharing(maxAgeMs);
	sharing.record('daemon-1', {table: 'servers', ...own, ageMs: 0}, 1000);
	return sharing;
}

function announceNewer(sharing: TableSharing, now: number): void {
	sharing.record('daemon-1', {
		table: 'servers', position: {epoch: 1, version: 6}, digest: 60, ageMs: 0,
	}, now);
}

const confirmedUntil = 1000 - announcementDelayMs + maxAgeMs;

// Guards against daemons that all read the store at each change of a table, although they already fetch the rows from a reader.
describe('a copy of a table that follows a reader', () => {
	test('is reliable until the confirmation of the reader no longer counts', () => {
		const sharing = createConfirmed();
		expect(sharing.reliableUntil(own, false, 1200)).toBe(confirmedUntil);
		expect(sharing.reliableUntil(own, false, confirmedUntil)).toBe(confirmedUntil);
		expect(sharing.reliableUntil(own, false, confirmedUntil + 1)).toBe(confirmedUntil + 1);
	});

	test('stays reliable for as long while the rows that it lacks are fetched, and no longer', () => {
		const sharing = createConfirmed();
		sharing.reliableUntil(own, false, 1200);
		announceNewer(sharing, 1300);
		expect(sharing.reliableUntil(own, true, 1400)).toBe(confirmedUntil);
		announceNewer(sharing, 2500);
		expect(sharing.reliableUntil(own, true, 2600)).toBeLessThanOrEqual(2600);
	});

	test('is no longer reliable while the rows are fetched than a bound allows that was lowered meanwhile', () => {
		const sharing = createConfirmed();
		sharing.reliableUntil(own, false, 1200);
		sharing.setMaxAge(1000);
		announceNewer(sharing, 1300);
		expect(sharing.reliableUntil(own, true, 1400)).toBe(confirmedUntil - 500);
	});

	test('is reliable anew with each row that was fetched, also while readers always have newer ones', () => {
		const sharing = createConfirmed();
		sharing.reliableUntil(own, false, 1200);
		const fetched = {position: {epoch: 1, version: 6}, digest: 60};
		announceNewer(sharing, 2000);
		sharing.record('daemon-2', {
			table: 'servers', position: {epoch: 1, version: 7}, digest: 70, ageMs: 0,
		}, 2050);
		expect(sharing.reliableUntil(fetched, true, 2100)).toBe(2000 - announcementDelayMs + maxAgeMs);
	});

	test('is not reliable once a reader has newer rows that nobody fetches', () => {
		const sharing = createConfirmed();
		sharing.reliableUntil(own, false, 1200);
		announceNewer(sharing, 1300);
		expect(sharing.reliableUntil(own, false, 1400)).toBe(1400);
	});

	test('that was never confirmed is not reliable while its rows are fetched', () => {
		const sharing = new TableSharing(maxAgeMs);
		announceNewer(sharing, 1300);
		expect(sharing.reliableUntil(own, true, 1400)).toBeLessThanOrEqual(1400);
	});
});

test('readers of a zone of eight daemons read for many', () => {
	expect([2, 4, 7, 8, 20].map(daemons => readsForMany(daemons))).toEqual([false, false, false, true, true]);
});
