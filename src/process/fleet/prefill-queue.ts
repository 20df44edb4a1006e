/** A prompt that waits to be read. */
export type WaitingPrompt = {
	readonly id: string;
	/** Rank, 0 is the most urgent. */
	readonly priority: number;
	/** Tokens to be read, as estimated at arrival. */
	readonly tokens: number;
	/** Time by which the reading must have ended for the answer to be on time, in milliseconds. */
	readonly targetAt: number;
	/** Time after which nobody waits for the answer, in milliseconds. */
	readonly giveUpAt: number;
};

/** Predicts when a prompt would have been read if it were placed now, in milliseconds from now. */
export type Prediction = {
	readonly finishMs: number;
	/** Time before the upstream begins with the prompt. */
	readonly waitMs: number;
};

/** What becomes of a waiting prompt. */
export type QueueDecision = 'place' | 'wait' | 'giveUp';

/**
Prompts are placed only when an upstream would begin within this time, in milliseconds: work that waits here can still be
reordered or placed elsewhere, and this much at the upstream keeps it busy meanwhile.
*/
export const maxPlacementWaitMs = 100;

/** Late prompts wait behind all others at the upstream, so that more of them may wait there. */
export const maxLatePlacementWaitMs = 300;

/** Ranks of late prompts at the upstream begin here; those of prompts that can be on time are below. */
const firstLateRank = 5;
const maxRank = 9;

/** Rank of a prompt at the upstream: prompts that can still be on time go before all late ones. */
export function rankAtUpstream(priority: number, isLate: boolean): number {
	return isLate ? Math.min(maxRank, firstLateRank + priority) : Math.min(firstLateRank - 1, priority);
}

/** True when a prompt cannot be on time any more. */
export function isLatePrompt({targetAt}: WaitingPrompt, finishMs: number, now: number): boolean {
	return now + finishMs > targetAt;
}

/**
Orders waiting prompts: those that can still be on time before those that cannot, each by priority and then by deadline.

Answers the load in which prompts arrive faster than they are read: first come, first served makes all answers late, while
here the ones that are placed are on time, and those whose time has passed take what is left.
*/
export function orderPrompts(prompts: readonly WaitingPrompt[], now: number, fastestMs: number): readonly WaitingPrompt[] {
	const isLate = (prompt: WaitingPrompt) => isLatePrompt(prompt, fastestMs, now);
	return prompts.toSorted((a, b) => {
		const late = Number(isLate(a)) - Number(isLate(b));
		return late || a.priority - b.priority || (isLate(a) ? a.giveUpAt - b.giveUpAt : a.targetAt - b.targetAt);
	});
}

/**
Decides what becomes of a waiting prompt.

Answers the load in which some prompts cannot be on time: they go to the upstream behind the others, so that they take the time
that is left, and they are given up once nobody would wait for their answer.
*/
export function decidePlacement({giveUpAt}: WaitingPrompt, {finishMs, waitMs}: Prediction, isLate: boolean, now: number): QueueDecision {
	if (now + finishMs > giveUpAt) {
		return 'giveUp';
	}

	return waitMs <= (isLate ? maxLatePlacementWaitMs : maxPlacementWaitMs) ? 'place' : 'wait';
}

/** What is known of the load when a prompt arrives. */
export type QueueLoad = {
	/** Tokens that wait or are being read before the prompt, at all daemons and upstreams. */
	readonly tokensAhead: number;
	/** Tokens that all upstreams together read in a millisecond. */
	readonly tokensPerMs: number;
};

/** Time until a prompt that arrives now has been read, in milliseconds; a prompt is refused at once when nobody waits that long. */
export function predictCompletion(tokens: number, {tokensAhead, tokensPerMs}: QueueLoad, upstreamTokensPerMs: number, fixedMs: number): number {
	return (tokensAhead / Math.max(0.001, tokensPerMs)) + (tokens / Math.max(0.001, upstreamTokensPerMs)) + fixedMs;
}
