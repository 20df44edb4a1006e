import type {RouteKind} from '../../version/routes/route-configuration.ts';

/** Times of a planned stop, in milliseconds from its start. */
export type StopTimes = {
	/** Time that the load balancer needs to take the daemon out of rotation: it checks readiness once a second and needs two failures. */
	readonly rotationDelayMs: number;
	/** Time at which each request in flight gets its final answer. */
	readonly endRequestsMs: number;
	/** Time at which the process exits even with requests in flight. */
	readonly exitMs: number;
};

/** What is known of how long a request can and will take, in milliseconds. */
export type RequestTimes = {
	readonly kind: RouteKind;
	/** Time from the start of the stop to the arrival; negative for an earlier arrival. */
	readonly arrivedAfterMs: number;
	/** Time until the caller's deadline or the timeout of the route. */
	readonly remainingMs: number;
	readonly targetLatencyMs: number;
	/** Time that most recent requests of the route took; undefined if there were none. */
	readonly usualMs: number | undefined;
};

/** The process exits this long before it would be killed. */
const exitMarginMs = 250;
/** Time to hand the final answers to the operating system and to write the log. */
const answerMarginMs = 350;
/** Multiple of the route's target latency that a request takes at most, as long as nothing else is known. */
const unknownTimeFactor = 3;

/** Derives the times of a stop from the time after which the process is killed, in milliseconds. */
export function createStopTimes(graceMs: number): StopTimes {
	const exitMs = Math.max(0, graceMs - exitMarginMs);
	return {rotationDelayMs: 2600, endRequestsMs: Math.max(0, exitMs - answerMarginMs), exitMs};
}

/**
True when a request that has not been sent can end before the process exits, `passedMs` milliseconds after the start of the stop.

Such a request is taken on arrival and may be sent; any other one is refused as not run, so that a caller tries another daemon
while it has time. Its own limits are certain; how long requests of its route usually take is an estimate. A stream that outlasts
the estimate can only be cut, so none is taken on an estimate once the load balancer has found other daemons for its caller.
*/
export function canEndBeforeExit({endRequestsMs, rotationDelayMs}: StopTimes, passedMs: number, request: RequestTimes): boolean {
	const isEstimated = request.kind !== 'stream' || request.arrivedAfterMs < rotationDelayMs;
	return Math.min(request.remainingMs, isEstimated ? estimateMs(request) : Number.POSITIVE_INFINITY) <= endRequestsMs - passedMs;
}

/** How long a stream takes depends on its answer, so that only its limits are known if no other one has ended. */
function estimateMs({kind, usualMs, targetLatencyMs}: RequestTimes): number {
	return usualMs ?? (kind === 'stream' ? Number.POSITIVE_INFINITY : targetLatencyMs * unknownTimeFactor);
}
