/** What is known of one upstream when a prompt is placed; times in milliseconds. */
export type PrefillCandidate = {
	readonly id: string;
	/** Tokens that must be read before this prompt. */
	readonly backlogTokens: number;
	/** Tokens of this prompt that are not kept there. */
	readonly missingTokens: number;
	/** Tokens of this prompt that are kept there. */
	readonly cachedTokens: number;
	/** Time to fetch cached parts from another upstream, included in the prediction. */
	readonly fetchMs: number;
	readonly isLocal: boolean;
	/** Time that work takes at this upstream relative to the usual. */
	readonly latencyRatio: number;
	/** Time that prompts of this rank take relative to their place in the backlog, since more urgent ones arrive meanwhile. */
	readonly rankLatencyRatio: number;
	readonly failureShare: number;
};

/** How fast engines of a service read prompts. */
export type PrefillRate = {
	/** Tokens a millisecond. */
	readonly tokensPerMs: number;
	/** Time of a prefill of any length. */
	readonly fixedMs: number;
};

/** Engines of the size that the deployments run; the pace of each engine corrects it from what is measured. */
export const prefillRate: PrefillRate = {tokensPerMs: 157, fixedMs: 40};

/** Attention makes a token cost twice as much at this distance from the start of its prompt. */
const attentionDoublingTokens = 58_000;
/** Preference for the own availability zone: a prompt that crosses zones takes a few milliseconds more and its bytes are paid for. */
const remoteZonePenaltyMs = 6;
/** A candidate that fails each request counts as this much slower. */
const failurePenaltyMs = 600;

/** Weighs a prompt in tokens of a short one: attention grows with the length. */
export function weighTokens(missingTokens: number, keptTokens: number): number {
	return missingTokens * (1 + ((keptTokens + (missingTokens / 2)) / attentionDoublingTokens));
}

/** Predicts the time to read a prompt at a candidate, in milliseconds. */
export function predictPrefill(candidate: PrefillCandidate, rate: PrefillRate): number {
	const own = weighTokens(candidate.missingTokens, candidate.cachedTokens);
	return (((candidate.backlogTokens + own) / rate.tokensPerMs) * candidate.latencyRatio * candidate.rankLatencyRatio) + rate.fixedMs + candidate.fetchMs;
}

/** The chosen candidate; times in milliseconds. */
export type PrefillChoice = {
	readonly candidate: PrefillCandidate;
	/** Until the prompt has been read. */
	readonly predictedMs: number;
	/** Until the upstream begins with it. */
	readonly waitMs: number;
};

/**
Chooses the upstream that will have read the prompt first.

Answers the load in which reading prompts binds and most prompts share long parts: an upstream that keeps the shared part wins
until its backlog outweighs reading or fetching the part elsewhere.
*/
export function choosePrefill(candidates: readonly PrefillCandidate[], rate: PrefillRate): PrefillChoice | undefined {
	let best: PrefillChoice & {readonly cost: number} | undefined;
	for (const candidate of candidates) {
		const predictedMs = predictPrefill(candidate, rate);
		const cost = predictedMs + (candidate.isLocal ? 0 : remoteZonePenaltyMs) + (candidate.failureShare * failurePenaltyMs);
		if (best === undefined || cost < best.cost) {
			best = {
				candidate, predictedMs, waitMs: (candidate.backlogTokens / rate.tokensPerMs) * candidate.latencyRatio, cost,
			};
		}
	}

	return best;
}

/** What is known of one upstream when a run is placed. */
export type RunCandidate = {
	readonly id: string;
	/** Requests that run or wait there. */
	readonly runs: number;
	readonly slots: number;
	readonly isLocal: boolean;
	/** True when the prompt was read in the same availability zone. */
	readonly isNearPrompt: boolean;
	readonly slowness: number;
	readonly failureShare: number;
};

const remoteZonePenaltyLoad = 0.1;
const remotePromptPenaltyLoad = 0.05;
const failurePenaltyLoad = 2;

/** Chooses the upstream with the smallest share of its slots taken, weighed by how slow it is; `draw` from 0 to 1 breaks ties. */
export function chooseLeastLoaded(candidates: readonly RunCandidate[], draw: number): RunCandidate | undefined {
	let best: RunCandidate | undefined;
	let bestCost = Number.POSITIVE_INFINITY;
	const first = Math.floor(draw * candidates.length);
	for (let index = 0; index < candidates.length; index += 1) {
		const candidate = candidates[(first + index) % candidates.length]!;
		const load = ((candidate.runs + 1) / Math.max(1, candidate.slots)) * candidate.slowness;
		const cost = load + (candidate.isLocal ? 0 : remoteZonePenaltyLoad) + (candidate.isNearPrompt ? 0 : remotePromptPenaltyLoad) + (candidate.failureShare * failurePenaltyLoad);
		if (cost < bestCost) {
			best = candidate;
			bestCost = cost;
		}
	}

	return best;
}
