import {expect, test} from 'vitest';
import {measurePrefillSpeed, RankLatencyRatios} from '../../../src/process/fleet/latency-ratio.ts';
import {prefillRate} from '../../../src/process/fleet/placement-score.ts';
import {UpstreamState} from '../../../src/process/fleet/upstream-state.ts';
import {createUpstream} from '../../fixtures/fleet/configuration.ts';

/** Lets an engine take this many times as long as predicted for a prompt. */
function createEngine(id: string, factor: number): UpstreamState {
	const state = new UpstreamState(createUpstream({id, stage: 'prefill'}), 1000);
	for (let count = 0; count < (factor === 1 ? 0 : 40); count += 1) {
		const predictedMs = 100 * state.latencyRatio;
		state.beginPrefill(1000, 0, predictedMs)({kind: 'served', elapsedMs: 100 * factor, load: undefined}, count);
	}

	return state;
}

test('the speed is that of the engines that were used, so that unused ones do not hide slow ones', () => {
	const engines = [createEngine('u-1', 3), createEngine('u-2', 3), createEngine('u-3', 1), createEngine('u-4', 1)];
	expect(measurePrefillSpeed(engines, 1)).toBeCloseTo(prefillRate.tokensPerMs / 3, 0);
	expect(measurePrefillSpeed([], 1)).toBe(prefillRate.tokensPerMs);
});

test('the mean ratio is that of most prompts, not of a rank that was seen once', () => {
	const ratios = new RankLatencyRatios();
	expect(ratios.mean).toBe(1);
	for (let count = 0; count < 40; count += 1) {
		ratios.observe(0, 300, 100 * ratios.of(0));
	}

	ratios.observe(7, 100, 100);
	expect(ratios.mean).toBeGreaterThan(2.9);
});
