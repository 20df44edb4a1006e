import process from 'node:process';
import fc from 'fast-check';
import {expect, it} from 'vitest';
import {checkSchedules, drawFault, drawSchedule} from './schedules.ts';

const runs = Number(process.env.WAGTAILTACK_SCHEDULES ?? 800);

it('promises P1, P2 and P3 hold under each single fault, and every plan ends', {timeout: runs * 100}, async () => {
	await checkSchedules(drawSchedule(fc.array(drawFault(), {maxLength: 1})), runs);
	expect(runs).toBeGreaterThan(0);
});
