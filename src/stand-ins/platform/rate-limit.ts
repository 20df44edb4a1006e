import type {Clock} from '../../process/clock.ts';

const millisecondsPerSecond = 1000;

/** Token bucket with a capacity of one second of its rate. */
export class RateLimit {
	readonly #clock: Clock;
	#tokens = 0;
	#ratePerSecond = 0;
	#refilledAt = 0;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Takes tokens from the bucket; false when too few are left. A new rate fills the bucket; rate 0 turns the limit off. */
	take(tokens: number, perSecond: number): boolean {
		if (perSecond === 0) {
			this.#ratePerSecond = 0;
			return true;
		}

		const now = this.#clock.now();
		const gained = (now - this.#refilledAt) * perSecond / millisecondsPerSecond;
		this.#tokens = this.#ratePerSecond === perSecond ? Math.min(perSecond, this.#tokens + gained) : perSecond;
		this.#ratePerSecond = perSecond;
		this.#refilledAt = now;
		if (this.#tokens < tokens) {
			return false;
		}

		this.#tokens -= tokens;
		return true;
	}
}
