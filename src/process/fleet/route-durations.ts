import type {Histogram} from 'hdr-histogram-js';
import {constructorFromBucketSize} from 'hdr-histogram-js/dist/JsHistogramFactory.js';

type Windows = {
	readonly startedAt: number;
	readonly current: Histogram;
	readonly previous: Histogram | undefined;
};

/** Durations are forgotten after one to two windows. */
const windowMs = 30_000;
const maxDurationMs = 3_600_000;
const significantDigits = 2;
const bucketBits = 32;
const usualPercentile = 95;

/** Time from the arrival to the end of recent requests that were answered by an upstream, for each route. */
export class RouteDurations {
	readonly #windows = new Map<string, Windows>();

	/** Records the duration of one request, in milliseconds. */
	record(route: string, durationMs: number, now: number): void {
		this.#rotate(route, now).current.recordValue(Math.min(maxDurationMs, Math.max(1, Math.round(durationMs))));
	}

	/** Duration that 95 of 100 recent requests of a route did not exceed, in milliseconds; undefined if there were none. */
	usualMs(route: string, now: number): number | undefined {
		if (!this.#windows.has(route)) {
			return undefined;
		}

		const {current, previous} = this.#rotate(route, now);
		const durations = [current, previous].filter(histogram => histogram !== undefined && histogram.totalCount > 0);
		return durations.length === 0 ? undefined : Math.max(...durations.map(histogram => histogram!.getValueAtPercentile(usualPercentile)));
	}

	#rotate(route: string, now: number): Windows {
		const windows = this.#windows.get(route);
		if (windows !== undefined && now - windows.startedAt < windowMs) {
			return windows;
		}

		const isRecent = windows !== undefined && now - windows.startedAt < 2 * windowMs;
		const rotated = {startedAt: now, current: createHistogram(), previous: isRecent ? windows.current : undefined};
		this.#windows.set(route, rotated);
		return rotated;
	}
}

function createHistogram(): Histogram {
	// The main entry point also loads WebAssembly and a compressor, which no histogram here needs.
	const histogram = new (constructorFromBucketSize(bucketBits))(1, maxDurationMs, significantDigits);
	histogram.autoResize = true;
	return histogram;
}
