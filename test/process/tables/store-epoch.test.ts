import {describe, expect, test} from 'vitest';
import {StoreEpoch, type EpochChange} from '../../../src/process/tables/store-epoch.ts';

function createEpoch() {
	const epoch = new StoreEpoch();
	const changes: EpochChange[] = [];
	const unusable: string[] = [];
	epoch.listen({
		onRestored(change) {
			changes.push(change);
		},
		onUnusable(value) {
			unusable.push(value);
		},
	});
	return {epoch, changes, unusable};
}

describe('the epoch of the store', () => {
	test('is reported once for each restore, whichever call shows it first', () => {
		const {epoch, changes} = createEpoch();
		for (const value of ['3', '3', '4', '4', '6']) {
			epoch.observe(value);
		}

		expect(changes).toEqual([{before: 3, after: 4}, {before: 4, after: 6}]);
		expect([epoch.current, epoch.restores]).toEqual([6, 2]);
	});

	test('stays unknown with a store that names none', () => {
		const {epoch, changes, unusable} = createEpoch();
		expect([epoch.observe(undefined), epoch.current, changes, unusable]).toEqual([undefined, undefined, [], []]);
	});

	test.each(['', ' ', 'x', '-1', '1.5', '1e3', '0x10', '9007199254740993', '9'.repeat(400)])('ignores the value "%s", counts it and reports the first of a series', value => {
		const {epoch, changes, unusable} = createEpoch();
		epoch.observe('3');
		expect([epoch.observe(value), epoch.observe(value)]).toEqual([3, 3]);
		expect([epoch.current, epoch.unusable, unusable.length, changes]).toEqual([3, 2, 1, []]);
		epoch.observe('3');
		epoch.observe(value);
		expect(unusable.length).toBe(2);
	});

	test('counts one that goes back, and does not take it for a restore', () => {
		const {epoch, changes, unusable} = createEpoch();
		epoch.observe('3');
		expect(epoch.observe('2')).toBe(2);
		expect([epoch.current, epoch.unusable, unusable, changes]).toEqual([3, 1, ['2'], []]);
	});
});
