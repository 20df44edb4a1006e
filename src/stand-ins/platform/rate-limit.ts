import type {Clock} from '../../process/clock.ts';

const millisecondsPerSecond = 1000;

/** Token bucket that holds one second of its rate. */
export class RateLimit {
	readonly #clock: Clock;
	#tokens = 0;
	#ratePerSecond = 0;
	#refilledAt = 0;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Takes units at a rate per second; false when too few are left. Rate 0 means no limit. */
	take(units: number, perSecond: number): boolean {
		if (perSecond === 0) {
			this.#ratePerSecond = 0;
			return true;
		}

		const now = this.#clock.now();
		const gained = (now - this.#refilledAt) * perSecond / millisecondsPerSecond;
		this.#tokens = this.#ratePerSecond === perSecond ? Math.min(perSecond, this.#tokens + gained) : perSecond;
		this.#ratePerSecond = perSecond;
		this.#refilledAt = now;
		if (this.#tokens < units) {
			return false;
		}

		this.#tokens -= units;
		return true;
	}
}
