/** Largest part of the time between events by which a prefill at the same engine extends it. */
const prefillGapFactor = 1.5;
/** Expected gap, relative to the target, from which an answer may miss it: hosts turn slower for moments. */
const safeGapRatio = 0.4;

/** State of a decode engine that the gaps between events depend on; times in milliseconds. */
export type GapInput = {
	/** Mean time between events at the engines of the service. */
	readonly eventMs: number;
	/** Prefill that the engine does between the tokens of its running requests. */
	readonly prefillMs: number;
	/** Current slowdown of the engine and its host; 1 is normal. */
	readonly slowness: number;
};

/** Expected gap between events while an engine prefills, in milliseconds. */
export function predictGapMs({eventMs, prefillMs, slowness}: GapInput): number {
	return (eventMs + Math.min(prefillMs, eventMs * prefillGapFactor)) * slowness;
}

/** Risk that an answer misses its target for the gap between events: 0 if it is met with a reserve, 1 if the reserve is exceeded by the target; 0 without a target. */
export function assessGapRisk(input: GapInput, targetGapMs: number | undefined): number {
	return targetGapMs === undefined ? 0 : Math.max(0, (predictGapMs(input) / targetGapMs) - safeGapRatio);
}
