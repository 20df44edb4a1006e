import {
	CrashLedger, refusalMs, type LedgerGuards, type Standing,
} from './crash-ledger.ts';
import {FlightBoard, type Flight} from './flight-board.ts';

/** How an attempt ended, as far as crashes are concerned. */
export type FlightEnd = 'complete' | 'lost' | 'other';

/** What daemons tell each other. */
export type CrashNews
	/** A request was in flight when an upstream crashed. */
	= | {readonly kind: 'suspected'; readonly fingerprint: string; readonly upstream: string; readonly ageMs: number}
		/** A request is refused from now on. */
		| {readonly kind: 'condemned'; readonly fingerprint: string; readonly refusedForMs: number}
		/** A request has completed, or something else explains its crashes. */
		| {readonly kind: 'cleared'; readonly fingerprint: string};

/** Checks of the logic; all are on except in tests that show what each of them prevents. */
export type SuspicionGuards = LedgerGuards & {
	/** Suspects run apart from each other. */
	readonly separatesSuspects: boolean;
	/** A request that has completed is no longer a suspect. */
	readonly clearsCompleted: boolean;
};

/** Attempts that were in flight on an upstream when the first of them lost its connection. */
type Episode = {
	readonly upstream: string;
	readonly startedAt: number;
	readonly flights: ReadonlyMap<number, Flight>;
	readonly lost: Set<number>;
	readonly open: Set<number>;
};

/** Time within which the attempts of a crashed upstream lose their connections, in milliseconds. */
const episodeMs = 2000;

/** Most requests of one crash that are reported to peers, for the bound on control traffic. */
const reportLimit = 32;
const completedLimit = 10_000;

/** All checks. */
export const allSuspicionGuards: SuspicionGuards = {
	condemnsOnlyOne: true, waitsForExplanation: true, expectsWideFailures: true, separatesSuspects: true, clearsCompleted: true,
};

/** Finds requests that crash upstreams among those that were in flight with them; all times are monotonic milliseconds. */
export class CrashSuspicion {
	readonly #guards: SuspicionGuards;
	readonly #board = new FlightBoard();
	readonly #ledger: CrashLedger;
	readonly #completed = new Set<string>();
	readonly #episodes = new Map<string, Episode>();
	#news: CrashNews[] = [];

	constructor(guards: SuspicionGuards = allSuspicionGuards) {
		this.#guards = guards;
		this.#ledger = new CrashLedger(guards);
	}

	/** Notes an attempt. */
	started(attempt: number, flight: Flight): void {
		this.#board.add(attempt, flight);
	}

	/** Notes the end of an attempt. */
	ended(attempt: number, end: FlightEnd, now: number): void {
		const flight = this.#board.get(attempt);
		if (flight === undefined) {
			return;
		}

		if (end === 'lost' && !this.#episodes.has(flight.upstream)) {
			this.#openEpisode(flight.upstream, now);
		}

		this.#board.remove(attempt);
		if (end === 'complete') {
			this.#clear(flight.fingerprint, now);
		}

		this.#advanceEpisode(flight.upstream, attempt, end, now);
	}

	/** Closes episodes whose time is over and draws conclusions that time alone brings. */
	tick(now: number): void {
		for (const episode of this.#episodes.values()) {
			if (now - episode.startedAt >= episodeMs) {
				this.#close(episode, now, episode.lost.size >= episode.open.size);
			}
		}

		this.#evaluate(now);
	}

	/** Standing of a request. */
	standingOf(fingerprint: string, now: number): Standing {
		const standing = this.#ledger.standingOf(fingerprint, now);
		return standing === 'free' && this.#isInEpisode(fingerprint) ? 'suspect' : standing;
	}

	/** Learns what another daemon has told. */
	learn(news: CrashNews, now: number): void {
		switch (news.kind) {
			case 'suspected': {
				if (!this.#completed.has(news.fingerprint)) {
					this.#ledger.addReported(news.upstream, now - news.ageMs, news.fingerprint);
				}

				break;
			}

			case 'condemned': {
				this.#ledger.learn(news.fingerprint, now + Math.min(news.refusedForMs, refusalMs));
				break;
			}

			case 'cleared': {
				this.#ledger.forget(news.fingerprint);
				this.#ledger.clear(news.fingerprint);
				break;
			}
		}

		this.#evaluate(now);
	}

	/** Selects upstreams for a request: suspects run apart from each other, and others apart from them where there is room. */
	select<Upstream extends {readonly id: string}>(fingerprint: string, candidates: readonly Upstream[], now: number): readonly Upstream[] {
		if (this.#ledger.isEmpty && this.#episodes.size === 0) {
			return candidates;
		}

		const standing = this.standingOf(fingerprint, now);
		if (standing === 'condemned' || standing === 'pending') {
			return [];
		}

		if (!this.#guards.separatesSuspects || candidates.length === 0) {
			return candidates;
		}

		const counts = this.#board.countOthers(fingerprint, this.#listSuspects());
		const fewest = Math.min(...candidates.map(({id}) => counts.get(id) ?? 0));
		if (standing === 'contested' && fewest > 0) {
			// Several requests were in the same crashes; only a run apart from all suspects tells them apart.
			return [];
		}

		const apart = candidates.filter(({id}) => (counts.get(id) ?? 0) === fewest);
		if (standing === 'contested') {
			return [chooseByRank(this.#ledger.rankOf(fingerprint), candidates, apart)];
		}

		return standing === 'suspect' || (fewest === 0 && apart.length * 2 >= candidates.length) ? apart : candidates;
	}

	/** Returns what other daemons should be told since the last call. */
	takeNews(): readonly CrashNews[] {
		const news = this.#news;
		this.#news = [];
		return news;
	}

	#openEpisode(upstream: string, now: number): void {
		const flights = this.#board.on(upstream);
		this.#episodes.set(upstream, {
			upstream, startedAt: now, flights, lost: new Set(), open: new Set(flights.keys()),
		});
	}

	#advanceEpisode(upstream: string, attempt: number, end: FlightEnd, now: number): void {
		const episode = this.#episodes.get(upstream);
		if (episode?.flights.has(attempt) !== true) {
			return;
		}

		episode.open.delete(attempt);
		if (end === 'complete') {
			// The upstream still answers: only a connection was lost.
			this.#close(episode, now, false);
			return;
		}

		if (end === 'lost') {
			episode.lost.add(attempt);
		}

		if (episode.open.size === 0) {
			this.#close(episode, now, true);
		}
	}

	#close({upstream, flights}: Episode, now: number, isCrash: boolean): void {
		this.#episodes.delete(upstream);
		const suspects = new Set(flights.values().map(({fingerprint}) => fingerprint)).difference(this.#completed);
		if (!isCrash || suspects.size === 0) {
			return;
		}

		this.#ledger.addOwn(upstream, now, suspects);
		for (const fingerprint of [...suspects].slice(0, reportLimit)) {
			this.#news.push({
				kind: 'suspected', fingerprint, upstream, ageMs: 0,
			});
		}

		this.#evaluate(now);
	}

	#evaluate(now: number): void {
		const {condemned, lifted} = this.#ledger.evaluate(now);
		// All daemons draw the same conclusions; only those that have seen a crash themselves spread them.
		for (const fingerprint of condemned.filter(name => this.#ledger.hasSeen(name))) {
			this.#news.push({kind: 'condemned', fingerprint, refusedForMs: refusalMs});
		}

		for (const fingerprint of lifted.filter(name => this.#ledger.hasSeen(name))) {
			this.#news.push({kind: 'cleared', fingerprint});
		}
	}

	/** A request that crashes each upstream that runs it never completes. */
	#clear(fingerprint: string, now: number): void {
		if (!this.#guards.clearsCompleted) {
			return;
		}

		this.#completed.delete(fingerprint);
		this.#completed.add(fingerprint);
		const [oldest] = this.#completed;
		if (this.#completed.size > completedLimit && oldest !== undefined) {
			this.#completed.delete(oldest);
		}

		if (this.#ledger.crashesOf(fingerprint) > 0) {
			this.#ledger.clear(fingerprint);
			this.#news.push({kind: 'cleared', fingerprint});
			this.#evaluate(now);
		}
	}

	#listSuspects(): ReadonlySet<string> {
		const inEpisodes = [...this.#episodes.values()].flatMap(({flights}) => [...flights.values()]);
		return new Set([...this.#ledger.suspects, ...inEpisodes.map(flight => flight.fingerprint)]);
	}

	/** True while an upstream may have crashed under the request. */
	#isInEpisode(fingerprint: string): boolean {
		return this.#episodes.values().some(({flights}) => flights.values().some(flight => flight.fingerprint === fingerprint));
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
