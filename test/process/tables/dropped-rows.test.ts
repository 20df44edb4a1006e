import {describe, expect, test} from 'vitest';
import {DroppedRows, droppedRowLogIntervalMs} from '../../../src/process/tables/dropped-rows.ts';

describe('dropped rows', () => {
	test('are all counted, and each is logged once in an interval, so that an entry that stays does not fill the log', () => {
		let now = 0;
		const dropped = new DroppedRows({now: () => now});
		expect(dropped.drop('a')).toBe(1);
		expect(dropped.drop('a')).toBeUndefined();
		expect(dropped.drop('b')).toBe(1);
		now = droppedRowLogIntervalMs;
		expect(dropped.drop('a')).toBe(2);
		expect(dropped.total).toBe(4);
	});

	test('with ever new keys are logged at a bounded rate', () => {
		let now = 0;
		const dropped = new DroppedRows({now: () => now});
		const drop = (prefix: string) => Array.from({length: 2000}, (_, index) => dropped.drop(`${prefix}-${index}`)).filter(count => count !== undefined).length;
		expect(drop('a')).toBe(500);
		expect(drop('b')).toBe(0);
		now = droppedRowLogIntervalMs;
		expect(drop('c')).toBe(500);
		expect(dropped.total).toBe(6000);
	});
});
