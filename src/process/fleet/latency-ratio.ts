/** Weight of the newest observation in the moving average. */
const newestObservationWeight = 0.2;
/** The same if the observations of all daemons are applied; there are many of them. */
export const sharedObservationWeight = 0.05;
const maxLatencyRatio = 4;
const minLatencyRatio = 0.5;

/** Updates the ratio of measured to modelled latency; `predictedMs` is the prediction that was made with the current ratio. */
export function updateLatencyRatio(ratio: number, elapsedMs: number, predictedMs: number, weight = newestObservationWeight): number {
	const observed = ratio * (elapsedMs / Math.max(1, predictedMs));
	return Math.min(maxLatencyRatio, Math.max(minLatencyRatio, ratio + ((observed - ratio) * weight)));
}

/**
Ratio of measured to modelled prefill latency for each rank, over all engines.

More urgent prompts that arrive later overtake a less urgent one, so its prefill takes longer than the backlog ahead of it
suggests. Without this correction the scheduler would treat such a prompt as on time and spend the engine on a late answer.
*/
export class RankLatencyRatios {
	readonly #ratios = new Map<number, number>();

	/** Ratio for a rank; 1 until the first observation. */
	of(rank: number): number {
		return this.#ratios.get(rank) ?? 1;
	}

	/** Records the latency of one prefill. */
	observe(rank: number, elapsedMs: number, predictedMs: number): void {
		this.#ratios.set(rank, updateLatencyRatio(this.of(rank), elapsedMs, predictedMs));
	}
}
