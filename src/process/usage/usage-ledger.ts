import {UsageRecorder, type AnsweredRun} from '../../request/delivery/usage-recorder.ts';

/** Requests that each client account began to run, by window. */
export type WindowCounts = ReadonlyMap<number, ReadonlyMap<string, number>>;

/** Counts of one process of a daemon. */
export type UsageSnapshot = {
	/** Differs for each process. */
	readonly instance: string;
	/** Window in which the process started. */
	readonly firstWindow: number;
	readonly windows: WindowCounts;
};

/** What the ledger needs. */
export type UsageLedgerOptions = {
	/** Returns the time of day on which the daemons agree, in milliseconds. */
	readonly now: () => number;
	readonly windowMs: number;
	readonly instance: string;
};

/** Windows before the present one that are kept; by then each has been fixed or given up. */
export const keptWindows = 8;
/** Weight of a new duration in the mean duration of a service's runs. */
const durationWeight = 0.05;
/** A run that took longer than this multiple of the mean counts as having waited at its upstream before it began. */
const maxDurationFactor = 2;

/** Counts the runs of this daemon's requests by client account and window. */
export class UsageLedger extends UsageRecorder {
	readonly #options: UsageLedgerOptions;
	readonly #firstWindow: number;
	readonly #windows = new Map<number, Map<string, number>>();
	/** Mean duration of answered runs, by service, in milliseconds. */
	readonly #durations = new Map<string, number>();

	constructor(options: UsageLedgerOptions) {
		super();
		this.#options = options;
		this.#firstWindow = this.#windowAt(options.now());
	}

	recordRun(account: string, run?: AnsweredRun): void {
		const {now} = this.#options;
		const agoMs = run === undefined ? 0 : this.#estimateAge(run);
		const window = this.#windowAt(now() - agoMs);
		let counts = this.#windows.get(window);
		if (counts === undefined) {
			this.#removeOld();
			counts = new Map();
			this.#windows.set(window, counts);
		}

		counts.set(account, (counts.get(account) ?? 0) + 1);
	}

	/** Returns the counts from a window on. */
	snapshot(from: number): UsageSnapshot {
		this.#removeOld();
		const present = this.#windowAt(this.#options.now());
		return {
			instance: this.#options.instance,
			// The time at the start of the process may have been ahead.
			firstWindow: Math.min(this.#firstWindow, present),
			windows: new Map([...this.#windows].filter(([window]) => window >= from).map(([window, counts]) => [window, new Map(counts)])),
		};
	}

	#windowAt(time: number): number {
		return Math.floor(time / this.#options.windowMs);
	}

	/** Estimates how long ago a run began: one that took unusually long has waited at its upstream. */
	#estimateAge({service, elapsedMs, isAnswered}: AnsweredRun): number {
		if (!isAnswered) {
			return elapsedMs;
		}

		const mean = this.#durations.get(service) ?? elapsedMs;
		const durationMs = Math.min(elapsedMs, mean * maxDurationFactor);
		this.#durations.set(service, mean + ((durationMs - mean) * durationWeight));
		return durationMs;
	}

	/** Also removes windows that lie ahead, which an error of the time has opened. */
	#removeOld(): void {
		const present = this.#windowAt(this.#options.now());
		for (const window of this.#windows.keys()) {
			if (window < present - keptWindows || window > present + 1) {
				this.#windows.delete(window);
			}
		}
	}
}
