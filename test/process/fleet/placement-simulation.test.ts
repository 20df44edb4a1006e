import {describe, expect, test} from 'vitest';
import {sampleCandidates} from '../../../src/process/fleet/candidate-sample.ts';
import {
	choosePrefill, chooseLeastLoaded, predictPrefill, prefillRate, type PrefillCandidate,
} from '../../../src/process/fleet/placement-score.ts';
import {
	isLatePrompt, decidePlacement, orderPrompts, predictCompletion, rankAtUpstream, type WaitingPrompt,
} from '../../../src/process/fleet/prefill-queue.ts';
import {PromptCache} from '../../../src/process/fleet/prompt-cache.ts';
import {SeededRandom} from '../../../src/process/random.ts';
import {createUpstream} from '../../fixtures/fleet/configuration.ts';

function createCandidate(values: Partial<PrefillCandidate> = {}): PrefillCandidate {
	return {
		id: 'u', backlogTokens: 0, missingTokens: 4000, cachedTokens: 0, fetchMs: 0, isLocal: true, latencyRatio: 1, rankLatencyRatio: 1, failureFraction: 0, ...values,
	};
}

describe('choice of a prefill engine', () => {
	test('prefers the engine with the cached prefix while its backlog is short', () => {
		const holder = createCandidate({
			id: 'holder', missingTokens: 4000, cachedTokens: 13_000, backlogTokens: 8000,
		});
		const idle = createCandidate({id: 'idle', missingTokens: 17_000});
		expect(choosePrefill([idle, holder], prefillRate)?.candidate.id).toBe('holder');
	});

	test('fetches the cached prefix to an idle engine once the backlog at its holder is long', () => {
		const holder = createCandidate({
			id: 'holder', missingTokens: 4000, cachedTokens: 13_000, backlogTokens: 60_000,
		});
		const idle = createCandidate({
			id: 'idle', missingTokens: 4000, cachedTokens: 13_000, fetchMs: 10,
		});
		expect(choosePrefill([holder, idle], prefillRate)?.candidate.id).toBe('idle');
	});

	test('avoids an engine that is slow or fails', () => {
		expect(choosePrefill([createCandidate({id: 'slow', latencyRatio: 4}), createCandidate({id: 'healthy', backlogTokens: 6000})], prefillRate)?.candidate.id).toBe('healthy');
		expect(choosePrefill([createCandidate({id: 'failing', failureFraction: 0.5}), createCandidate({id: 'healthy', backlogTokens: 6000})], prefillRate)?.candidate.id).toBe('healthy');
	});

	test('predicts a longer prefill for tokens far from the start of the prompt', () => {
		expect(predictPrefill(createCandidate({cachedTokens: 50_000}), prefillRate)).toBeGreaterThan(predictPrefill(createCandidate(), prefillRate));
	});
});

describe('choice of a decode engine', () => {
	const candidate = {
		runs: 0, slots: 128, isLocal: true, isInPromptZone: true, slowness: 1, failureFraction: 0,
	};

	test('distributes runs evenly over identical engines', () => {
		const runs = [0, 0, 0];
		const random = new SeededRandom(5);
		for (let count = 0; count < 30; count += 1) {
			const choice = chooseLeastLoaded(runs.map((taken, index) => ({...candidate, id: String(index), runs: taken})), random.next());
			runs[Number(choice!.id)]! += 1;
		}

		expect(runs).toEqual([10, 10, 10]);
	});

	test('stays in the own availability zone until its engine is considerably busier', () => {
		const local = {...candidate, id: 'local', runs: 8};
		const remote = {...candidate, id: 'remote', isLocal: false};
		expect(chooseLeastLoaded([local, remote], 0)?.id).toBe('local');
		expect(chooseLeastLoaded([{...local, runs: 40}, remote], 0)?.id).toBe('remote');
	});
});

/** Places a run every millisecond at a random daemon, where daemons learn of placements after a delay; returns the peak load of an engine. */
function simulateStalePeerLoad(isSampled: boolean): number {
	const random = new SeededRandom(8);
	const zones = ['a', 'b', 'c'];
	const states = Array.from({length: 30}, (_, index) => ({upstream: createUpstream({id: `u-${index}`, availabilityZone: zones[index % 3]!})}));
	const reportDelayMs = 60;
	const runMs = 300;
	const placed: Array<{readonly id: string; readonly at: number}> = [];
	let largest = 0;
	for (let now = 0; now < 3000; now += 1) {
		const zone = zones[random.integer(3)]!;
		const count = (id: string, delayMs: number) => placed.filter(run => run.id === id && run.at + runMs > now && run.at + delayMs <= now).length;
		const candidates = isSampled ? sampleCandidates(states, zone, random) : states;
		const choice = chooseLeastLoaded(candidates.map(({upstream: {id, availabilityZone}}) => ({
			id, runs: count(id, reportDelayMs), slots: 24, isLocal: availabilityZone === zone, isInPromptZone: true, slowness: 1, failureFraction: 0,
		})), random.next());
		placed.push({id: choice!.id, at: now});
		largest = Math.max(largest, count(choice!.id, 0));
	}

	return largest;
}

describe('choice among many engines with delayed load reports', () => {
	test('keeps every engine within its slots by sampling, while choosing among all of them overloads the best one', () => {
		expect(simulateStalePeerLoad(true)).toBeLessThanOrEqual(24);
		expect(simulateStalePeerLoad(false)).toBeGreaterThan(24);
	});
});

type Outcome = {readonly priority: number; readonly lateMs: number};

/** Simulates prompts that arrive faster than one engine can prefill them, in order of arrival or in the order of the queue. */
function simulateOverload(isQueued: boolean): readonly Outcome[] {
	const random = new SeededRandom(11);
	const targets = [800, 600, 400];
	const arrivals = Array.from({length: 600}, (_, index) => {
		const priority = index % 3;
		const at = index * 12;
		const tokens = 1000 + random.integer(3000);
		return {
			id: String(index), priority, tokens, at, targetAt: at + targets[priority]!, giveUpAt: at + 2000,
		};
	});
	const outcomes: Outcome[] = [];
	const waiting = new Set<WaitingPrompt & {readonly at: number}>();
	let next = 0;
	for (let now = 0; next < arrivals.length || waiting.size > 0;) {
		while (next < arrivals.length && arrivals[next]!.at <= now) {
			waiting.add(arrivals[next]!);
			next += 1;
		}

		const prompts = [...waiting];
		const [first] = isQueued ? orderPrompts(prompts, now, 20) : prompts;
		if (first === undefined) {
			now = arrivals[next]!.at;
			continue;
		}

		const prompt = first;
		waiting.delete(prompt);
		const finishMs = prompt.tokens / prefillRate.tokensPerMs;
		if (decidePlacement(prompt, {finishMs, waitMs: 0}, isLatePrompt(prompt, finishMs, now), now) === 'giveUp') {
			outcomes.push({priority: prompt.priority, lateMs: Number.POSITIVE_INFINITY});
			continue;
		}

		now += finishMs;
		outcomes.push({priority: prompt.priority, lateMs: now - prompt.targetAt});
	}

	return outcomes;
}

describe('prefill queue under overload', () => {
	const onTime = (outcomes: readonly Outcome[], priority?: number) =>
		outcomes.filter(outcome => outcome.lateMs <= 0 && (priority === undefined || outcome.priority === priority)).length;

	test('answers more than twice as many prompts on time as first come, first served', () => {
		expect(onTime(simulateOverload(true))).toBeGreaterThan(onTime(simulateOverload(false)) * 2);
	});

	test('serves no priority better than a more urgent one', () => {
		const outcomes = simulateOverload(true);
		expect(onTime(outcomes, 0)).toBeGreaterThanOrEqual(onTime(outcomes, 1));
		expect(onTime(outcomes, 1)).toBeGreaterThanOrEqual(onTime(outcomes, 2));
	});

	test('ranks late prompts behind all prompts that can be on time, whatever their priority', () => {
		const ranks = [0, 1, 2].map(priority => rankAtUpstream(priority, false));
		const late = [0, 1, 2].map(priority => rankAtUpstream(priority, true));
		expect(Math.max(...ranks)).toBeLessThan(Math.min(...late));
	});

	test('predicts the completion of a prompt behind the work ahead of it', () => {
		expect(predictCompletion(1570, {tokensAhead: 157_000, tokensPerMs: 785}, 157, 40)).toBeCloseTo(250);
	});
});

describe('shared prefixes in a fleet', () => {
	test('are prefilled again less than a third as often if daemons share what engines have cached', () => {
		const random = new SeededRandom(3);
		const play = (isShared: boolean) => {
			const truth = Array.from({length: 5}, () => new PromptCache(2_000_000));
			const views = Array.from({length: 4}, () => truth.map(() => new PromptCache(2_000_000)));
			let readAgain = 0;
			const read = new Set<number>();
			for (let count = 0; count < 2000; count += 1) {
				const part = random.integer(300);
				const parts = [{id: `part ${part}`, tokens: 13_000}, {id: `own ${count}`, tokens: 1000}];
				const view = views[count % views.length]!;
				const {candidate} = choosePrefill(view.map((cache, index) => createCandidate({
					id: String(index), missingTokens: cache.missingTokens(parts), backlogTokens: random.integer(4000),
				})), prefillRate)!;
				const index = Number(candidate.id);
				readAgain += read.has(part) && truth[index]!.missingTokens(parts) > 1000 ? 1 : 0;
				read.add(part);
				truth[index]!.touch(parts);
				for (const other of isShared ? views : [view]) {
					other[index]!.touch(parts);
				}
			}

			return readAgain;
		};

		expect(play(true)).toBeLessThan(play(false) / 3);
	});
});
