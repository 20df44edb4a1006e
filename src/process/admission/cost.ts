/** Time of a prompt token relative to the time of a generated token. */
const promptTokenWeight = 0.06;
/** Prompt tokens that take as much room as one generating request. */
const promptTokensPerSlot = 250;
/** Cost from which a request counts as long, as a multiple of the usual cost. */
const longWorkCostRatio = 10;

/** Cost of a request in tokens, which counts against a share. */
export function tokenCost(promptTokens: number, outputTokens: number): number {
	return (promptTokens * promptTokenWeight) + outputTokens;
}

/** Room that a request takes until its first token. */
export function slotCost(promptTokens: number): number {
	return 1 + (promptTokens / promptTokensPerSlot);
}

/** True when a request costs so much more than the usual that short work must not wait for it. */
export function isLongWork(tokens: number, usualTokens: number): boolean {
	return tokens > usualTokens * longWorkCostRatio;
}
