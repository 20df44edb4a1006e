import type {UsageSnapshot} from './usage-ledger.ts';

type InstanceUsage = {
	firstWindow: number;
	/** Window in which the process was last heard. */
	heardIn: number;
	readonly windows: Map<number, Map<string, number>>;
};

/** Counts of all daemons, as far as they have been heard; those of a process that has ended are kept. */
export class UsageCollection {
	readonly #instances = new Map<string, InstanceUsage>();

	/** First window in which one of the processes ran; undefined if none has been heard. */
	get firstWindow(): number | undefined {
		return this.#instances.size === 0 ? undefined : Math.min(...[...this.#instances.values()].map(({firstWindow}) => firstWindow));
	}

	/** Adds the counts of a process heard in the present window; counts only grow, so that an older snapshot changes nothing. */
	add({instance, firstWindow, windows}: UsageSnapshot, present: number): void {
		const known = this.#instances.get(instance) ?? {firstWindow, heardIn: present, windows: new Map<number, Map<string, number>>()};
		this.#instances.set(instance, known);
		known.heardIn = Math.max(known.heardIn, present);
		known.firstWindow = Math.min(known.firstWindow, firstWindow);
		for (const [window, counts] of windows) {
			const knownCounts = known.windows.get(window) ?? new Map<string, number>();
			known.windows.set(window, knownCounts);
			for (const [account, count] of counts) {
				knownCounts.set(account, Math.max(knownCounts.get(account) ?? 0, count));
			}
		}
	}

	/** Returns the sum of all processes in a window. */
	sum(window: number): ReadonlyMap<string, number> {
		const sums = new Map<string, number>();
		for (const {windows} of this.#instances.values()) {
			for (const [account, count] of windows.get(window) ?? []) {
				sums.set(account, (sums.get(account) ?? 0) + count);
			}
		}

		return sums;
	}

	/** Removes the windows before the given one, and processes that have not been heard since. */
	removeBefore(first: number): void {
		for (const [instance, {windows, heardIn}] of this.#instances) {
			for (const window of windows.keys()) {
				if (window < first) {
					windows.delete(window);
				}
			}

			if (windows.size === 0 && heardIn < first) {
				this.#instances.delete(instance);
			}
		}
	}
}
