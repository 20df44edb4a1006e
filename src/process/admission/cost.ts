/** Time to process a prompt token, relative to the time to generate a token. */
const promptTokenWeight = 0.06;
/** Number of prompt tokens whose prefill takes as much capacity as one request in decode. */
const promptTokensPerSlot = 250;
/** Cost above which a request counts as long work, as a multiple of the typical cost. */
const longWorkCostRatio = 10;

/** Returns the cost of a request that counts against its customer's share, in generated tokens. */
export function tokenCost(promptTokens: number, outputTokens: number): number {
	return (promptTokens * promptTokenWeight) + outputTokens;
}

/** Returns the number of slots that a request uses until its first token. */
export function slotCost(promptTokens: number): number {
	return 1 + (promptTokens / promptTokensPerSlot);
}

/** Returns true if a request costs so much more than a typical one that short work must not wait for it; both costs in tokens. */
export function isLongWork(tokens: number, typicalTokens: number): boolean {
	return tokens > typicalTokens * longWorkCostRatio;
}
