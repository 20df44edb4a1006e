/** What is known of the load of a service's engines at one moment. */
export type StageDemand = {
	/** Requests that generate or wait to do so, on all engines together. */
	readonly runs: number;
	/** Requests that one engine runs at once. */
	readonly slots: number;
	/** Time that the engines which read prompts need for what they have to read, on average, in milliseconds. */
	readonly backlogMs: number;
};

/** Engines of a service by their present stage. */
export type StageCounts = {
	readonly total: number;
	readonly decoders: number;
};

/** Part of an engine's slots that generating requests may take on average; beyond it they wait for a slot when one engine has more than others. */
const targetRunShare = 0.35;
/** The load comes in waves; the largest number of runs within this time counts, in milliseconds. */
const peakWindowMs = 8000;
/** Growth beyond the need at the moment, so that a wave that still rises asks for one change and not for several. */
const growthFactor = 1.15;
/** Engines are taken from generating only when there are so many times more than needed, and prompts wait. */
const surplusRatio = 1.6;
const shrinkTargetRatio = 1.3;
/** Prompts wait when the engines that read them have this much to do, in milliseconds. */
const pressureBacklogMs = 60;
/** Time for which prompts must wait before engines are taken from generating, in milliseconds. */
export const pressureDurationMs = 4000;
/** Requests a second whose prompts one engine reads, for prompts of some thousand tokens of which a part is kept. */
const typicalPrefillsPerSecond = 20;
/** Requests a second that one slot generates, for answers of half a second, with the slots half taken. */
const typicalRunsPerSlotPerSecond = 1;

type Sample = {
	readonly at: number;
	readonly runs: number;
};

/**
Decides how many engines of a service generate.

Answers a mix of long prompts and long answers that shifts: the number follows the peak of the requests that generate, and falls
only when prompts wait, since each change costs an engine for seconds. Before there is any load, it supposes a typical mix.
*/
export class StageSizer {
	#samples: Sample[] = [];
	#pressureSince: number | undefined;
	#targetDecoders: number | undefined;

	/** Takes the load at a moment and returns the number of engines that should generate; `now` in milliseconds. */
	computeDecoders({runs, slots, backlogMs}: StageDemand, {total, decoders}: StageCounts, now: number): number {
		this.#samples = [...this.#samples.filter(({at}) => now - at < peakWindowMs), {at: now, runs}];
		this.#pressureSince = backlogMs < pressureBacklogMs ? undefined : this.#pressureSince ?? now;
		const peak = Math.max(...this.#samples.map(sample => sample.runs));
		if (peak === 0) {
			this.#targetDecoders = undefined;
			return Math.round((total * typicalPrefillsPerSecond) / (typicalPrefillsPerSecond + (slots * typicalRunsPerSlotPerSecond)));
		}

		const needed = peak / Math.max(1, slots * targetRunShare);
		const present = this.#targetDecoders ?? decoders;
		this.#targetDecoders = this.#adjust(present, needed, now);
		return this.#targetDecoders;
	}

	#adjust(present: number, needed: number, now: number): number {
		if (needed > present) {
			return Math.ceil(needed * growthFactor);
		}

		const isPressed = this.#pressureSince !== undefined && now - this.#pressureSince >= pressureDurationMs;
		return isPressed && present > needed * surplusRatio ? Math.ceil(needed * shrinkTargetRatio) : present;
	}
}
