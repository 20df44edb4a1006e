import {build} from 'hdr-histogram-js';
import type {SimulatedRequest} from './scenario.ts';

/** Result of one request; times are virtual milliseconds. */
export type RequestRecord = {
	readonly request: SimulatedRequest;
	firstTokenAt: number | undefined;
	finishedAt: number | undefined;
	isRefused: boolean;
};

/** Latency target of live work for the first token. */
export const firstTokenTargetMs = 740;
/** Latency target of live work for the mean time between tokens. */
export const betweenTokensTargetMs = 38;

/** Result of one simulated run. */
export type Outcome = {
	readonly records: readonly RequestRecord[];
	readonly roleChanges: number;
	/** Times at which role changes were ordered, in virtual milliseconds. */
	readonly roleChangeTimes: readonly number[];
	/** Availability zones of the changed engines, in the order of `roleChangeTimes`. */
	readonly roleChangeZones: readonly string[];
	readonly hedges: number;
	/** Tokens of hedged attempts, as a fraction of the tokens served. */
	readonly extraTokenFraction: number;
	readonly preemptions: number;
};

/** Returns true when a request finished and met both latency targets. */
export function isOnTime({request, firstTokenAt, finishedAt}: RequestRecord): boolean {
	if (firstTokenAt === undefined || finishedAt === undefined) {
		return false;
	}

	const gapMs = request.outputTokens < 2 ? 0 : (finishedAt - firstTokenAt) / (request.outputTokens - 1);
	return firstTokenAt - request.at <= firstTokenTargetMs && gapMs <= betweenTokensTargetMs;
}

/** Fraction of the requests that met both latency targets. */
export function onTimeFraction(records: readonly RequestRecord[]): number {
	return records.filter(record => isOnTime(record)).length / Math.max(1, records.length);
}

/** Requests that met both latency targets, per second. */
export function goodput(records: readonly RequestRecord[], durationMs: number): number {
	return records.filter(record => isOnTime(record)).length * 1000 / durationMs;
}

/** Percentile of a latency in milliseconds, from 0 to 100; refused and unfinished requests count as 600 s. */
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
