import {decay} from '../decay.ts';

/** Time after which the weight of an arrival has fallen to 1/e, in milliseconds. */
const memoryMs = 2000;

/**
Rate at which other daemons send prompt tokens to an engine.

The work that they have sent and not yet reported is about this rate times the delay of their reports. Without it, all daemons
would choose the same fast engine until the reports arrive.
*/
export class ArrivalRate {
	#tokens = 0;
	#decayedAt = 0;

	/** Records a prompt that another daemon has sent. */
	record(tokens: number, now: number): void {
		this.#tokens = (this.#tokens * this.#keptFraction(now)) + tokens;
		this.#decayedAt = now;
	}

	/** Expected tokens that have been sent but not yet reported. */
	unreportedTokens(reportDelayMs: number, now: number): number {
		return this.#tokens * this.#keptFraction(now) * reportDelayMs / memoryMs;
	}

	#keptFraction(now: number): number {
		return decay(this.#decayedAt, now, memoryMs);
	}
}
