/** Shortest time over which a rate is taken, as a part of the time constant, so that the first counts do not look like a flood. */
const leastSeenPart = 0.25;

/** Exponentially smoothed rate of a quantity, in units per millisecond. */
export class Rate {
	readonly #timeConstantMs: number;
	#value = 0;
	#since: number | undefined;
	#at = 0;

	constructor(timeConstantMs: number) {
		this.#timeConstantMs = timeConstantMs;
	}

	/** Counts a quantity. */
	add(now: number, quantity: number): void {
		this.#since ??= now;
		this.#value = (this.#value * this.#fade(now)) + quantity;
		this.#at = now;
	}

	/** Rate per millisecond; corrected for the short time that a new rate has been counted. */
	perMs(now: number): number {
		if (this.#since === undefined) {
			return 0;
		}

		const seen = 1 - Math.exp(-Math.max(leastSeenPart, (now - this.#since) / this.#timeConstantMs));
		return this.#value * this.#fade(now) / (this.#timeConstantMs * seen);
	}

	/** Time since the first count, in milliseconds. */
	ageMs(now: number): number {
		return this.#since === undefined ? 0 : now - this.#since;
	}

	#fade(now: number): number {
		return Math.exp((this.#at - now) / this.#timeConstantMs);
	}
}
