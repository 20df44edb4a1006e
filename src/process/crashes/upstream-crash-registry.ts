import type {Host} from '../../ports/host-list.ts';
import type {AttemptEnd, Attempt} from '../../request/attempt-listener.ts';
import {createRefusal, type CallerError} from '../../request/caller-error.ts';
import {CrashRegistry} from '../../request/crash-registry.ts';
import type {RequestDemand} from '../../request/request-demand.ts';
import type {Clock} from '../clock.ts';
import {CrashAttribution, type CrashNews, type AttemptResult} from './crash-attribution.ts';

/** What the registry needs from the rest of the daemon. */
export type UpstreamCrashRegistryOptions = {
	readonly clock: Clock;
	/** Sends news to the other daemons. */
	readonly announce: (news: CrashNews) => void;
	/** @default an attribution with all safety checks enabled */
	readonly attribution?: CrashAttribution;
};

const condemnedRefusal = createRefusal(422, 'request_crashes_upstreams', 'The request has crashed the upstreams that ran it.');
const pendingRefusal = createRefusal(503, 'request_under_suspicion', 'The request may have crashed upstreams; this is being settled.', 2);

/** Refuses requests that crash upstreams, based on the crashes that this daemon and its peers observe. */
export class UpstreamCrashRegistry extends CrashRegistry {
	readonly #options: UpstreamCrashRegistryOptions;
	readonly #attribution: CrashAttribution;

	constructor(options: UpstreamCrashRegistryOptions) {
		super();
		this.#options = options;
		this.#attribution = options.attribution ?? new CrashAttribution();
	}

	checkCondemned({fingerprint}: RequestDemand): CallerError | undefined {
		const status = this.#attribution.statusOf(fingerprint, this.#now());
		if (status === 'condemned') {
			return condemnedRefusal;
		}

		return status === 'pending' ? pendingRefusal : undefined;
	}

	selectAllowed({fingerprint}: RequestDemand, candidates: readonly Host[]): readonly Host[] {
		return this.#attribution.selectAllowed(fingerprint, candidates, this.#now());
	}

	attemptStarted({attemptId, demand, upstream, startedAt}: Attempt): void {
		this.#attribution.attemptStarted(attemptId, {upstream: upstream.id, fingerprint: demand.fingerprint, startedAt});
	}

	attemptEnded({attemptId}: Attempt, end: AttemptEnd): void {
		this.#attribution.attemptEnded(attemptId, toAttemptResult(end), this.#now());
		this.#announceNews();
	}

	/** Applies news from another daemon. */
	applyNews(news: CrashNews): void {
		this.#attribution.applyNews(news, this.#now());
		this.#announceNews();
	}

	/** Re-evaluates what depends on elapsed time; called every second. */
	tick(): void {
		this.#attribution.tick(this.#now());
		this.#announceNews();
	}

	#now(): number {
		return this.#options.clock.now();
	}

	#announceNews(): void {
		for (const news of this.#attribution.takeNews()) {
			this.#options.announce(news);
		}
	}
}

function toAttemptResult({outcome, status, isLeaving}: AttemptEnd): AttemptResult {
	if (outcome === 'complete') {
		return 'complete';
	}

	// An upstream that refuses a request with 503 has not crashed.
	return outcome === 'connection_lost' && status !== 503 && !isLeaving ? 'lost' : 'other';
}
