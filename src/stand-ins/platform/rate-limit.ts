import type {Clock} from '../../process/clock.ts';

const millisecondsPerSecond = 1000;

/** Token bucket with a capacity of one second of its rate. */
export class RateLimit {
	readonly #clock: Clock;
	#tokens = 0;
	#perSecond = 0;
	#filledAt = 0;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Takes tokens from the bucket; false when too few are left. A new rate fills the bucket; rate 0 turns the limit off. */
	take(tokens: number, perSecond: number): boolean {
		if (perSecond === 0) {
			this.#perSecond = 0;
			return true;
		}

		const now = this.#clock.now();
		const gained = (now - this.#filledAt) * perSecond / millisecondsPerSecond;
		this.#tokens = this.#perSecond === perSecond ? Math.min(perSecond, this.#tokens + gained) : perSecond;
		this.#perSecond = perSecond;
		this.#filledAt = now;
		if (this.#tokens < tokens) {
			return false;
		}

		this.#tokens -= tokens;
		return true;
	}
}
