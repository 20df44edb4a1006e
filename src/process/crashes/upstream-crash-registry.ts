import type {Host} from '../../ports/host-list.ts';
import type {AttemptEnd, Attempt} from '../../request/attempt-listener.ts';
import {createRefusal, type CallerError} from '../../request/caller-error.ts';
import {CrashRegistry} from '../../request/crash-registry.ts';
import type {RequestDemand} from '../../request/request-demand.ts';
import type {AttemptResult} from './crash-attribution.ts';
import type {CrashMonitor} from './crash-monitor.ts';

const condemnedRefusal = createRefusal(422, 'request_crashes_upstreams', 'The request has crashed the upstreams that ran it.');
const millisecondsPerSecond = 1000;

/** Refuses requests that crash upstreams on the product's own interface. */
export class UpstreamCrashRegistry extends CrashRegistry {
	readonly #monitor: CrashMonitor;

	constructor(monitor: CrashMonitor) {
		super();
		this.#monitor = monitor;
	}

	checkCondemned(demand: RequestDemand): CallerError | undefined {
		const withheldMs = this.#monitor.withheldForMs(demand);
		if (withheldMs === 0) {
			return undefined;
		}

		return this.#monitor.statusOf(demand) === 'condemned' ? condemnedRefusal : createPendingRefusal(withheldMs);
	}

	selectAllowed(demand: RequestDemand, candidates: readonly Host[]): readonly Host[] {
		return this.#monitor.selectAllowed(demand, candidates);
	}

	attemptStarted({attemptId, demand, upstream, startedAt}: Attempt): void {
		this.#monitor.attemptStarted(attemptId, {
			upstream: upstream.id,
			address: upstream.address,
			fingerprint: demand.fingerprint,
			promptParts: demand.promptParts,
			startedAt,
			details: {
				request: demand.requestId, customer: demand.customer, method: demand.method, path: demand.call.path,
			},
		});
	}

	attemptEnded({attemptId, upstream}: Attempt, end: AttemptEnd): void {
		this.#monitor.attemptEnded(attemptId, upstream.id, toAttemptResult(end));
	}
}

function createPendingRefusal(withheldMs: number): CallerError {
	return createRefusal(503, 'request_under_suspicion', 'The request may have crashed upstreams; this is being settled.', Math.ceil(withheldMs / millisecondsPerSecond));
}

function toAttemptResult({outcome, status, isLeaving}: AttemptEnd): AttemptResult {
	if (outcome === 'complete') {
		return status === undefined || status < 300 ? 'complete' : 'declined';
	}

	// An upstream that refuses a request with 503 has not crashed.
	return outcome === 'connection_lost' && status !== 503 && !isLeaving ? 'lost' : 'other';
}
