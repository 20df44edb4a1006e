/** Load on the engines of a service at one moment. */
export type StageDemand = {
	/** Requests in decode or waiting for it, on all engines together. */
	readonly runs: number;
	/** Requests that one engine can decode concurrently. */
	readonly slots: number;
	/** Mean time that the prefill engines need for their backlog, in milliseconds. */
	readonly backlogMs: number;
	/** True if the number of engines is ordered by the load: a surplus of decode engines is then reduced although no prompts wait. */
	readonly isElastic?: boolean;
	/** Number of engines that the prefills in progress and in the queues keep busy; undefined if it is not known. */
	readonly prefillEngines?: number;
};

/** Number of engines of a service, and of those in the decode stage. */
export type StageCounts = {
	readonly total: number;
	readonly decoders: number;
};

/** Least target of the mean slot utilisation of decode engines. */
const minTargetRunShare = 0.35;
/** Slots kept free for uneven load, as a multiple of the square root of the slots: by about that root the load of single engines differs. */
const freeSlotFactor = 3;
/** The load comes in waves, so the peak number of runs within this window counts, in milliseconds. */
const peakWindowMs = 8000;
/** Headroom above the current need, so that a rising wave causes one change instead of several. */
const growthFactor = 1.15;
/** Ratio of decode engines to the need above which their number is reduced, provided that prompts wait. */
const surplusRatio = 1.6;
/** Ratio of decode engines to the need after such a reduction. */
const shrinkTargetRatio = 1.3;
/** Mean backlog of the prefill engines from which prompts count as waiting, in milliseconds. */
const pressureBacklogMs = 60;
/** Time for which prompts must be waiting before the number of decode engines is reduced, in milliseconds. */
export const pressureDurationMs = 4000;
/** Share of the time for which prefill engines should be busy on average; prompts come in bursts. */
const targetPrefillShare = 0.5;
/** Slot utilisation of decode engines that is accepted while prefill needs engines too. */
const contendedRunShare = 0.6;
/** Slot utilisation of decode engines beyond which they do not give up any engine to prefill. */
const maxRunShare = 0.85;
/** Ratio between the number of decode engines and their share of the engines up to which the number stays as it is. */
const excessRatio = 1.15;
/** Prefills per second of one engine, for prompts of a few thousand tokens that are partly cached. */
const typicalPrefillsPerSecond = 20;
/** Requests per second that one slot decodes, for answers that take half a second, at 50 % slot utilisation. */
const typicalRunsPerSlotPerSecond = 1;

type Sample = {
	readonly at: number;
	readonly runs: number;
	readonly prefillEngines: number;
};

/**
Decides how many engines of a service are in the decode stage.

The mix of long prompts and long answers shifts over time. The number of decode engines follows the peak of concurrent runs, and
falls only when prompts wait, because each change takes an engine out of service for seconds. If the engines do not suffice for
both stages, they are shared in proportion to the needs. Without load, a typical mix is assumed.
*/
export class StageSizer {
	#samples: Sample[] = [];
	#pressureSince: number | undefined;
	#targetDecoders: number | undefined;
	/** Time of the first run since the engines were idle. */
	#loadedSince: number | undefined;

	/** Records the current load and returns the number of engines that should decode; `now` is in milliseconds. */
	computeDecoders({runs, slots, backlogMs, prefillEngines = 0, isElastic = false}: StageDemand, {total, decoders}: StageCounts, now: number): number {
		this.#samples = [...this.#samples.filter(({at}) => now - at < peakWindowMs), {at: now, runs, prefillEngines}];
		this.#pressureSince = backlogMs < pressureBacklogMs ? undefined : this.#pressureSince ?? now;
		const peak = Math.max(...this.#samples.map(sample => sample.runs));
		if (peak === 0) {
			this.#targetDecoders = undefined;
			this.#loadedSince = undefined;
			return Math.round((total * typicalPrefillsPerSecond) / (typicalPrefillsPerSecond + (slots * typicalRunsPerSlotPerSecond)));
		}

		this.#loadedSince ??= now;
		const current = this.#targetDecoders ?? decoders;
		const need = {
			needed: peak / targetRuns(slots),
			most: this.#computeShare(peak / slots, total),
			isSurplusReduced: isElastic && now - this.#loadedSince >= pressureDurationMs,
		};
		this.#targetDecoders = this.#adjust(current, need, now);
		return this.#targetDecoders;
	}

	/** Largest number of decode engines that leaves prefill its part of the engines. */
	#computeShare(fullEngines: number, total: number): number {
		const needed = fullEngines / contendedRunShare;
		const prefillNeeded = this.#samples.reduce((sum, {prefillEngines}) => sum + prefillEngines, 0) / this.#samples.length / targetPrefillShare;
		return prefillNeeded === 0
			? Number.POSITIVE_INFINITY
			: Math.floor(Math.max(total - prefillNeeded, (total * needed) / (needed + prefillNeeded), fullEngines / maxRunShare, 1));
	}

	#adjust(current: number, {needed, most, isSurplusReduced}: {readonly needed: number; readonly most: number; readonly isSurplusReduced: boolean}, now: number): number {
		const isUnderPressure = this.#pressureSince !== undefined && now - this.#pressureSince >= pressureDurationMs;
		if (isUnderPressure && current > most * excessRatio) {
			return most;
		}

		if (needed > current) {
			const wanted = Math.ceil(needed * growthFactor);
			return wanted <= most ? wanted : (most > current * excessRatio ? most : current);
		}

		return (isUnderPressure || isSurplusReduced) && current > needed * surplusRatio ? Math.ceil(needed * shrinkTargetRatio) : current;
	}
}

/** Number of decode engines that a number of concurrent runs needs. */
export function countNeededDecoders({runs, slots}: Pick<StageDemand, 'runs' | 'slots'>): number {
	return Math.ceil(runs / targetRuns(slots));
}

/** Mean number of runs of a decode engine up to which requests seldom wait for a slot on one of the busier engines. */
function targetRuns(slots: number): number {
	return Math.max(1, slots * minTargetRunShare, slots - (freeSlotFactor * Math.sqrt(slots)));
}
