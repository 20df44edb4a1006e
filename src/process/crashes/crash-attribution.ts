import {
	CrashHistory, refusalDurationMs, type CrashHistoryGuards, type SuspicionStatus,
} from './crash-history.ts';
import {InFlightAttempts, type InFlightAttempt} from './in-flight-attempts.ts';

/** How an attempt ended, as far as crashes are concerned. */
export type AttemptResult = 'complete' | 'lost' | 'other';

/** What daemons tell each other. */
export type CrashNews
	/** A request was in flight when an upstream crashed. */
	= | {readonly kind: 'suspected'; readonly fingerprint: string; readonly upstream: string; readonly ageMs: number}
		/** A request is refused from now on. */
		| {readonly kind: 'condemned'; readonly fingerprint: string; readonly refusedForMs: number}
		/** A request has completed, or something else explains its crashes. */
		| {readonly kind: 'cleared'; readonly fingerprint: string};

/** Checks of the logic; all are on except in tests that show what each of them prevents. */
export type CrashAttributionGuards = CrashHistoryGuards & {
	/** Suspects run apart from each other. */
	readonly separatesSuspects: boolean;
	/** A request that has completed is no longer a suspect. */
	readonly clearsCompleted: boolean;
};

/** Attempts that were in flight on an upstream when the first of them lost its connection. */
type SuspectedCrash = {
	readonly upstream: string;
	readonly startedAt: number;
	readonly attempts: ReadonlyMap<number, InFlightAttempt>;
	readonly lost: Set<number>;
	readonly open: Set<number>;
};

/** Time within which the attempts of a crashed upstream lose their connections, in milliseconds. */
const crashWindowMs = 2000;

/** Most requests of one crash that are reported to peers, for the bound on control traffic. */
const maxReportedRequests = 32;
const maxCompletedRequests = 10_000;

/** All checks. */
export const allCrashAttributionGuards: CrashAttributionGuards = {
	condemnsOnlyOne: true, waitsForExplanation: true, excludesCorrelatedFailures: true, separatesSuspects: true, clearsCompleted: true,
};

/** Finds requests that crash upstreams among those that were in flight with them; all times are monotonic milliseconds. */
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

	/** Notes an attempt. */
	attemptStarted(attempt: number, flight: InFlightAttempt): void {
		this.#attempts.add(attempt, flight);
	}

	/** Notes the end of an attempt. */
	attemptEnded(attempt: number, end: AttemptResult, now: number): void {
		const flight = this.#attempts.get(attempt);
		if (flight === undefined) {
			return;
		}

		if (end === 'lost' && !this.#suspectedCrashes.has(flight.upstream)) {
			this.#openSuspectedCrash(flight.upstream, now);
		}

		this.#attempts.remove(attempt);
		if (end === 'complete') {
			this.#clearCompleted(flight.fingerprint, now);
		}

		this.#updateSuspectedCrash(flight.upstream, attempt, end, now);
	}

	/** Closes episodes whose time is over and draws conclusions that time alone brings. */
	tick(now: number): void {
		for (const episode of this.#suspectedCrashes.values()) {
			if (now - episode.startedAt >= crashWindowMs) {
				this.#closeSuspectedCrash(episode, now, episode.lost.size >= episode.open.size);
			}
		}

		this.#evaluate(now);
	}

	/** Standing of a request. */
	statusOf(fingerprint: string, now: number): SuspicionStatus {
		const standing = this.#history.statusOf(fingerprint, now);
		return standing === 'free' && this.#isInSuspectedCrash(fingerprint) ? 'suspect' : standing;
	}

	/** Learns what another daemon has told. */
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

	/** Selects upstreams for a request: suspects run apart from each other, and others apart from them where there is room. */
	selectUsable<Upstream extends {readonly id: string}>(fingerprint: string, candidates: readonly Upstream[], now: number): readonly Upstream[] {
		if (this.#history.isEmpty && this.#suspectedCrashes.size === 0) {
			return candidates;
		}

		const standing = this.statusOf(fingerprint, now);
		if (standing === 'condemned' || standing === 'pending') {
			return [];
		}

		if (!this.#guards.separatesSuspects || candidates.length === 0) {
			return candidates;
		}

		const counts = this.#attempts.countOthers(fingerprint, this.#listSuspects());
		const fewest = Math.min(...candidates.map(({id}) => counts.get(id) ?? 0));
		if (standing === 'contested' && fewest > 0) {
			// Several requests were in the same crashes; only a run apart from all suspects tells them apart.
			return [];
		}

		const apart = candidates.filter(({id}) => (counts.get(id) ?? 0) === fewest);
		if (standing === 'contested') {
			return [chooseByRank(this.#history.rankOf(fingerprint), candidates, apart)];
		}

		return standing === 'suspect' || (fewest === 0 && apart.length * 2 >= candidates.length) ? apart : candidates;
	}

	/** Returns what other daemons should be told since the last call. */
	takeNews(): readonly CrashNews[] {
		const news = this.#news;
		this.#news = [];
		return news;
	}

	#openSuspectedCrash(upstream: string, now: number): void {
		const flights = this.#attempts.attemptsOn(upstream);
		this.#suspectedCrashes.set(upstream, {
			upstream, startedAt: now, attempts: flights, lost: new Set(), open: new Set(flights.keys()),
		});
	}

	#updateSuspectedCrash(upstream: string, attempt: number, end: AttemptResult, now: number): void {
		const episode = this.#suspectedCrashes.get(upstream);
		if (episode?.attempts.has(attempt) !== true) {
			return;
		}

		episode.open.delete(attempt);
		if (end === 'complete') {
			// The upstream still answers: only a connection was lost.
			this.#closeSuspectedCrash(episode, now, false);
			return;
		}

		if (end === 'lost') {
			episode.lost.add(attempt);
		}

		if (episode.open.size === 0) {
			this.#closeSuspectedCrash(episode, now, true);
		}
	}

	#closeSuspectedCrash({upstream, attempts: flights}: SuspectedCrash, now: number, isCrash: boolean): void {
		this.#suspectedCrashes.delete(upstream);
		const suspects = new Set(flights.values().map(({fingerprint}) => fingerprint)).difference(this.#completed);
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
		// All daemons draw the same conclusions; only those that have seen a crash themselves spread them.
		for (const fingerprint of condemned.filter(name => this.#history.hasLocalCrash(name))) {
			this.#news.push({kind: 'condemned', fingerprint, refusedForMs: refusalDurationMs});
		}

		for (const fingerprint of lifted.filter(name => this.#history.hasLocalCrash(name))) {
			this.#news.push({kind: 'cleared', fingerprint});
		}
	}

	/** A request that crashes each upstream that runs it never completes. */
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
		const inEpisodes = [...this.#suspectedCrashes.values()].flatMap(({attempts: flights}) => [...flights.values()]);
		return new Set([...this.#history.suspects, ...inEpisodes.map(flight => flight.fingerprint)]);
	}

	/** True while an upstream may have crashed under the request. */
	#isInSuspectedCrash(fingerprint: string): boolean {
		return this.#suspectedCrashes.values().some(({attempts: flights}) => flights.values().some(flight => flight.fingerprint === fingerprint));
	}
}

/** Chooses an upstream so that daemons with the same view place contested requests apart without asking each other. */
function chooseByRank<Upstream extends {readonly id: string}>(
	rank: number,
	candidates: readonly Upstream[],
	apart: readonly Upstream[],
): Upstream {
	const sorted = candidates.toSorted((a, b) => (a.id < b.id ? -1 : 1));
	const assigned = sorted[rank % sorted.length]!;
	return apart.includes(assigned) ? assigned : apart[rank % apart.length]!;
}
