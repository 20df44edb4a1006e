import type {PoolScaling} from '../../version/routes/route-configuration.ts';
import {
	countAll, listingMarginMs, noCounts, planPool, priceAll, type PoolCounts, type PoolKind, type PoolLimit,
} from './pool-plan.ts';
import type {NeededSize} from './pool-sizer.ts';

/** What the numbers of upstreams are chosen from. */
export type TargetInput = {
	readonly scaling: PoolScaling;
	readonly size: NeededSize;
	/** Upstreams that accept work. */
	readonly present: PoolCounts;
	readonly limit: PoolLimit;
};

/** Time for which too few or too dear upstreams must be seen before the numbers change, in milliseconds. */
const raiseSettleMs = 500;
const saveSettleMs = 2000;
/** Time after a rise before numbers fall again, and the same while there are clearly too many, in milliseconds. */
const minSaveDelayMs = 20_000;
const minClearSaveDelayMs = 3000;
/** Time between two reductions, in milliseconds. */
const saveIntervalMs = 10_000;
/** Part of the price that a change must save, because upstreams that leave take their cached prompts with them. */
const minSaving = 0.2;
/** Part of the upstreams that a pool must lack before their number rises. */
const minShortage = 0.04;
/** Ratio of the present to the needed number from which there are clearly too many, and a reduction takes one step. */
const clearSurplusRatio = 1.5;
/** Part of the upstreams that one step of a smaller reduction keeps. */
const keptShare = 0.8;

/**
Decides which numbers of upstreams a service should have by availability zone and kind.

Numbers rise soon after the need and change otherwise only for a clear saving, so that they do not follow every wave of the load.
The first numbers are those that are present, so that a new holder of the duty goes on from where the last one was; upstreams that appear
until those are there that the last holder may have ordered are kept.
*/
export class PoolTarget {
	#desired: PoolCounts | undefined;
	#present: PoolCounts = new Map();
	/** Time and number of upstreams when this daemon took over the duty. */
	#takeover: {readonly at: number; readonly total: number} | undefined;
	#shortSince: number | undefined;
	#savingSince: number | undefined;
	#raisedAt = Number.NEGATIVE_INFINITY;
	#savedAt = Number.NEGATIVE_INFINITY;

	/** Records the current need and returns the numbers that should be ordered. */
	update(input: TargetInput, now: number): PoolCounts {
		const {scaling, size, present, limit} = input;
		const takeover = this.#takeover ?? {at: now, total: countAll(present)};
		this.#takeover = takeover;
		const mayAppear = now - takeover.at < scaling.bootMs + listingMarginMs;
		const known = new Map([...scaling.zonePrices.keys()].map(zone => {
			const here = present.get(zone) ?? noCounts;
			const before = this.#present.get(zone) ?? noCounts;
			const last = this.#desired?.get(zone) ?? here;
			const numberOf = (kind: PoolKind) => Math.min(
				mayAppear && here[kind] > before[kind] ? Math.max(last[kind], here[kind]) : last[kind],
				limit(zone, kind),
			);
			return [zone, {ordinary: numberOf('ordinary'), reclaimable: numberOf('reclaimable')}];
		}));
		this.#present = present;
		// Without knowledge of the load, the total stays as it is.
		const needed = {...input, size: size.mayShrink ? size : {...size, total: Math.max(size.total, takeover.total)}};
		this.#desired = this.#raise(needed, known, now) ?? this.#save(needed, known, now) ?? known;
		return this.#desired;
	}

	#raise({scaling, size, limit}: TargetInput, known: PoolCounts, now: number): PoolCounts | undefined {
		const raised = planPool(scaling, size, limit, known);
		const count = countAll(known);
		if (countAll(raised) <= count * (1 + minShortage)) {
			this.#shortSince = undefined;
			return undefined;
		}

		this.#shortSince ??= now;
		if (now - this.#shortSince < raiseSettleMs) {
			return undefined;
		}

		this.#shortSince = undefined;
		this.#raisedAt = now;
		return raised;
	}

	#save({scaling, size, limit}: TargetInput, known: PoolCounts, now: number): PoolCounts | undefined {
		const price = priceAll(scaling, known);
		if (priceAll(scaling, planPool(scaling, size, limit)) > price * (1 - minSaving)) {
			this.#savingSince = undefined;
			return undefined;
		}

		const count = countAll(known);
		const delayMs = size.total * clearSurplusRatio < count ? minClearSaveDelayMs : minSaveDelayMs;
		this.#savingSince ??= now;
		if (now - this.#savingSince < saveSettleMs || now - this.#raisedAt < delayMs || now - this.#savedAt < saveIntervalMs) {
			return undefined;
		}

		const total = size.total * clearSurplusRatio < count ? size.total : Math.max(size.total, Math.ceil(count * keptShare));
		this.#savingSince = undefined;
		this.#savedAt = now;
		return planPool(scaling, {...size, total}, limit);
	}
}
