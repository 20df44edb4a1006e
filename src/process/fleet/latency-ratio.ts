/** Weight of the newest observation. */
const newestObservationWeight = 0.2;
const maxLatencyRatio = 4;
const minLatencyRatio = 0.5;

/** Adjusts the pace of something, the time that work takes relative to the model, by a prediction that included the pace. */
export function updateLatencyRatio(pace: number, elapsedMs: number, predictedMs: number): number {
	const observed = pace * (elapsedMs / Math.max(1, predictedMs));
	return Math.min(maxLatencyRatio, Math.max(minLatencyRatio, pace + ((observed - pace) * newestObservationWeight)));
}

/**
How long prompts of each rank take relative to the model, on all engines together.

Answers the load in which more urgent prompts arrive while a less urgent one is read: it takes longer than its place in the
backlog tells, and counting it as on time would spend the engine on an answer that is late.
*/
export class RankLatencyRatios {
	readonly #ratios = new Map<number, number>();

	/** Pace of a rank; 1 until something was observed. */
	of(rank: number): number {
		return this.#ratios.get(rank) ?? 1;
	}

	/** Takes the time that a prompt took. */
	observe(rank: number, elapsedMs: number, predictedMs: number): void {
		this.#ratios.set(rank, updateLatencyRatio(this.of(rank), elapsedMs, predictedMs));
	}
}
