import type {Clock} from '../clock.ts';

/** What is known of one row that was dropped. */
type DroppedRow = {
	readonly loggedAt: number;
	readonly count: number;
};

/** Time for which a row that is dropped again and again is not logged again, in milliseconds. */
export const droppedRowLogIntervalMs = 60_000;
/** Rows that are remembered; those beyond are counted and not logged, so that a writer of many keys does not fill the log. */
const maxRememberedRows = 500;

/** Counts rows of a table that cannot be used, and says which of them to log. */
export class DroppedRows {
	readonly #clock: Clock;
	readonly #rows = new Map<string, DroppedRow>();
	#total = 0;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Number of times that a row was read and dropped. */
	get total(): number {
		return this.#total;
	}

	/** Counts a dropped row; returns how often it was dropped since it was last logged if it is to be logged now, otherwise undefined. */
	drop(key: string): number | undefined {
		const now = this.#clock.now();
		this.#total += 1;
		const known = this.#rows.get(key);
		if (known !== undefined && now - known.loggedAt < droppedRowLogIntervalMs) {
			this.#rows.set(key, {...known, count: known.count + 1});
			return undefined;
		}

		if (known === undefined && this.#rows.size >= maxRememberedRows && !this.#forgetOldest(now)) {
			return undefined;
		}

		this.#rows.delete(key);
		this.#rows.set(key, {loggedAt: now, count: 0});
		return (known?.count ?? 0) + 1;
	}

	/** Forgets the row that was logged first, if it may be logged again; rows are in the order in which they were last logged. */
	#forgetOldest(now: number): boolean {
		const [oldest] = this.#rows;
		return oldest !== undefined && now - oldest[1].loggedAt >= droppedRowLogIntervalMs && this.#rows.delete(oldest[0]);
	}
}
