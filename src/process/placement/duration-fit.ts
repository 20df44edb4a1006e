import {decay} from '../decay.ts';
import type {PrefillRate} from '../fleet/placement-score.ts';

/** Time after which the weight of an observation has fallen to 1/e, in milliseconds. */
const memoryMs = 20_000;
/** Size at which the initial rate counts as one observation, beside two of its overhead; small, so that a few real observations outweigh it. */
const initialObservationTokens = 2000;
/** Multiple of the fitted duration at which observations are clipped: few that waited for something else must not determine the fit. */
const maxExcess = 1.5;
/** Observations from which they are clipped; before, the fit may be far off. */
const minClippingObservations = 15;
const maxFixedMs = 400;
const minTokensPerMs = 1;
const maxTokensPerMs = 5000;

/** Sums of a weighted least-squares fit. */
type Sums = {
	weight: number;
	size: number;
	duration: number;
	squaredSize: number;
	product: number;
};

/** Duration of work as an overhead and a rate, fitted to recent observations by least squares; the weight of an observation falls with its age. */
export class DurationFit {
	readonly #initial: Readonly<Sums>;
	readonly #sums: Sums = {
		weight: 0, size: 0, duration: 0, squaredSize: 0, product: 0,
	};

	#decayedAt = 0;
	#fitted: PrefillRate | undefined;

	constructor({tokensPerMs, fixedMs}: PrefillRate) {
		const durationMs = fixedMs + (initialObservationTokens / tokensPerMs);
		this.#initial = {
			weight: 3,
			size: initialObservationTokens,
			duration: (2 * fixedMs) + durationMs,
			squaredSize: initialObservationTokens ** 2,
			product: initialObservationTokens * durationMs,
		};
	}

	/** Number of recent observations; the fit is surer the more there are. */
	get observations(): number {
		return this.#sums.weight;
	}

	/** Fitted overhead and rate. */
	get rate(): PrefillRate {
		this.#fitted ??= this.#fit();
		return this.#fitted;
	}

	/** Records the duration of work of a size in tokens. */
	observe(tokens: number, observedMs: number, now: number): void {
		const sums = this.#sums;
		const {tokensPerMs, fixedMs} = this.rate;
		const durationMs = sums.weight < minClippingObservations ? observedMs : Math.min(observedMs, maxExcess * (fixedMs + (tokens / tokensPerMs)));
		const kept = decay(this.#decayedAt, now, memoryMs);
		this.#decayedAt = now;
		sums.weight = (sums.weight * kept) + 1;
		sums.size = (sums.size * kept) + tokens;
		sums.duration = (sums.duration * kept) + durationMs;
		sums.squaredSize = (sums.squaredSize * kept) + (tokens ** 2);
		sums.product = (sums.product * kept) + (tokens * durationMs);
		this.#fitted = undefined;
	}

	#fit(): PrefillRate {
		const weight = this.#sums.weight + this.#initial.weight;
		const size = this.#sums.size + this.#initial.size;
		const duration = this.#sums.duration + this.#initial.duration;
		const squaredSize = this.#sums.squaredSize + this.#initial.squaredSize;
		const product = this.#sums.product + this.#initial.product;
		const slope = ((weight * product) - (size * duration)) / ((weight * squaredSize) - (size ** 2));
		const msPerToken = Math.min(1 / minTokensPerMs, Math.max(1 / maxTokensPerMs, slope));
		return {tokensPerMs: 1 / msPerToken, fixedMs: Math.min(maxFixedMs, Math.max(0, (duration - (msPerToken * size)) / weight))};
	}
}
