/** State of the engines that a split would use. */
export type SplitInput = {
	readonly promptTokens: number;
	/** Expected time until the prompt is processed by a prefill engine, queue included, in milliseconds. */
	readonly prefillWaitMs: number;
	/** Time to export and import the KV cache, in milliseconds. */
	readonly transferMs: number;
	/** Expected time until the prompt is processed by a decode engine, queue included, in milliseconds. */
	readonly wholeWaitMs: number;
};

/** Prompt that an engine in the decode role processes in one step beside its streams. */
const maxUnsplitPromptTokens = 128;
/** Advantage that a whole answer on a decode engine must have, as it slows the streams there. */
const unsplitPenaltyMs = 100;

/** True when the prompt is better processed by a prefill engine, with the KV cache moved to a decode engine. */
export function isSplitBetter({promptTokens, prefillWaitMs, transferMs, wholeWaitMs}: SplitInput): boolean {
	return promptTokens > maxUnsplitPromptTokens && prefillWaitMs + transferMs <= wholeWaitMs + unsplitPenaltyMs;
}
