import type {Clock} from '../../process/clock.ts';

const millisecondsPerSecond = 1000;

/** Token bucket that holds one second of its rate. */
export class RateLimit {
	readonly #clock: Clock;
	#tokens = 0;
	#perSecond = 0;
	#filledAt = 0;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Takes units at a rate per second; false when too few are left. Rate 0 means no limit. */
	take(units: number, perSecond: number): boolean {
		if (perSecond === 0) {
			this.#perSecond = 0;
			return true;
		}

		const now = this.#clock.now();
		const gained = (now - this.#filledAt) * perSecond / millisecondsPerSecond;
		this.#tokens = this.#perSecond === perSecond ? Math.min(perSecond, this.#tokens + gained) : perSecond;
		this.#perSecond = perSecond;
		this.#filledAt = now;
		if (this.#tokens < units) {
			return false;
		}

		this.#tokens -= units;
		return true;
	}
}
