import type {DutyResult, PlatformDuties} from '../../ports/platform-duties.ts';
import type {DutyLease} from '../duties/duty-lease.ts';
import type {Clock} from '../clock.ts';
import type {FleetTime} from './fleet-time.ts';
import type {UsageCollection} from './usage-collection.ts';
import {keptWindows} from './usage-ledger.ts';
import type {FixedUsage, UsageRows} from './usage-rows.ts';
import type {UsageRounds} from './usage-rounds.ts';

/** What the reporter needs. */
export type UsageReporterOptions = {
	/** Clock that no change of the time of day moves. */
	readonly clock: Clock;
	readonly time: FleetTime;
	readonly lease: DutyLease;
	readonly duties: PlatformDuties;
	readonly rows: UsageRows;
	/** Epoch of the store, as its latest answer to any call has named it. */
	readonly epoch: () => number | undefined;
	readonly collection: UsageCollection;
	readonly rounds: Pick<UsageRounds, 'isComplete' | 'missing' | 'reachedCount'>;
	readonly windowMs: number;
	/** Time after the end of a window at which its report is due, in milliseconds. */
	readonly dueMs: number;
	readonly report: (event: string, fields: Readonly<Record<string, unknown>>) => void;
	readonly onResult: (result: DutyResult) => void;
};

/** Part of the time until a report is due for which daemons that have not answered are waited for. */
const stragglerFraction = 0.3;
/** Ended windows of which the counts are still fixed; older ones are no longer complete at the daemons. */
const maxLateWindows = keptWindows - 2;
const loadRetryMs = 500;
const reportRetryMs = 1000;
/** Epoch of a store that was never restored. */
const firstEpoch = 1;

/**
Fixes the counts of each window in the platform's store and then reports them, while this daemon holds the lease of duties.

Only fixed counts are reported, so that a repeat, also by a successor, has the same counts.
*/
export class UsageReporter {
	readonly #options: UsageReporterOptions;
	readonly #fixed = new Map<number, FixedUsage>();
	readonly #settled = new Set<number>();
	#lastFixed: number | undefined;
	/** All windows up to this one need no further report. */
	#settledThrough = Number.NEGATIVE_INFINITY;
	#isLoaded = false;
	#isFixing = false;
	#isReporting = false;
	#mayFixAt = Number.NEGATIVE_INFINITY;
	#mayReportAt = Number.NEGATIVE_INFINITY;
	#epoch: number | undefined;
	/** First window whose counts cannot have been fixed in rows that a restore of the store has taken away. */
	#firstAfterRestore = Number.NEGATIVE_INFINITY;

	constructor(options: UsageReporterOptions) {
		this.#options = options;
	}

	/** Time since the end of the first window that still needs a report, in milliseconds; 0 if none does. */
	get lagMs(): number {
		const first = this.#lastFixed === undefined ? undefined : Math.max(this.#settledThrough, this.#present - keptWindows) + 1;
		return first === undefined ? 0 : Math.max(0, this.#options.time.now() - ((first + 1) * this.#options.windowMs));
	}

	/** Takes the next steps that are due; only called while this daemon holds the lease. */
	tick(): void {
		this.#removeOld();
		void this.#advanceFixing();
		void this.#advanceReports();
	}

	/** Ends the tenure of this daemon; the rows are read again in the next one. */
	end(): void {
		this.#isLoaded = false;
	}

	/** Notes a restore of the store, which may have taken away the rows of windows that have been reported; called on all daemons. */
	noteEpoch(): void {
		const epoch = this.#options.epoch();
		if (epoch !== undefined && epoch > firstEpoch && epoch !== this.#epoch) {
			this.#firstAfterRestore = this.#present;
		}

		this.#epoch = epoch;
	}

	get #present(): number {
		return Math.floor(this.#options.time.now() / this.#options.windowMs);
	}

	async #advanceFixing(): Promise<void> {
		if (this.#isFixing || this.#options.clock.now() < this.#mayFixAt) {
			return;
		}

		this.#isFixing = true;
		try {
			await (this.#isLoaded ? this.#fixNext() : this.#load());
		} finally {
			this.#isFixing = false;
		}
	}

	async #load(): Promise<void> {
		const {rows, report, clock} = this.#options;
		const loaded = await rows.load();
		loaded.caseOf({
			Left: ({kind}) => {
				this.#mayFixAt = clock.now() + loadRetryMs;
				report('usage.notLoaded', {cause: kind});
			},
			Right: fixed => {
				this.#isLoaded = true;
				this.noteEpoch();
				for (const usage of fixed) {
					this.#fixed.set(usage.window, this.#fixed.get(usage.window) ?? usage);
					this.#lastFixed = Math.max(this.#lastFixed ?? usage.window, usage.window);
					this.#settledThrough = Math.max(this.#settledThrough, usage.settledThrough);
				}

				report('usage.loaded', {lastFixed: this.#lastFixed, settledThrough: Number.isFinite(this.#settledThrough) ? this.#settledThrough : undefined});
			},
		});
	}

	async #fixNext(): Promise<void> {
		const {rows, collection, rounds, report, clock} = this.#options;
		const window = this.#findDueWindow();
		if (window === undefined) {
			return;
		}

		const usage: FixedUsage = {window, counts: collection.sum(window), settledThrough: Math.max(0, this.#settledThrough)};
		const result = await rows.fix(usage);
		if (result === 'fixed') {
			this.#fixed.set(window, usage);
			this.#lastFixed = window;
			const runs = [...usage.counts.values()].reduce((sum, count) => sum + count, 0);
			report('usage.fixed', {
				window, runs, accounts: usage.counts.size, daemons: rounds.reachedCount, missing: rounds.missing,
			});
			void this.#advanceReports();
			return;
		}

		report('usage.notFixed', {window, cause: result});
		// Another holder, or an earlier write of this one, may have fixed other counts.
		this.#isLoaded = result !== 'lost' && this.#isLoaded;
		this.#mayFixAt = clock.now() + loadRetryMs;
	}

	/** Returns the window whose counts are to be fixed next, if all daemons have answered or the time for it is over. */
	#findDueWindow(): number | undefined {
		const {collection, rounds, time, windowMs, dueMs} = this.#options;
		const {firstWindow} = collection;
		if (firstWindow === undefined) {
			return undefined;
		}

		const window = Math.max((this.#lastFixed ?? Number.NEGATIVE_INFINITY) + 1, this.#present - maxLateWindows, firstWindow, this.#firstAfterRestore);
		const sinceEndMs = time.now() - ((window + 1) * windowMs);
		const isDue = rounds.isComplete(window) || sinceEndMs >= dueMs * stragglerFraction;
		return isDue ? window : undefined;
	}

	async #advanceReports(): Promise<void> {
		const {lease, clock} = this.#options;
		const usage = this.#findUnreported();
		if (this.#isReporting || usage === undefined || lease.authority === undefined || clock.now() < this.#mayReportAt) {
			return;
		}

		this.#isReporting = true;
		try {
			await this.#report(usage);
		} finally {
			this.#isReporting = false;
		}
	}

	async #report({window, counts}: FixedUsage): Promise<void> {
		const {lease, duties, clock, time, windowMs, report, onResult} = this.#options;
		const {authority} = lease;
		if (authority === undefined) {
			return;
		}

		const result = await duties.reportUsage({window, counts}, authority, () => lease.mayAct(authority));
		onResult(result);
		report('usage.reported', {
			window, result, fencing: authority.fencing, sinceEndMs: Math.round(time.now() - ((window + 1) * windowMs)),
		});
		if (result === 'accepted' || result === 'rejected') {
			this.#settle(window);
		} else {
			this.#mayReportAt = clock.now() + reportRetryMs;
		}
	}

	#findUnreported(): FixedUsage | undefined {
		const unreported = [...this.#fixed.values()].filter(({window}) => window > this.#settledThrough && !this.#settled.has(window));
		return unreported.toSorted((a, b) => a.window - b.window)[0];
	}

	#settle(window: number): void {
		this.#settled.add(window);
		const first = this.#findUnreported()?.window;
		this.#settledThrough = Math.max(this.#settledThrough, (first ?? ((this.#lastFixed ?? window) + 1)) - 1);
	}

	#removeOld(): void {
		const oldest = this.#present - keptWindows;
		for (const window of this.#fixed.keys()) {
			if (window <= oldest) {
				this.#fixed.delete(window);
				this.#settled.delete(window);
			}
		}

		this.#options.collection.removeBefore(oldest);
	}
}
