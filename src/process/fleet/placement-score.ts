/** State of one upstream when a prefill is placed; times in milliseconds. */
export type PrefillCandidate = {
	readonly id: string;
	/** Weighted tokens queued ahead of this prompt. */
	readonly backlogTokens: number;
	/** Expected weighted tokens that other daemons have sent but not yet reported. */
	readonly unreportedTokens?: number;
	/** Prompt tokens that are not in the upstream's cache. */
	readonly missingTokens: number;
	/** Prompt tokens that are in the upstream's cache. */
	readonly cachedTokens: number;
	/** Time to fetch cached prompt parts from another upstream; added to the predicted latency. */
	readonly fetchMs: number;
	readonly isLocal: boolean;
	/** Measured latency of this upstream, relative to the model. */
	readonly latencyRatio: number;
	/** Measured latency of prompts of this rank, relative to the model; above 1 when more urgent prompts overtake them. */
	readonly rankLatencyRatio: number;
	/** Fraction of recent sends that failed, from 0 to 1. */
	readonly failureFraction: number;
};

/** Prefill speed of the engines of a service. */
export type PrefillRate = {
	/** Tokens per millisecond. */
	readonly tokensPerMs: number;
	/** Overhead of each prefill, whatever its length, in milliseconds. */
	readonly fixedMs: number;
};

/** Speed of an engine of the size used in the deployments; the measured latency ratio of each engine corrects it. */
export const prefillRate: PrefillRate = {tokensPerMs: 157, fixedMs: 40};

/** Distance from the start of the prompt at which attention doubles the cost of a token. */
const attentionDoublingTokens = 58_000;
/** Penalty for another availability zone: crossing zones adds a few milliseconds, and the traffic is billed. */
const remoteZonePenaltyMs = 6;
/** Penalty for a candidate that fails every request, in milliseconds; scaled by its failure fraction. */
const failurePenaltyMs = 600;

/** Converts prompt tokens to equivalent tokens of a short prompt, because attention costs more per token the longer the prompt is. */
export function weighTokens(missingTokens: number, keptTokens: number): number {
	return missingTokens * (1 + ((keptTokens + (missingTokens / 2)) / attentionDoublingTokens));
}

/** Predicts when a candidate would have completed the prefill, in milliseconds from now. */
export function predictPrefill(candidate: PrefillCandidate, rate: PrefillRate): number {
	const weightedTokens = weighTokens(candidate.missingTokens, candidate.cachedTokens);
	return (((candidate.backlogTokens + (candidate.unreportedTokens ?? 0) + weightedTokens) / rate.tokensPerMs) * candidate.latencyRatio * candidate.rankLatencyRatio) + rate.fixedMs + candidate.fetchMs;
}

/** Chosen candidate with its prediction; times in milliseconds. */
export type PrefillChoice = {
	readonly candidate: PrefillCandidate;
	/** Time until the prefill is complete. */
	readonly predictedMs: number;
	/** Time until the upstream starts the prefill. */
	readonly waitMs: number;
};

/**
Chooses the upstream that is predicted to complete the prefill first.

Suits a load that is limited by prefill and in which most prompts share long prefixes: an upstream that has the prefix cached
wins until its backlog costs more than prefilling or fetching the prefix elsewhere.
*/
export function choosePrefill(candidates: readonly PrefillCandidate[], rate: PrefillRate): PrefillChoice | undefined {
	let best: PrefillChoice & {readonly cost: number} | undefined;
	for (const candidate of candidates) {
		const predictedMs = predictPrefill(candidate, rate);
		const cost = predictedMs + (candidate.isLocal ? 0 : remoteZonePenaltyMs) + (candidate.failureFraction * failurePenaltyMs);
		if (best === undefined || cost < best.cost) {
			best = {
				candidate, predictedMs, waitMs: (candidate.backlogTokens / rate.tokensPerMs) * candidate.latencyRatio, cost,
			};
		}
	}

	return best;
}

/** State of one upstream when a decode or a request of a plain service is placed. */
export type RunCandidate = {
	readonly id: string;
	/** Requests that run or wait at the upstream. */
	readonly runs: number;
	readonly slots: number;
	readonly isLocal: boolean;
	/** True when the prefill ran in the same availability zone. */
	readonly isInPromptZone: boolean;
	/** Reported slowdown of the upstream's host and its learned decode speed; 1 is normal. */
	readonly slowness: number;
	/** Risk that the answer misses its target for the gap between events. */
	readonly gapRisk?: number;
	/** Fraction of recent sends that failed, from 0 to 1. */
	readonly failureFraction: number;
};

const remoteZonePenaltyLoad = 0.1;
const remotePromptPenaltyLoad = 0.05;
const failurePenaltyLoad = 2;
const gapPenaltyLoad = 1;
/** Slot utilisation from which runs may wait for a slot, because other daemons' latest sends are not known yet. */
const nearlyFullShare = 0.8;
/** Penalty for the utilisation beyond that share. */
const fullPenaltyLoad = 2;

/** Chooses the upstream with the lowest slot utilisation, scaled by its slowdown; `draw` is a random number below 1 that breaks ties. */
export function chooseLeastLoaded(candidates: readonly RunCandidate[], draw: number): RunCandidate | undefined {
	let best: RunCandidate | undefined;
	let bestCost = Number.POSITIVE_INFINITY;
	const first = Math.floor(draw * candidates.length);
	for (let index = 0; index < candidates.length; index += 1) {
		const candidate = candidates[(first + index) % candidates.length]!;
		const utilisation = (candidate.runs + 1) / Math.max(1, candidate.slots);
		const load = (utilisation * candidate.slowness) + (Math.max(0, utilisation - nearlyFullShare) * fullPenaltyLoad);
		const cost = load + (candidate.isLocal ? 0 : remoteZonePenaltyLoad) + (candidate.isInPromptZone ? 0 : remotePromptPenaltyLoad) + (candidate.failureFraction * failurePenaltyLoad)
			+ ((candidate.gapRisk ?? 0) * gapPenaltyLoad);
		if (cost < bestCost) {
			best = candidate;
			bestCost = cost;
		}
	}

	return best;
}
