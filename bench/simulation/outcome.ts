import {build} from 'hdr-histogram-js';
import type {SimulatedRequest} from './scenario.ts';

/** What became of one request. */
export type RequestRecord = {
	readonly request: SimulatedRequest;
	firstTokenAt: number | undefined;
	finishedAt: number | undefined;
	isRefused: boolean;
};

/** Targets of live work. */
export const firstTokenTargetMs = 740;
/** Target for the mean time between tokens. */
export const betweenTokensTargetMs = 38;

/** Result of one simulated run. */
export type Outcome = {
	readonly records: readonly RequestRecord[];
	readonly roleChanges: number;
	/** Times of role changes. */
	readonly roleChangeTimes: readonly number[];
	/** Zones of the changed engines, in the same order. */
	readonly roleChangeZones: readonly string[];
	readonly hedges: number;
	/** Tokens of hedges and moves, as a part of the tokens served. */
	readonly extraTokenFraction: number;
	readonly preemptions: number;
};

/** True when a request met both latency targets. */
export function isOnTime({request, firstTokenAt, finishedAt}: RequestRecord): boolean {
	if (firstTokenAt === undefined || finishedAt === undefined) {
		return false;
	}

	const gapMs = request.outputTokens < 2 ? 0 : (finishedAt - firstTokenAt) / (request.outputTokens - 1);
	return firstTokenAt - request.at <= firstTokenTargetMs && gapMs <= betweenTokensTargetMs;
}

/** Part of the requests that were on time. */
export function onTimeFraction(records: readonly RequestRecord[]): number {
	return records.filter(record => isOnTime(record)).length / Math.max(1, records.length);
}

/** Requests on time in a second. */
export function goodput(records: readonly RequestRecord[], durationMs: number): number {
	return records.filter(record => isOnTime(record)).length * 1000 / durationMs;
}

/** Quantile of a latency in milliseconds; refused and unfinished requests count as the longest. */
export function latencyQuantile(records: readonly RequestRecord[], percentile: number, kind: 'first-token' | 'whole' = 'first-token'): number {
	const histogram = build({highestTrackableValue: unfinishedLatencyMs * 10, numberOfSignificantValueDigits: 3});
	for (const {request, firstTokenAt, finishedAt, isRefused} of records) {
		const end = kind === 'whole' ? finishedAt : firstTokenAt;
		const latencyMs = isRefused || end === undefined ? unfinishedLatencyMs : end - request.at;
		histogram.recordValue(Math.round(latencyMs * 10));
	}

	return histogram.getValueAtPercentile(percentile) / 10;
}

const unfinishedLatencyMs = 600_000;
