import {describe, expect, test} from 'vitest';
import {chooseWhole, defaultWholeModel, type WholeCandidate} from '../../../src/process/fleet/prompt-path.ts';
import {prefillRate, weighTokens} from '../../../src/process/fleet/placement-score.ts';
import {SeededRandom} from '../../../src/process/random.ts';

function createCandidate(values: Partial<WholeCandidate> = {}): WholeCandidate {
	return {
		id: 'u', runs: 0, slots: 64, backlogTokens: 0, missingTokens: 400, cachedTokens: 0, isLocal: true, latencyRatio: 1, failureFraction: 0, ...values,
	};
}

describe('choice of a decode engine for a whole request', () => {
	test('prefers the engine that would send the first event first', () => {
		expect(chooseWhole([createCandidate({id: 'busy', backlogTokens: 3000}), createCandidate({id: 'idle'})], prefillRate)?.candidate.id).toBe('idle');
		expect(chooseWhole([createCandidate({id: 'slow', latencyRatio: 4, missingTokens: 800}), createCandidate({id: 'other', isLocal: false, missingTokens: 800})], prefillRate)?.candidate.id).toBe('other');
		expect(chooseWhole([createCandidate({id: 'failing', failureFraction: 0.5}), createCandidate({id: 'sound', backlogTokens: 2000})], prefillRate)?.candidate.id).toBe('sound');
	});

	// Guards against decode engines that read long shared parts again, because the estimate of their caches was wrong.
	test('takes no long prompt, even if most of it should be cached', () => {
		expect(chooseWhole([createCandidate({missingTokens: 17_000})], prefillRate)).toBeUndefined();
		expect(chooseWhole([createCandidate({missingTokens: 400, cachedTokens: 16_600})], prefillRate)).toBeUndefined();
	});

	test('takes no request when the engines prefill enough already or few slots are free', () => {
		expect(chooseWhole([createCandidate({backlogTokens: 20_000})], prefillRate)).toBeUndefined();
		expect(chooseWhole([createCandidate({runs: 50})], prefillRate)).toBeUndefined();
	});
});

describe('choice of a decode engine when a prefill apart would be late', () => {
	test('takes a long prompt at an engine with few runs within the longer bound, but not at a busy one', () => {
		const model = {...defaultWholeModel, maxPrefillMs: 400, maxBacklogMs: 400};
		const long = {missingTokens: 17_000, slots: 12};
		expect(chooseWhole([createCandidate({...long, id: 'busy', runs: 7}), createCandidate({...long, id: 'idle', isLocal: false})], prefillRate, model)?.candidate.id).toBe('idle');
		expect(chooseWhole([createCandidate({...long, runs: 9})], prefillRate, model)).toBeUndefined();
		expect(chooseWhole([createCandidate({...long, latencyRatio: 2})], prefillRate, model)).toBeUndefined();
	});
});

type Way = 'apart' | 'chosen';

/**
Plays short and long prompts on four engines that prefill and four that decode; returns the share of short prompts whose first
event comes within the target and the mean time of the long ones, in milliseconds.
*/
function simulateMix(way: Way, seed: number): {readonly shortOnTime: number; readonly longMs: number} {
	const random = new SeededRandom(seed);
	const targetMs = 400;
	const transferMs = 60;
	const prefillFreeAt = [0, 0, 0, 0];
	const decodeFreeAt = [0, 0, 0, 0];
	let short = 0;
	let shortOnTime = 0;
	let long = 0;
	let longMs = 0;
	// Engines of a third of the nominal speed, with long prompts that fill the prefill engines to nine tenths.
	const rate = {...prefillRate, tokensPerMs: 61};
	for (let now = 0; now < 60_000; now += 10) {
		const isLong = random.next() < 0.13;
		const tokens = isLong ? 17_000 : 300;
		const engine = prefillFreeAt.indexOf(Math.min(...prefillFreeAt));
		const apartMs = Math.max(0, prefillFreeAt[engine]! - now) + (weighTokens(tokens, 0) / rate.tokensPerMs) + rate.fixedMs + transferMs;
		const choice = chooseWhole(decodeFreeAt.map((freeAt, index) => createCandidate({
			id: String(index), missingTokens: tokens, backlogTokens: Math.max(0, freeAt - now) * rate.tokensPerMs / 2,
		})), rate);
		let firstEventMs = apartMs;
		if (way === 'chosen' && choice !== undefined && choice.predictedMs <= apartMs) {
			firstEventMs = choice.predictedMs;
			const index = Number(choice.candidate.id);
			decodeFreeAt[index] = Math.max(now, decodeFreeAt[index]!) + (tokens / (rate.tokensPerMs / 2));
		} else {
			prefillFreeAt[engine] = now + apartMs - transferMs;
		}

		if (isLong) {
			long += 1;
			longMs += firstEventMs;
		} else {
			short += 1;
			shortOnTime += firstEventMs <= targetMs ? 1 : 0;
		}
	}

	return {shortOnTime: shortOnTime / short, longMs: longMs / long};
}

describe('many short prompts beside few long ones', () => {
	test.each([1, 2, 3])('are answered in time at decode engines, and the long ones sooner than with all prompts apart (seed %i)', seed => {
		const apart = simulateMix('apart', seed);
		const chosen = simulateMix('chosen', seed);
		expect(chosen.shortOnTime).toBeGreaterThan(0.95);
		expect(chosen.shortOnTime).toBeGreaterThan(apart.shortOnTime);
		expect(chosen.longMs).toBeLessThan(apart.longMs);
	});
});
