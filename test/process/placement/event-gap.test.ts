import {describe, expect, test} from 'vitest';
import {chooseLeastLoaded} from '../../../src/process/fleet/placement-score.ts';
import {assessGapRisk} from '../../../src/process/placement/event-gap.ts';

const targetGapMs = 150;

function createCandidate(id: string, {runs, slowness, prefillMs = 0}: {readonly runs: number; readonly slowness: number; readonly prefillMs?: number}) {
	return {
		id, runs, slots: 12, isLocal: true, isInPromptZone: true, failureFraction: 0, slowness, gapRisk: assessGapRisk({eventMs: 65, prefillMs, slowness}, targetGapMs),
	};
}

describe('an engine with few slots', () => {
	// Guards against a fast engine that gets more answers than it has slots, because its load counts for less.
	test('gets no more answers than it has slots while slower engines have free ones', () => {
		const runs = [0, 0, 0];
		for (let count = 0; count < 30; count += 1) {
			const choice = chooseLeastLoaded(runs.map((taken, index) => createCandidate(String(index), {runs: taken, slowness: [0.5, 1, 1][index]!})), 0);
			runs[Number(choice!.id)]! += 1;
		}

		expect(Math.max(...runs)).toBeLessThanOrEqual(12);
		expect(runs[0]).toBeGreaterThan(runs[1]!);
	});
});

describe('gaps between events', () => {
	test('keep answers from a slow engine while others of usual speed have free slots', () => {
		expect(chooseLeastLoaded([createCandidate('slow', {runs: 0, slowness: 1.6}), createCandidate('usual', {runs: 3, slowness: 1})], 0)?.id).toBe('usual');
		expect(chooseLeastLoaded([createCandidate('slow', {runs: 0, slowness: 1.6}), createCandidate('usual', {runs: 11, slowness: 1})], 0)?.id).toBe('slow');
	});

	test('keep answers from an engine that prefills a long prompt', () => {
		expect(chooseLeastLoaded([createCandidate('prefilling', {runs: 2, slowness: 1, prefillMs: 300}), createCandidate('free', {runs: 4, slowness: 1})], 0)?.id).toBe('free');
	});

	test('are no concern of routes without a target', () => {
		expect(assessGapRisk({eventMs: 500, prefillMs: 500, slowness: 4}, undefined)).toBe(0);
	});
});
