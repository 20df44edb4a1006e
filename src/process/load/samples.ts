const sampleIntervalMs = 250;
const sampleCount = 24;

/** Ring buffer of the recent values of a quantity, sampled every 250 ms for 6 s. */
export class Samples {
	readonly #values = new Float64Array(sampleCount);
	#lastIndex = 0;
	#last = 0;

	/** Records the value that applies from a time on; times must not decrease. */
	record(now: number, value: number): void {
		const index = Math.floor(now / sampleIntervalMs);
		const missing = Math.min(index - this.#lastIndex, sampleCount);
		for (let offset = 0; offset < missing; offset += 1) {
			this.#values[(index - offset) % sampleCount] = this.#last;
		}

		this.#values[index % sampleCount] = value;
		this.#lastIndex = Math.max(index, this.#lastIndex);
		this.#last = value;
	}

	/** Returns the value at a time in the past; the oldest one if the time is before all samples. */
	at(time: number): number {
		const index = Math.floor(time / sampleIntervalMs);
		if (index >= this.#lastIndex) {
			return this.#last;
		}

		const oldest = Math.max(0, this.#lastIndex - sampleCount + 1);
		return this.#values[Math.max(oldest, index) % sampleCount] ?? 0;
	}
}
