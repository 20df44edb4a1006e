/** Shortest time over which a rate is taken, as a part of the time constant, so that the first counts do not look like a flood. */
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

	/** Counts a quantity. */
	add(now: number, quantity: number): void {
		this.#firstAt ??= now;
		this.#value = (this.#value * this.#decay(now)) + quantity;
		this.#lastAt = now;
	}

	/** Rate per millisecond; corrected for the short time that a new rate has been counted. */
	perMs(now: number): number {
		if (this.#firstAt === undefined) {
			return 0;
		}

		const seen = 1 - Math.exp(-Math.max(minObservedFraction, (now - this.#firstAt) / this.#timeConstantMs));
		return this.#value * this.#decay(now) / (this.#timeConstantMs * seen);
	}

	/** Time since the first count, in milliseconds. */
	ageMs(now: number): number {
		return this.#firstAt === undefined ? 0 : now - this.#firstAt;
	}

	#decay(now: number): number {
		return Math.exp((this.#lastAt - now) / this.#timeConstantMs);
	}
}
