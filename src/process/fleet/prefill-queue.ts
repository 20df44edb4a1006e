/** A prompt that waits for its prefill. */
export type WaitingPrompt = {
	readonly id: string;
	/** Priority of the route; 0 is the most urgent. */
	readonly priority: number;
	/** Weighted tokens to prefill, as estimated at arrival. */
	readonly tokens: number;
	/** Time by which the prefill must be complete for the answer to meet its target latency, in milliseconds. */
	readonly targetAt: number;
	/** Time after which the prefill would be wasted because the caller has given up, in milliseconds. */
	readonly giveUpAt: number;
};

/** Prediction for a prompt that is placed now, in milliseconds from now. */
export type Prediction = {
	/** Time until the prefill is complete. */
	readonly finishMs: number;
	/** Time until the upstream starts the prefill. */
	readonly waitMs: number;
};

/** Decision about a waiting prompt. */
export type QueueDecision = 'place' | 'wait' | 'giveUp';

/**
Longest predicted wait at the upstream with which a prompt is placed, in milliseconds. A prompt that waits at the daemon can
still be reordered or sent to another upstream; a backlog of this length keeps the upstream busy in the meantime.
*/
export const maxPlacementWaitMs = 100;

/** The same for late prompts, in milliseconds; longer because they queue behind all others at the upstream. */
export const maxLatePlacementWaitMs = 300;

/** First rank of late prompts at the upstream; prompts that can be on time have lower ranks. */
const firstLateRank = 5;
const maxRank = 9;

/** Rank of a prompt in the upstream's queue: prompts that can still be on time precede all late ones. */
export function rankAtUpstream(priority: number, isLate: boolean): number {
	return isLate ? Math.min(maxRank, firstLateRank + priority) : Math.min(firstLateRank - 1, priority);
}

/** True for the ranks of prompts that can still be on time. */
export function isOnTimeRank(rank: number): boolean {
	return rank < firstLateRank;
}

/** True when a prompt whose prefill completes after `finishMs` misses its target latency. */
export function isLatePrompt({targetAt}: WaitingPrompt, finishMs: number, now: number): boolean {
	return now + finishMs > targetAt;
}

/**
Orders waiting prompts: those that can still be on time before those that cannot, each by priority and then by deadline.

Under overload, first come, first served makes every answer late. With this order, the prompts that are placed first are on
time, and late prompts get the remaining capacity.
*/
export function orderPrompts(prompts: readonly WaitingPrompt[], now: number, fastestMs: number): readonly WaitingPrompt[] {
	const isLate = (prompt: WaitingPrompt) => isLatePrompt(prompt, fastestMs, now);
	return prompts.toSorted((a, b) => {
		const late = Number(isLate(a)) - Number(isLate(b));
		return late || a.priority - b.priority || (isLate(a) ? a.giveUpAt - b.giveUpAt : a.targetAt - b.targetAt);
	});
}

/**
Decides whether a waiting prompt is placed, keeps waiting or is given up.

Late prompts are placed behind the others at the upstream, so that they use only the remaining capacity. They are given up
once the caller would no longer wait for the answer.
*/
export function decidePlacement({giveUpAt}: WaitingPrompt, {finishMs, waitMs}: Prediction, isLate: boolean, now: number): QueueDecision {
	if (now + finishMs > giveUpAt) {
		return 'giveUp';
	}

	return waitMs <= (isLate ? maxLatePlacementWaitMs : maxPlacementWaitMs) ? 'place' : 'wait';
}

/** Load ahead of a prompt at its arrival. */
export type QueueLoad = {
	/** Weighted tokens ahead of the prompt, queued or in prefill, at all daemons and upstreams. */
	readonly tokensAhead: number;
	/** Prefill throughput of all upstreams together, in tokens per millisecond. */
	readonly tokensPerMs: number;
};

/** Predicts the time until the prefill of a prompt that arrives now is complete, in milliseconds; if no caller waits that long, the prompt is refused on arrival. */
export function predictCompletion(tokens: number, {tokensAhead, tokensPerMs}: QueueLoad, upstreamTokensPerMs: number, fixedMs: number): number {
	return (tokensAhead / Math.max(0.001, tokensPerMs)) + (tokens / Math.max(0.001, upstreamTokensPerMs)) + fixedMs;
}
