import {describe, expect, it} from 'vitest';
import {SeededRandom} from '../../../src/process/random.ts';
import {RolePlanner, type PlannedEngine} from '../../../src/process/roles/role-planner.ts';
import {isSplitBetter} from '../../../src/process/roles/prefill-split.ts';

describe('the role planner', () => {
	// Guards against a permanent lack of engines in one role.
	it('moves one engine at a time towards the role that lacks capacity', () => {
		const planner = createPlanner();
		feed(planner, 0, 10_000, () => ({prompt: 100, output: 1}));
		expect(planner.plan(10_000, createEngines(1))).toMatchObject([{role: 'prefill'}]);
		expect(planner.plan(10_001, createEngines(2, 1))).toEqual([]);
	});

	// Guards against role changes caused by noise in a demand that the current roles can serve.
	it('makes no change because of noise', () => {
		const planner = createPlanner();
		const random = new SeededRandom(8);
		let changes = 0;
		for (let now = 0; now < 120_000; now += 1000) {
			feed(planner, now, now + 1000, () => ({prompt: 30 * (0.5 + random.next()), output: 2.5 * (0.5 + random.next())}));
			changes += planner.plan(now + 1000, createEngines(3)).length;
		}

		expect(changes).toBe(0);
	});

	// Guards against too many engines being out of service at the same time.
	it('respects the limit on engines that are out of service', () => {
		const planner = createPlanner();
		feed(planner, 0, 10_000, () => ({prompt: 100, output: 1}));
		expect(planner.plan(10_000, createEngines(1, 3))).toEqual([]);
	});

	// Guards against a change that loses more work while an engine is out of service than it gains afterwards.
	it('makes no change that does not pay back', () => {
		const planner = createPlanner({horizonMs: 1000});
		feed(planner, 0, 10_000, () => ({prompt: 70, output: 8}));
		expect(planner.plan(10_000, createEngines(3))).toEqual([]);
	});
});

describe('the choice of a split', () => {
	// Guards against transfers that cost more than they save, and against prompts that stall the streams of decode engines.
	it.each([
		[{
			promptTokens: 50, prefillWaitMs: 0, transferMs: 2, unsplitWaitMs: 500,
		}, false],
		[{
			promptTokens: 2000, prefillWaitMs: 100, transferMs: 4, unsplitWaitMs: 150,
		}, true],
		[{
			promptTokens: 2000, prefillWaitMs: 2000, transferMs: 4, unsplitWaitMs: 150,
		}, false],
	])('for %o: %s', (input, expected) => {
		expect(isSplitBetter(input)).toBe(expected);
	});
});

function createPlanner(change: {readonly horizonMs?: number} = {}): RolePlanner {
	return new RolePlanner({
		availabilityZone: 'z', prefillTokensPerMs: 20, decodeTokensPerMs: 1.5, changeMs: 8000, ...change,
	});
}

function createEngines(prefill: number, away = 0): readonly PlannedEngine[] {
	return Array.from({length: 8}, (_, index) => ({
		id: `e${index}`, availabilityZone: 'z', role: index < prefill ? 'prefill' as const : 'decode' as const, isAway: index < away,
	}));
}

function feed(planner: RolePlanner, from: number, to: number, perMs: () => {readonly prompt: number; readonly output: number}): void {
	for (let now = from; now < to; now += 100) {
		const {prompt, output} = perMs();
		planner.recordDemand(now, prompt * 100, output * 100);
	}
}
