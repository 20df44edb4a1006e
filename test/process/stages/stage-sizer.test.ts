import {describe, expect, test} from 'vitest';
import {pressureDurationMs, StageSizer} from '../../../src/process/stages/stage-sizer.ts';

/** Simulates a load on engines that change their stage a few seconds after the order; returns the number of decode engines in each second. */
function simulate({total, decoders, slots, seconds, runs, backlogMs}: {
	readonly total: number;
	readonly decoders: number;
	readonly slots: number;
	readonly seconds: number;
	readonly runs: (second: number) => number;
	readonly backlogMs: (second: number) => number;
}): readonly number[] {
	const sizer = new StageSizer();
	const switchSeconds = 5;
	const wanted: number[] = [];
	const present: number[] = [];
	for (let second = 0; second < seconds; second += 1) {
		present.push(wanted[second - switchSeconds] ?? decoders);
		for (const now of [0, 250, 500, 750].map(ms => (second * 1000) + ms)) {
			wanted[second] = sizer.computeDecoders({runs: runs(second), slots, backlogMs: backlogMs(second)}, {total, decoders: present.at(-1)!}, now);
		}
	}

	return present;
}

function countChanges(numbers: readonly number[]): number {
	return numbers.filter((number, index) => index > 0 && number !== numbers[index - 1]).length;
}

describe('number of decode engines', () => {
	test('without load, is small for engines with many slots and larger for engines with few', () => {
		const idle = {runs: 0, backlogMs: 0};
		expect(new StageSizer().computeDecoders({...idle, slots: 128}, {total: 13, decoders: 8}, 0)).toBe(2);
		expect(new StageSizer().computeDecoders({...idle, slots: 24}, {total: 63, decoders: 41}, 0)).toBe(29);
	});

	test('grows with the number of runs when these fill the slots', () => {
		const present = simulate({
			total: 12, decoders: 3, slots: 128, seconds: 12, runs: () => 570, backlogMs: () => 0,
		});
		expect(present.at(-1)).toBe(7);
		expect(countChanges(present)).toBe(1);
	});

	test('does not follow every wave, because a change takes an engine out of service for seconds', () => {
		const present = simulate({
			total: 63, decoders: 20, slots: 24, seconds: 60, runs: second => 120 + (50 * Math.sin(second / 2)), backlogMs: second => 40 + (40 * Math.sin(second / 2)),
		});
		expect(countChanges(present)).toBeLessThanOrEqual(1);
	});

	test('falls if prompts wait and most slots are free', () => {
		const present = simulate({
			total: 63, decoders: 40, slots: 24, seconds: 30, runs: () => 100, backlogMs: () => 200,
		});
		expect(present.at(-1)).toBe(14);
		expect(countChanges(present)).toBe(1);
	});

	test('stays unchanged while no prompts wait', () => {
		const present = simulate({
			total: 63, decoders: 40, slots: 24, seconds: 30, runs: () => 100, backlogMs: () => 10,
		});
		expect(new Set(present)).toEqual(new Set([40]));
	});

	test('falls without waiting prompts if the number of engines is ordered by the load, but not on its first requests', () => {
		const sizer = new StageSizer();
		const compute = (now: number) => sizer.computeDecoders({
			runs: 20, slots: 64, backlogMs: 0, isElastic: true,
		}, {total: 40, decoders: 23}, now);
		expect(compute(0)).toBe(23);
		expect(compute(pressureDurationMs - 1)).toBe(23);
		expect(compute(pressureDurationMs)).toBe(1);
	});

	// Guards against engines with few slots that all decode while prompts wait for the last ones that prefill.
	test('leaves prefill its share when the runs would fill all engines with few slots', () => {
		const sizer = new StageSizer();
		let decoders = 18;
		for (let now = 0; now < 20_000; now += 250) {
			decoders = sizer.computeDecoders({
				runs: 110, slots: 12, backlogMs: 80, prefillEngines: 28 - decoders,
			}, {total: 28, decoders}, now);
		}

		expect(decoders).toBeGreaterThanOrEqual(10);
		expect(decoders).toBeLessThanOrEqual(18);
	});

	test('follows the runs alone while the engines suffice for both stages', () => {
		const demand = {runs: 570, slots: 128, backlogMs: 0};
		expect(new StageSizer().computeDecoders({...demand, prefillEngines: 1}, {total: 12, decoders: 3}, 0)).toBe(new StageSizer().computeDecoders(demand, {total: 12, decoders: 3}, 0));
	});
});
