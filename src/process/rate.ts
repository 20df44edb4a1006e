/** Minimum observation time of a rate, as a fraction of the time constant, so that the first counts do not look like a burst. */
const minObservedFraction = 0.25;

/** Exponentially smoothed rate of a quantity, in units per millisecond. */
export class Rate {
	readonly #timeConstantMs: number;
	#value = 0;
	#firstAt: number | undefined;
	#lastAt = 0;

	constructor(timeConstantMs: number) {
		this.#timeConstantMs = timeConstantMs;
	}

	/** Adds a quantity at a time in milliseconds. */
	add(now: number, quantity: number): void {
		this.#firstAt ??= now;
		this.#value = (this.#value * this.#decay(now)) + quantity;
		this.#lastAt = now;
	}

	/** Rate per millisecond, corrected for the short observation time of a new rate. */
	perMs(now: number): number {
		if (this.#firstAt === undefined) {
			return 0;
		}

		const observedFraction = 1 - Math.exp(-Math.max(minObservedFraction, (now - this.#firstAt) / this.#timeConstantMs));
		return this.#value * this.#decay(now) / (this.#timeConstantMs * observedFraction);
	}

	/** Time since the first count, in milliseconds. */
	ageMs(now: number): number {
		return this.#firstAt === undefined ? 0 : now - this.#firstAt;
	}

	#decay(now: number): number {
		return Math.exp((this.#lastAt - now) / this.#timeConstantMs);
	}
}
