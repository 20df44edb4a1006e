import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

const resolution = 2 ** 30;

/** Source of random numbers, injected wherever a decision needs one. */
export abstract class Random {
	/** Returns an integer from 0 (inclusive) to the bound (exclusive). */
	integer(bound: number): number {
		return Math.floor(this.next() * bound);
	}

	/** Returns a number from 0 (inclusive) to 1 (exclusive). */
	abstract next(): number;
}

/** Pseudorandom numbers that are the same for the same seed. */
export class SeededRandom extends Random {
	readonly #generator: ReturnType<typeof xoroshiro128plus>;

	constructor(seed: number) {
		super();
		this.#generator = xoroshiro128plus(seed);
	}

	next(): number {
		return uniformInt(this.#generator, 0, resolution - 1) / resolution;
	}
}
