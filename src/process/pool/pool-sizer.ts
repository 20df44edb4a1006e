import {countNeededDecoders, type StageDemand} from '../stages/stage-sizer.ts';
import type {PoolSize} from './pool-plan.ts';
import {peakWindowMs, type WorkRate} from './work-rates.ts';

/** Load on the upstreams of a service. */
export type PoolDemand = {
	readonly work: WorkRate;
	/** Load on the stages; undefined for services without stages. */
	readonly stages: StageDemand | undefined;
	/** True if all upstreams serve that were ordered. */
	readonly isComplete: boolean;
};

/** Bounds of the chosen sizes that depend on the service. */
export type PoolTerms = {
	/** True if most upstreams are reclaimable ones, of which a larger headroom costs little. */
	readonly isHeadroomCheap: boolean;
	readonly zones: number;
};

/** Mean utilisation of ordinary prefill engines at the peak of the load, at which prompts seldom wait and a burst of one kind of request is mostly absorbed. */
const ordinaryUtilisation = 0.55;
/** The same of a pool of mostly reclaimable engines. A burst of a few seconds is over before new engines would serve, so only engines that are already there help; at a fraction of the price, twice the peak costs less than the answers that would be late. */
const reclaimableUtilisation = 0.4;
/** Mean utilisation up to which a pool that has lost a zone serves until replacements are up. */
const lossUtilisation = 0.8;
/** Load is known well enough to reduce the pool after this time, in milliseconds. */
const minObservationMs = 4000;
/** Factor for the part of a wave that has not been seen until the load was observed for as long as a peak counts. */
const unseenWaveFactor = 1.3;
/** Mean backlog of the prefill engines, in milliseconds, or part of the work refused, from which the pool counts as too small whatever the estimate says. */
const pressureBacklogMs = 250;
const pressureRefusedShare = 0.05;
/** Ratio of the estimate to the engines that were seen to prefill, at most: hosts that are short of processor time measure slow engines. */
const maxUnseenFactor = 1.5;
/** Time over which the number of engines that prefill is averaged, in milliseconds. */
const prefillWindowMs = 4000;
/** Time for which such pressure must last before the estimate is corrected, and the interval of further corrections, in milliseconds. */
const pressureIntervalMs = 1500;
const correctionFactor = 1.25;
const maxCorrection = 3;
/** Time without pressure after which one correction is taken back, in milliseconds. */
const correctionDecayMs = 20_000;

/** Size that a service needs at the moment. */
export type NeededSize = PoolSize & {
	/** False while the load is not known well enough to reduce the pool. */
	readonly mayShrink: boolean;
	/** Number of upstreams in the decode stage. */
	readonly decoders: number;
};

type StageSample = {
	readonly at: number;
	readonly runs: number;
	readonly prefillEngines: number;
};

/** Decides how many upstreams a service needs, from the work that arrives and what becomes of it. */
export class PoolSizer {
	#samples: readonly StageSample[] = [];
	#correction = 1;
	#pressureSince: number | undefined;
	#calmSince: number | undefined;

	/** Records the current load and returns the size that it needs. */
	computeSize({work, stages, isComplete}: PoolDemand, {isHeadroomCheap, zones}: PoolTerms, now: number): NeededSize {
		const {peakBusy, refusedShare, observedMs} = work;
		const isPressed = (stages?.backlogMs ?? 0) >= pressureBacklogMs || refusedShare >= pressureRefusedShare;
		this.#correct(isPressed && isComplete, now);
		const isShortlyObserved = observedMs !== undefined && observedMs < peakWindowMs;
		if (stages !== undefined) {
			this.#record(stages, now);
		}

		const estimate = Math.min(
			peakBusy * this.#correction * (isShortlyObserved ? unseenWaveFactor : 1),
			stages?.prefillEngines === undefined ? Number.POSITIVE_INFINITY : this.#peakPrefillEngines * maxUnseenFactor,
		);
		// Does not depend on the speed of the engines, which a daemon learns from its prefills.
		const busy = Math.max(estimate, this.#meanPrefillEngines(now));
		const decoders = stages === undefined ? 0 : Math.max(zones, countNeededDecoders({runs: this.#peakRuns, slots: stages.slots}));
		return {
			total: Math.ceil(busy / (isHeadroomCheap ? reclaimableUtilisation : ordinaryUtilisation)) + decoders,
			essential: Math.ceil(busy / ordinaryUtilisation) + decoders,
			afterLoss: Math.ceil(busy / lossUtilisation) + decoders,
			mayShrink: observedMs !== undefined && observedMs >= minObservationMs,
			decoders,
		};
	}

	#record({runs, prefillEngines = 0}: StageDemand, now: number): void {
		this.#samples = [...this.#samples.filter(({at}) => now - at < peakWindowMs), {at: now, runs, prefillEngines}];
	}

	/** Largest number of concurrent runs of the last seconds. */
	get #peakRuns(): number {
		return Math.max(0, ...this.#samples.map(({runs}) => runs));
	}

	/** Largest number of engines that prefilled at the same time in the last seconds, with those that the queues would keep busy. */
	get #peakPrefillEngines(): number {
		return Math.max(0, ...this.#samples.map(({prefillEngines}) => prefillEngines));
	}

	/** Mean number of engines that prefill, over the last seconds. */
	#meanPrefillEngines(now: number): number {
		const recent = this.#samples.filter(({at}) => now - at < prefillWindowMs);
		let sum = 0;
		for (const {prefillEngines} of recent) {
			sum += prefillEngines;
		}

		return sum / Math.max(1, recent.length);
	}

	/** Raises the correction while prompts wait although the pool should suffice: the speed of the engines is overestimated, or parts of prompts are prefilled again. */
	#correct(isUnderPressure: boolean, now: number): void {
		if (isUnderPressure) {
			this.#calmSince = undefined;
			this.#pressureSince ??= now;
			if (now - this.#pressureSince >= pressureIntervalMs) {
				this.#pressureSince = now;
				this.#correction = Math.min(maxCorrection, this.#correction * correctionFactor);
			}

			return;
		}

		this.#pressureSince = undefined;
		this.#calmSince ??= now;
		if (now - this.#calmSince >= correctionDecayMs) {
			this.#calmSince = now;
			this.#correction = Math.max(1, this.#correction / correctionFactor);
		}
	}
}
