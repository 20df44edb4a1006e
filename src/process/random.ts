import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

const resolution = 2 ** 30;

/** Source of random numbers, passed in wherever a decision needs one. */
export abstract class Random {
	/** Returns an integer in the range from 0 (inclusive) to the bound (exclusive). */
	integer(bound: number): number {
		return Math.floor(this.next() * bound);
	}

	/** Returns a number in the range from 0 (inclusive) to 1 (exclusive). */
	abstract next(): number;
}

/** Random numbers that repeat for the same seed. */
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
