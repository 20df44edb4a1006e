import type {Route} from '../../version/routes/route-configuration.ts';

/** Callers are assumed to abandon a stream after this time without an event, in milliseconds, or after the multiples below if those are longer. */
const minPatienceMs = 2000;
/** Multiple of the route's target latency. */
const latencyMultiple = 4;
/** Multiple of the route's target gap between events. */
const gapMultiple = 8;
/** Time in which another upstream prefills the prompt again and sends the next event, in milliseconds. */
const takeoverMs = 700;

/** Time without an event after which the caller of a stream is assumed to leave, in milliseconds. */
export function callerPatienceMs({targetLatencyMs, targetGapMs}: Pick<Route, 'targetLatencyMs' | 'targetGapMs'>): number {
	return Math.max(minPatienceMs, targetLatencyMs * latencyMultiple, (targetGapMs ?? 0) * gapMultiple);
}

/**
Time without an event after which a stream is also sent to another upstream, in milliseconds.

The answer is late by then. An upstream that merely stands still goes on sooner in most cases, and a run elsewhere prefills the
prompt again, so the other upstream gets just the time that it needs before the caller leaves.
*/
export function streamSilenceMs(route: Pick<Route, 'targetLatencyMs' | 'targetGapMs'>): number {
	return callerPatienceMs(route) - takeoverMs;
}
