import {weighTokens, type PrefillRate} from './placement-score.ts';

/** State of a decode engine when a whole request is placed there; times in milliseconds. */
export type WholeCandidate = {
	readonly id: string;
	/** Requests that run or wait at the engine. */
	readonly runs: number;
	readonly slots: number;
	/** Weighted prompt tokens that the engine prefills before this prompt. */
	readonly backlogTokens: number;
	/** Prompt tokens that are not in the engine's cache. */
	readonly missingTokens: number;
	/** Prompt tokens that are in the engine's cache. */
	readonly cachedTokens: number;
	readonly isLocal: boolean;
	/** Risk that the answer misses its target for the gap between events. */
	readonly gapRisk?: number;
	/** Measured time to the first event at this engine, relative to the prediction. */
	readonly latencyRatio: number;
	/** Fraction of recent sends that failed, from 0 to 1. */
	readonly failureFraction: number;
};

/** Chosen decode engine; times in milliseconds from now. */
export type WholeChoice = {
	readonly candidate: WholeCandidate;
	/** Time until the first event. */
	readonly predictedMs: number;
	/** The same with the delay that the prefill puts on the engine's running requests, to compare with other ways. */
	readonly costMs: number;
	readonly weightedTokens: number;
};

/** Speed of decode engines, and the bounds on what they prefill. */
export type WholeModel = {
	/** Prefill speed of a decode engine relative to that of a prefill engine: it prefills between the tokens of its running requests. */
	readonly prefillSpeed: number;
	/** Time of the first step after the prefill, in milliseconds. */
	readonly firstStepMs: number;
	/** Longest prefill of one prompt at a decode engine with an empty cache, in milliseconds; longer ones slow its running requests down for too long. */
	readonly maxPrefillMs: number;
	/** Longest prefill backlog of a decode engine with which it takes another prompt, in milliseconds. */
	readonly maxBacklogMs: number;
};

/** Model of a common decode engine, until its speed has been learned. */
export const defaultWholeModel: WholeModel = {
	prefillSpeed: 0.5, firstStepMs: 30, maxPrefillMs: 80, maxBacklogMs: 80,
};

/** Largest share of an engine's slots in use with which it takes a whole request; the rest is for requests whose prompts other engines have prefilled. */
const maxSlotShare = 0.7;
/** Share of an engine's running requests whose callers notice the delay by a prefill: those that wait for their first event. */
const delayedRunShare = 0.1;
const remoteZonePenaltyMs = 6;
const failurePenaltyMs = 600;
const gapPenaltyMs = 200;

/**
Chooses the decode engine that would send the first event of a whole request first; undefined if none takes it.

Suits a mix of many short and few long prompts: a short prompt costs a decode engine a few milliseconds, while at a prefill
engine it would wait behind long prompts and pay for a transfer. With many running requests on the decode engines, their delay
outweighs that, unless the prefill engines have a backlog.
*/
export function chooseWhole(candidates: readonly WholeCandidate[], rate: PrefillRate, {prefillSpeed, firstStepMs, maxPrefillMs, maxBacklogMs} = defaultWholeModel): WholeChoice | undefined {
	const tokensPerMs = rate.tokensPerMs * prefillSpeed;
	let best: WholeChoice | undefined;
	for (const candidate of candidates) {
		const weightedTokens = weighTokens(candidate.missingTokens, candidate.cachedTokens);
		const prefillMs = (weightedTokens / tokensPerMs) * candidate.latencyRatio;
		const backlogMs = (candidate.backlogTokens / tokensPerMs) * candidate.latencyRatio;
		// The estimate of the cache may be wrong: a decode engine's cache turns over within seconds. So the bound counts the whole prompt.
		const longestPrefillMs = (weighTokens(candidate.missingTokens + candidate.cachedTokens, 0) / tokensPerMs) * candidate.latencyRatio;
		if (longestPrefillMs > maxPrefillMs || backlogMs > maxBacklogMs || candidate.runs + 1 > candidate.slots * maxSlotShare) {
			continue;
		}

		const predictedMs = backlogMs + prefillMs + firstStepMs;
		const delayMs = prefillMs * candidate.runs * delayedRunShare;
		const costMs = predictedMs + delayMs + (candidate.isLocal ? 0 : remoteZonePenaltyMs) + (candidate.failureFraction * failurePenaltyMs) + ((candidate.gapRisk ?? 0) * gapPenaltyMs);
		if (best === undefined || costMs < best.costMs) {
			best = {
				candidate, predictedMs, costMs, weightedTokens,
			};
		}
	}

	return best;
}
