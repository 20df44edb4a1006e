/** Expected latencies with and without a split into prefill and decode on separate engines. */
export type SplitInput = {
	readonly promptTokens: number;
	/** Expected time until a prefill engine has processed the prompt, including the queue, in milliseconds. */
	readonly prefillWaitMs: number;
	/** Time to export the KV cache and import it on the decode engine, in milliseconds. */
	readonly transferMs: number;
	/** Expected time until a decode engine has processed the prompt itself, including the queue, in milliseconds. */
	readonly unsplitWaitMs: number;
};

/** Longest prompt that a decode engine processes in a single step alongside its streams. */
const maxUnsplitPromptTokens = 128;
/** Advantage in milliseconds that an unsplit request must have, because its prefill slows the other streams of the decode engine. */
const unsplitPenaltyMs = 100;

/** True if a prefill engine should process the prompt and transfer the KV cache to a decode engine. */
export function isSplitBetter({promptTokens, prefillWaitMs, transferMs, unsplitWaitMs}: SplitInput): boolean {
	return promptTokens > maxUnsplitPromptTokens && prefillWaitMs + transferMs <= unsplitWaitMs + unsplitPenaltyMs;
}
