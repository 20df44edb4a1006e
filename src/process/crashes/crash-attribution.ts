import {
	CrashHistory, refusalDurationMs, type CrashHistoryGuards, type SuspicionStatus,
} from './crash-history.ts';
import {InFlightAttempts, type InFlightAttempt} from './in-flight-attempts.ts';

/** Result of an attempt as far as crashes are concerned: `lost` if the upstream may have crashed under it. */
export type AttemptResult = 'complete' | 'lost' | 'other';

/** Crash information that daemons send to each other. */
export type CrashNews
	/** The request was in flight when an upstream crashed. */
	= | {readonly kind: 'suspected'; readonly fingerprint: string; readonly upstream: string; readonly ageMs: number}
		/** The request is refused from now on. */
		| {readonly kind: 'condemned'; readonly fingerprint: string; readonly refusedForMs: number}
		/** The request has completed, or its crashes have another explanation. */
		| {readonly kind: 'cleared'; readonly fingerprint: string};

/** Safety checks of crash attribution; tests disable single checks to show which failure each one prevents. */
export type CrashAttributionGuards = CrashHistoryGuards & {
	/** Runs suspects on different upstreams. */
	readonly separatesSuspects: boolean;
	/** No longer suspects a request that has completed. */
	readonly clearsCompleted: boolean;
};

/** A possible crash of an upstream, with the attempts that were in flight when the first of them lost its connection. */
type SuspectedCrash = {
	readonly upstream: string;
	readonly startedAt: number;
	readonly attempts: ReadonlyMap<number, InFlightAttempt>;
	/** Ids of the attempts that have lost their connection. */
	readonly lost: Set<number>;
	/** Ids of the attempts that have not ended yet. */
	readonly open: Set<number>;
};

/** Time within which all attempts on a crashed upstream lose their connections, in milliseconds. */
const crashWindowMs = 2000;

/** Maximum number of requests of one crash that are reported to peers; bounds the control traffic. */
const maxReportedRequests = 32;
const maxCompletedRequests = 10_000;

/** All safety checks enabled. */
export const allCrashAttributionGuards: CrashAttributionGuards = {
	requiresUniqueCulprit: true, waitsForOtherCulprits: true, excludesCorrelatedFailures: true, separatesSuspects: true, clearsCompleted: true,
};

/** Determines which requests crash upstreams, from the requests that were in flight in each crash. All times are monotonic, in milliseconds. */
export class CrashAttribution {
	readonly #guards: CrashAttributionGuards;
	readonly #attempts = new InFlightAttempts();
	readonly #history: CrashHistory;
	readonly #completed = new Set<string>();
	readonly #suspectedCrashes = new Map<string, SuspectedCrash>();
	#news: CrashNews[] = [];

	constructor(guards: CrashAttributionGuards = allCrashAttributionGuards) {
		this.#guards = guards;
		this.#history = new CrashHistory(guards);
	}

	/** Records the start of an attempt. */
	attemptStarted(attemptId: number, attempt: InFlightAttempt): void {
		this.#attempts.add(attemptId, attempt);
	}

	/** Records the end of an attempt. */
	attemptEnded(attemptId: number, result: AttemptResult, now: number): void {
		const attempt = this.#attempts.get(attemptId);
		if (attempt === undefined) {
			return;
		}

		if (result === 'lost' && !this.#suspectedCrashes.has(attempt.upstream)) {
			this.#openSuspectedCrash(attempt.upstream, now);
		}

		this.#attempts.remove(attemptId);
		if (result === 'complete') {
			this.#clearCompleted(attempt.fingerprint, now);
		}

		this.#updateSuspectedCrash(attempt.upstream, attemptId, result, now);
	}

	/** Decides suspected crashes whose time window has passed, and re-evaluates the records. */
	tick(now: number): void {
		for (const crash of this.#suspectedCrashes.values()) {
			if (now - crash.startedAt >= crashWindowMs) {
				this.#closeSuspectedCrash(crash, now, crash.lost.size >= crash.open.size);
			}
		}

		this.#evaluate(now);
	}

	/** Returns how strongly a request is suspected. */
	statusOf(fingerprint: string, now: number): SuspicionStatus {
		const status = this.#history.statusOf(fingerprint, now);
		return status === 'free' && this.#isInSuspectedCrash(fingerprint) ? 'suspect' : status;
	}

	/** Applies news from another daemon. */
	applyNews(news: CrashNews, now: number): void {
		switch (news.kind) {
			case 'suspected': {
				if (!this.#completed.has(news.fingerprint)) {
					this.#history.addPeerReport(news.upstream, now - news.ageMs, news.fingerprint);
				}

				break;
			}

			case 'condemned': {
				this.#history.addPeerRefusal(news.fingerprint, now + Math.min(news.refusedForMs, refusalDurationMs));
				break;
			}

			case 'cleared': {
				this.#history.removePeerRefusal(news.fingerprint);
				this.#history.removeRequest(news.fingerprint);
				break;
			}
		}

		this.#evaluate(now);
	}

	/** Selects the upstreams on which a request may run: suspects run on different upstreams, and other requests avoid them if enough upstreams remain. */
	selectAllowed<Upstream extends {readonly id: string}>(fingerprint: string, candidates: readonly Upstream[], now: number): readonly Upstream[] {
		if (this.#history.isEmpty && this.#suspectedCrashes.size === 0) {
			return candidates;
		}

		const status = this.statusOf(fingerprint, now);
		if (status === 'condemned' || status === 'pending') {
			return [];
		}

		if (!this.#guards.separatesSuspects || candidates.length === 0) {
			return candidates;
		}

		const otherSuspects = this.#attempts.countOthers(fingerprint, this.#listSuspects());
		const minSuspects = Math.min(...candidates.map(({id}) => otherSuspects.get(id) ?? 0));
		if (status === 'contested' && minSuspects > 0) {
			// Several requests were in the same crashes; only a run without any other suspect shows which of them is the cause.
			return [];
		}

		const leastSuspects = candidates.filter(({id}) => (otherSuspects.get(id) ?? 0) === minSuspects);
		if (status === 'contested') {
			return [chooseByRank(this.#history.rankOf(fingerprint), candidates, leastSuspects)];
		}

		return status === 'suspect' || (minSuspects === 0 && leastSuspects.length * 2 >= candidates.length) ? leastSuspects : candidates;
	}

	/** Returns and removes the news for other daemons that has accumulated since the last call. */
	takeNews(): readonly CrashNews[] {
		const news = this.#news;
		this.#news = [];
		return news;
	}

	#openSuspectedCrash(upstream: string, now: number): void {
		const attempts = this.#attempts.attemptsOn(upstream);
		this.#suspectedCrashes.set(upstream, {
			upstream, startedAt: now, attempts, lost: new Set(), open: new Set(attempts.keys()),
		});
	}

	#updateSuspectedCrash(upstream: string, attemptId: number, result: AttemptResult, now: number): void {
		const crash = this.#suspectedCrashes.get(upstream);
		if (crash?.attempts.has(attemptId) !== true) {
			return;
		}

		crash.open.delete(attemptId);
		if (result === 'complete') {
			// The upstream still answers, so it lost a connection without crashing.
			this.#closeSuspectedCrash(crash, now, false);
			return;
		}

		if (result === 'lost') {
			crash.lost.add(attemptId);
		}

		if (crash.open.size === 0) {
			this.#closeSuspectedCrash(crash, now, true);
		}
	}

	#closeSuspectedCrash({upstream, attempts}: SuspectedCrash, now: number, isCrash: boolean): void {
		this.#suspectedCrashes.delete(upstream);
		const suspects = new Set(attempts.values().map(({fingerprint}) => fingerprint)).difference(this.#completed);
		if (!isCrash || suspects.size === 0) {
			return;
		}

		this.#history.addLocalCrash(upstream, now, suspects);
		for (const fingerprint of [...suspects].slice(0, maxReportedRequests)) {
			this.#news.push({
				kind: 'suspected', fingerprint, upstream, ageMs: 0,
			});
		}

		this.#evaluate(now);
	}

	#evaluate(now: number): void {
		const {condemned, lifted} = this.#history.evaluate(now);
		// All daemons come to the same conclusions; only those that observed a crash themselves announce them.
		for (const fingerprint of condemned.filter(candidate => this.#history.hasLocalCrash(candidate))) {
			this.#news.push({kind: 'condemned', fingerprint, refusedForMs: refusalDurationMs});
		}

		for (const fingerprint of lifted.filter(candidate => this.#history.hasLocalCrash(candidate))) {
			this.#news.push({kind: 'cleared', fingerprint});
		}
	}

	/** Clears a request of suspicion: one that crashes every upstream that runs it never completes. */
	#clearCompleted(fingerprint: string, now: number): void {
		if (!this.#guards.clearsCompleted) {
			return;
		}

		this.#completed.delete(fingerprint);
		this.#completed.add(fingerprint);
		const [oldest] = this.#completed;
		if (this.#completed.size > maxCompletedRequests && oldest !== undefined) {
			this.#completed.delete(oldest);
		}

		if (this.#history.countCrashes(fingerprint) > 0) {
			this.#history.removeRequest(fingerprint);
			this.#news.push({kind: 'cleared', fingerprint});
			this.#evaluate(now);
		}
	}

	#listSuspects(): ReadonlySet<string> {
		const inSuspectedCrashes = [...this.#suspectedCrashes.values()].flatMap(({attempts}) => [...attempts.values()]);
		return new Set([...this.#history.suspects, ...inSuspectedCrashes.map(attempt => attempt.fingerprint)]);
	}

	/** True if the request was in flight in a suspected crash that is still undecided. */
	#isInSuspectedCrash(fingerprint: string): boolean {
		return this.#suspectedCrashes.values().some(({attempts}) => attempts.values().some(attempt => attempt.fingerprint === fingerprint));
	}
}

/** Chooses an upstream by rank, so that daemons with the same view run contested requests on different upstreams without coordination. */
function chooseByRank<Upstream extends {readonly id: string}>(
	rank: number,
	candidates: readonly Upstream[],
	preferred: readonly Upstream[],
): Upstream {
	const sorted = candidates.toSorted((a, b) => (a.id < b.id ? -1 : 1));
	const assigned = sorted[rank % sorted.length]!;
	return preferred.includes(assigned) ? assigned : preferred[rank % preferred.length]!;
}
