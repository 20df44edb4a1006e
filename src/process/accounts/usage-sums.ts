import type {AccountWork} from './account-usage.ts';

/** Work of all daemons of a zone that a relay has received and not passed on; its size is that of the active accounts, however many daemons report. */
export class UsageSums {
	readonly #intervalMs: number;
	readonly #limit: number;
	#sums = new Map<string, AccountWork>();
	#takenAt = Number.NEGATIVE_INFINITY;

	/** `intervalMs`: least time between two reports. `limit`: most accounts in one report. */
	constructor(intervalMs: number, limit: number) {
		this.#intervalMs = intervalMs;
		this.#limit = limit;
	}

	/** Adds reported work. */
	add(works: readonly AccountWork[]): void {
		for (const work of works) {
			const key = `${work.service}\n${work.account}`;
			const known = this.#sums.get(key);
			this.#sums.set(key, known === undefined ? work : {...work, asked: known.asked + work.asked, placed: known.placed + work.placed});
		}
	}

	/** Returns the sums for a report, the largest first; none before the next report is due. */
	take(now: number): readonly AccountWork[] {
		if (this.#sums.size === 0 || now - this.#takenAt < this.#intervalMs) {
			return [];
		}

		const works = [...this.#sums.values()].toSorted((a, b) => (b.asked + b.placed) - (a.asked + a.placed)).slice(0, this.#limit);
		this.#sums = new Map();
		this.#takenAt = now;
		return works;
	}
}
