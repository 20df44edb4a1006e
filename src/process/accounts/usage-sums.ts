import type {AccountWork} from './account-usage.ts';
import {WorkSums} from './work-sums.ts';

/** Work of all daemons of a zone that a relay has received and not passed on; its size is that of the active accounts, however many daemons report. */
export class UsageSums {
	readonly #intervalMs: number;
	readonly #limit: number;
	readonly #sums = new WorkSums();
	#takenAt = Number.NEGATIVE_INFINITY;

	/** `intervalMs`: least time between two reports. `limit`: most accounts in one report. */
	constructor(intervalMs: number, limit: number) {
		this.#intervalMs = intervalMs;
		this.#limit = limit;
	}

	/** Adds reported work. */
	add(works: readonly AccountWork[]): void {
		for (const work of works) {
			this.#sums.add(work);
		}
	}

	/** Returns the sums for a report, the largest first; none before the next report is due. */
	take(now: number): readonly AccountWork[] {
		if (this.#sums.size === 0 || now - this.#takenAt < this.#intervalMs) {
			return [];
		}

		this.#takenAt = now;
		return this.#sums.take(this.#limit);
	}
}
