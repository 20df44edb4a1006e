import type {ServiceWork} from './service-work.ts';

/** Rate at which work arrives for a service at all daemons together. */
export type WorkRate = {
	/** Mean number of engines that the work of the last seconds keeps busy. */
	readonly busy: number;
	/** The largest such number within the last `peakWindowMs`. */
	readonly peakBusy: number;
	/** Part of the work of the last seconds that was refused, from 0 to 1. */
	readonly refusedShare: number;
	/** Time since the first work, in milliseconds; undefined if there was none yet. */
	readonly observedMs: number | undefined;
};

/** Time within which a peak counts, in milliseconds; longer than the period of the waves in which load comes. */
export const peakWindowMs = 15_000;
/** Length of the intervals in which work is summed, in milliseconds; that in which daemons tell of it. */
const intervalMs = 500;
/** Intervals over which a rate is averaged, so that single long prompts do not look like a peak. */
const averagedIntervals = 4;
/** Work of a daemon that was not heard for longer than this counts as having arrived within this time, in milliseconds. */
const maxSpreadMs = 4000;

type Interval = {
	arrivedMs: number;
	refusedMs: number;
};

type Source = {
	readonly heardAt: number;
	readonly work: ServiceWork;
};

/** Rates of the work that all daemons report as sums since their start, so that a lost report delays work and loses none. */
export class WorkRates {
	readonly #services = new Map<string, {readonly firstAt: number; readonly intervals: Map<number, Interval>}>();
	readonly #sources = new Map<string, Map<string, Source>>();
	readonly #startedAt: number;

	constructor(now: number) {
		this.#startedAt = now;
	}

	/** Applies the report of a daemon; what it had counted before its first report is left out, unless it is this daemon's own. */
	hear(daemon: string, reports: readonly ServiceWork[], now: number, isOwn = false): void {
		const sources = this.#sources.get(daemon) ?? new Map<string, Source>();
		this.#sources.set(daemon, sources);
		for (const work of reports) {
			const known = sources.get(work.service);
			sources.set(work.service, {heardAt: now, work});
			if (known !== undefined || isOwn) {
				this.#addDifference(work, known ?? {heardAt: this.#startedAt, work: {...work, arrivedMs: 0, refusedMs: 0}}, now);
			}
		}
	}

	/** Rate of the work for a service. */
	measure(service: string, now: number): WorkRate {
		const known = this.#services.get(service);
		if (known === undefined) {
			return {
				busy: 0, peakBusy: 0, refusedShare: 0, observedMs: undefined,
			};
		}

		// The current interval is not complete.
		const last = Math.floor(now / intervalMs) - 1;
		const sum = (end: number): Interval => {
			const total = {arrivedMs: 0, refusedMs: 0};
			for (let index = end - averagedIntervals + 1; index <= end; index += 1) {
				const interval = known.intervals.get(index);
				total.arrivedMs += interval?.arrivedMs ?? 0;
				total.refusedMs += interval?.refusedMs ?? 0;
			}

			return total;
		};

		const recent = sum(last);
		const toBusy = ({arrivedMs}: Interval) => arrivedMs / (averagedIntervals * intervalMs);
		const ends = Array.from({length: peakWindowMs / intervalMs}, (_, index) => last - index);
		return {
			busy: toBusy(recent),
			peakBusy: Math.max(...ends.map(end => toBusy(sum(end)))),
			refusedShare: recent.arrivedMs === 0 ? 0 : Math.min(1, recent.refusedMs / recent.arrivedMs),
			observedMs: now - known.firstAt,
		};
	}

	/** Spreads what was counted since the last report evenly over the time since then. */
	#addDifference(work: ServiceWork, {heardAt, work: before}: Source, now: number): void {
		// Sums fall when a daemon has restarted.
		const isRestarted = work.arrivedMs < before.arrivedMs || work.refusedMs < before.refusedMs;
		const arrivedMs = work.arrivedMs - (isRestarted ? 0 : before.arrivedMs);
		const refusedMs = work.refusedMs - (isRestarted ? 0 : before.refusedMs);
		if (arrivedMs === 0 && refusedMs === 0) {
			return;
		}

		const first = Math.floor(Math.max(heardAt, now - maxSpreadMs) / intervalMs);
		const last = Math.max(first, Math.ceil(now / intervalMs) - 1);
		const {intervals} = this.#service(work.service, now);
		for (let index = first; index <= last; index += 1) {
			const interval = intervals.get(index) ?? {arrivedMs: 0, refusedMs: 0};
			interval.arrivedMs += arrivedMs / (last - first + 1);
			interval.refusedMs += refusedMs / (last - first + 1);
			intervals.set(index, interval);
		}

		const oldest = last - ((peakWindowMs / intervalMs) + averagedIntervals);
		for (const index of [...intervals.keys()].filter(other => other < oldest)) {
			intervals.delete(index);
		}
	}

	#service(service: string, now: number): {readonly intervals: Map<number, Interval>} {
		const known = this.#services.get(service) ?? {firstAt: now, intervals: new Map<number, Interval>()};
		this.#services.set(service, known);
		return known;
	}
}
