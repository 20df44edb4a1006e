import type {RequestIdentity} from '../../request/request-identity.ts';
import {CrashHistory, type CrashHistoryGuards, type SuspicionStatus} from './crash-history.ts';
import {limitCrashMemory, type CrashMemory} from './crash-memory.ts';
import {CrashRecords} from './crash-records.ts';
import {condemnationDelayMs, refusalDurationMs} from './crash-timing.ts';
import {PromptPartHistory, type CondemnedParts, type PartRestriction} from './prompt-part-history.ts';
import {InFlightAttempts, type InFlightAttempt} from './in-flight-attempts.ts';

/**
Result of an attempt as far as crashes are concerned.

- `complete`: the upstream has answered with a result.
- `unframed`: the same, but only the end of the connection shows that the answer is complete, as after a crash.
- `declined`: the upstream has answered with an error, which says nothing about the parts of the prompt.
- `lost`: the connection broke while the upstream may have run the request.
- `other`: the attempt ended otherwise, such as by its deadline.
*/
export type AttemptResult = 'complete' | 'unframed' | 'declined' | 'lost' | 'other';

/** Crash information that daemons send to each other. */
export type CrashNews
	/** The request was in flight when an upstream crashed. */
	= | (RequestIdentity & {readonly kind: 'suspected'; readonly upstream: string; readonly ageMs: number})
		/** The request is refused from now on. */
		| {readonly kind: 'condemned'; readonly fingerprint: string; readonly refusedForMs: number}
		/** The request has completed, or its crashes have another explanation. */
		| {readonly kind: 'cleared'; readonly fingerprint: string}
		/** Requests that hold all these parts of prompts are refused from now on. */
		| (CondemnedParts & {readonly kind: 'partsCondemned'})
		/** A request with these parts has completed. */
		| {readonly kind: 'partsCleared'; readonly promptParts: readonly string[]};

/** Safety checks of crash attribution; tests disable single checks to show which failure each one prevents. */
export type CrashAttributionGuards = CrashHistoryGuards & {
	/** Runs suspects on different upstreams. */
	readonly separatesSuspects: boolean;
	/** No longer suspects a request that has completed. */
	readonly clearsCompleted: boolean;
};

/** Sign that an upstream is down or has restarted: it refuses connections, it answers as a new start or another upstream, or it has left the list. */
export type DownEvidence = 'refused' | 'restarted' | 'gone';

/** A possible crash of an upstream, with the attempts that were in flight when the first of them lost its connection. */
type SuspectedCrash = {
	readonly upstream: string;
	readonly startedAt: number;
	readonly attempts: ReadonlyMap<number, InFlightAttempt>;
	/** True once the upstream was found to be down; the crash is then recorded, and attempts that end later belong to it. */
	readonly isConfirmed: boolean;
};

/** Time after a lost connection within which evidence must show that the upstream is down, in milliseconds; an entry leaves the list after three heartbeats. */
const confirmationMs = 6000;

/** Time after a refused connection for which a connection that was lost at the same moment may still be reported, in milliseconds. */
const lateLossMs = 500;

/** Time around the end of an unframed answer within which a sign of a crash shows that the answer was cut short, in milliseconds. */
const cutAnswerWindowMs = 500;

/** Time for which a completed request is not suspected, in milliseconds. */
const completedTtlMs = 60_000;

/** Maximum number of requests of one crash that are reported to peers; bounds the control traffic. */
const maxReportedRequests = 64;
const maxCompletedRequests = 10_000;

/** Age up to which suspicions are repeated to peers that may have missed them, in milliseconds. */
const repeatedForMs = 5000;
/** Maximum numbers of condemnations and suspicions that are repeated; each daemon repeats its own. */
const maxRepeatedCondemnations = 8;
const maxRepeatedSuspicions = 6;

/** Least time between two evaluations because of news, in milliseconds; many upstreams that fail together bring thousands of items. */
const newsEvaluationIntervalMs = 20;

/** All safety checks enabled. */
export const allCrashAttributionGuards: CrashAttributionGuards = {
	requiresUniqueCulprit: true, waitsForOtherCulprits: true, excludesCorrelatedFailures: true, separatesSuspects: true, clearsCompleted: true,
};

/** Determines which requests crash upstreams, from the requests that were in flight in each crash. All times are monotonic, in milliseconds. */
export class CrashAttribution {
	readonly #guards: CrashAttributionGuards;
	readonly #attempts = new InFlightAttempts();
	readonly #records = new CrashRecords();
	readonly #parts = new PromptPartHistory(this.#records);
	readonly #history: CrashHistory;
	/** Time at which each request completed last, the most recent ones at the end. */
	readonly #completed = new Map<string, number>();
	/** The latest suspected crash of each upstream. */
	readonly #suspectedCrashes = new Map<string, SuspectedCrash>();
	readonly #refusedAt = new Map<string, number>();
	/** Attempts with an unframed answer that a crash may have cut short, by id. */
	readonly #unconfirmedAnswers = new Map<number, {readonly attempt: InFlightAttempt; readonly endedAt: number}>();
	#news: CrashNews[] = [];
	#hasUnevaluatedNews = false;
	/** Position from which the next repetition of suspicions goes on. */
	#rotation = 0;
	#evaluatedAt = Number.NEGATIVE_INFINITY;
	/** Time at which each condemnation was lifted; older ones may still be stored. */
	readonly #liftedAt = new Map<string, number>();
	#memoryRevision = 0;

	constructor(guards: CrashAttributionGuards = allCrashAttributionGuards) {
		this.#guards = guards;
		this.#history = new CrashHistory(guards, this.#records, this.#parts);
	}

	/** Changes whenever `remember` may return something else, but for the passing of time. */
	get memoryRevision(): number {
		return this.#memoryRevision + this.#records.revision;
	}

	/** Records the start of an attempt. */
	attemptStarted(attemptId: number, attempt: InFlightAttempt): void {
		this.#parts.recordRequest(attempt.promptParts);
		this.#attempts.add(attemptId, attempt);
	}

	/** Records the end of an attempt; returns the attempts of the crash that it confirms, because the upstream was already known to be down. */
	attemptEnded(attemptId: number, result: AttemptResult, now: number): readonly InFlightAttempt[] {
		const attempt = this.#attempts.get(attemptId);
		if (attempt === undefined) {
			return [];
		}

		const {upstream} = attempt;
		const crash = this.#suspectedCrashes.get(upstream);
		const isInSuspectedCrash = crash?.attempts.has(attemptId) === true;
		if (result === 'lost' && !isInSuspectedCrash) {
			this.#suspectedCrashes.set(upstream, {
				upstream, startedAt: now, attempts: new Map([...this.#attempts.attemptsOn(upstream), ...this.#findCutAnswers(upstream, now)]), isConfirmed: false,
			});
		}

		this.#attempts.remove(attemptId);
		if (result === 'unframed') {
			this.#unconfirmedAnswers.set(attemptId, {attempt, endedAt: now});
		} else if (result === 'complete' || result === 'declined') {
			this.#clearCompleted(result === 'complete' ? attempt : {...attempt, promptParts: []}, now);
			if (isInSuspectedCrash && !crash.isConfirmed) {
				// The upstream still answers, so it lost a connection without crashing.
				this.#suspectedCrashes.delete(upstream);
			}
		}

		const refusedAt = this.#refusedAt.get(upstream);
		return result === 'lost' && refusedAt !== undefined && now - refusedAt < lateLossMs ? this.#confirmCrash(upstream, now) : [];
	}

	/** True while an upstream has lost a connection and nothing shows yet whether it is down. */
	isUndecided(upstream: string): boolean {
		return this.#suspectedCrashes.get(upstream)?.isConfirmed === false;
	}

	/** Records evidence that an upstream is down or has restarted; returns the attempts of the crash that this confirms, if there is one. */
	upstreamDown(upstream: string, evidence: DownEvidence, now: number): readonly InFlightAttempt[] {
		if (evidence === 'refused') {
			this.#refusedAt.set(upstream, now);
		}

		const cutAnswers = this.#findCutAnswers(upstream, now);
		if (cutAnswers.size > 0 && !this.#suspectedCrashes.has(upstream)) {
			this.#suspectedCrashes.set(upstream, {
				upstream, startedAt: now, attempts: cutAnswers, isConfirmed: false,
			});
		}

		return this.#confirmCrash(upstream, now);
	}

	/** Drops suspected crashes without evidence, and re-evaluates the records. */
	tick(now: number): void {
		for (const {upstream, startedAt} of this.#suspectedCrashes.values()) {
			if (now - startedAt >= confirmationMs) {
				this.#suspectedCrashes.delete(upstream);
			}
		}

		for (const [fingerprint, at] of this.#liftedAt) {
			if (now - at >= completedTtlMs) {
				this.#liftedAt.delete(fingerprint);
			}
		}

		for (const [upstream, at] of this.#refusedAt) {
			if (now - at >= lateLossMs) {
				this.#refusedAt.delete(upstream);
			}
		}

		this.#confirmAnswers(now);
		if (!this.#history.isEmpty || !this.#parts.isEmpty) {
			this.#evaluate(now);
		}
	}

	/** Returns how strongly a request is suspected, by itself or because of its prompt. */
	statusOf(request: RequestIdentity, now: number): SuspicionStatus {
		this.#evaluateNews(now);
		const status = this.#history.statusOf(request.fingerprint, now);
		if (status === 'condemned' || status === 'pending') {
			return status;
		}

		const restriction = this.restrictionOf(request, now);
		if (restriction !== undefined) {
			return restriction.kind;
		}

		return status === 'free' && this.#isInSuspectedCrash(request.fingerprint) ? 'suspect' : status;
	}

	/** Returns why a request must not be sent because of its prompt; undefined if its prompt is no reason. */
	restrictionOf({promptParts}: RequestIdentity, now: number): PartRestriction | undefined {
		return this.#parts.restrictionOf(promptParts, now);
	}

	/** Number of crashes that a request may have caused. */
	countCrashes(fingerprint: string): number {
		return this.#history.countCrashes(fingerprint);
	}

	/** Number of crashes that each part of a prompt may have caused, for logs; parts without any are left out. */
	countPartCrashes(promptParts: readonly string[]): Readonly<Record<string, number>> {
		const counts = promptParts.map((part): readonly [string, number] => [part, this.#parts.countCrashes(part)]);
		return Object.fromEntries(counts.filter(([, crashes]) => crashes > 0));
	}

	/** Time for which a request must not be sent, in milliseconds: until its refusal ends, its suspicion is settled, or its next turn begins; 0 if it may be sent. */
	withheldForMs(request: RequestIdentity, now: number): number {
		return Math.max(this.#withheldByItself(request.fingerprint, now), this.restrictionOf(request, now)?.withheldForMs ?? 0);
	}

	/** Applies news from another daemon. */
	applyNews(news: CrashNews, now: number): void {
		switch (news.kind) {
			case 'suspected': {
				if (!this.#hasCompleted(news.fingerprint, now)) {
					this.#records.addPeerReport(news.upstream, now - news.ageMs, news);
				}

				break;
			}

			case 'condemned': {
				this.#history.addPeerRefusal(news.fingerprint, now + Math.min(news.refusedForMs, refusalDurationMs));
				break;
			}

			case 'cleared': {
				this.#recordCompleted(news.fingerprint, now);
				this.#history.removePeerRefusal(news.fingerprint);
				this.#history.removeRequest(news.fingerprint);
				break;
			}

			case 'partsCondemned': {
				// A daemon that has restarted may take a part for a culprit that others have seen in complete answers since.
				this.#announceCleared(this.#parts.addPeerCondemnation(news, now));
				break;
			}

			case 'partsCleared': {
				this.#parts.clear(news.promptParts, now);
				break;
			}
		}

		this.#memoryRevision += 1;
		this.#hasUnevaluatedNews = true;
		this.#evaluateNews(now);
	}

	/** Selects the upstreams on which a request may run: suspects run on different upstreams, and other requests avoid them if enough upstreams remain. */
	selectAllowed<Upstream extends {readonly id: string}>(request: RequestIdentity, candidates: readonly Upstream[], now: number): readonly Upstream[] {
		if (this.#history.isEmpty && this.#parts.isEmpty && this.#suspectedCrashes.size === 0) {
			return candidates;
		}

		const {fingerprint} = request;
		const status = this.statusOf({fingerprint, promptParts: []}, now);
		if (this.withheldForMs(request, now) > 0) {
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

	/** Returns what is known of crashes, for daemons that start after all present ones have ended. */
	remember(now: number): CrashMemory {
		const crashes = this.#records.all.map(({upstream, at, requests}) => {
			const ordered = this.#orderBySuspicion([...requests].map(([fingerprint, promptParts]) => ({fingerprint, promptParts})));
			return {
				upstream,
				ageMs: now - at,
				suspicions: Math.max(...ordered.map(request => this.#countSuspicions(request))),
				requests: ordered.slice(0, maxReportedRequests).map(request => this.#selectSuspects(request)),
			};
		});
		return limitCrashMemory({
			crashes: crashes
				.toSorted((a, b) => b.suspicions - a.suspicions || a.ageMs - b.ageMs)
				.map(({upstream, ageMs, requests}) => ({upstream, ageMs, requests})),
			condemned: this.#history.condemned(now, false),
			parts: this.#parts.condemned(now, false),
		});
	}

	/** Adds what daemons knew of crashes that may have ended since; what has been cleared meanwhile is left out. */
	recall({crashes, condemned, parts}: CrashMemory, now: number): void {
		for (const {upstream, ageMs, requests} of crashes) {
			for (const request of requests.filter(({fingerprint}) => !this.#hasCompleted(fingerprint, now))) {
				this.#records.addRemembered(upstream, now - ageMs, request);
			}
		}

		for (const {fingerprint, refusedForMs} of condemned) {
			const wasLifted = now - (this.#liftedAt.get(fingerprint) ?? Number.NEGATIVE_INFINITY) < completedTtlMs;
			if (!wasLifted && !this.#hasCompleted(fingerprint, now) && !this.#history.isCondemned(fingerprint)) {
				this.applyNews({kind: 'condemned', fingerprint, refusedForMs}, now);
			}
		}

		for (const entry of parts) {
			this.applyNews({kind: 'partsCondemned', ...entry}, now);
		}

		this.#evaluate(now);
	}

	/** Returns and removes the news for other daemons that has accumulated since the last call. */
	takeNews(): readonly CrashNews[] {
		const news = this.#news;
		this.#news = [];
		return news;
	}

	/** Returns the news that a daemon needs which has just started or missed earlier ones; without `isRelay`, only about crashes that this daemon observed itself. */
	repeatNews(now: number, isRelay: boolean): readonly CrashNews[] {
		if (this.#history.isEmpty && this.#parts.isEmpty) {
			return [];
		}

		const condemned = this.#history.condemned(now, !isRelay).map(entry => ({kind: 'condemned' as const, ...entry}));
		const parts = this.#parts.condemned(now, !isRelay).map(entry => ({kind: 'partsCondemned' as const, ...entry}));
		return [
			...condemned.slice(-maxRepeatedCondemnations),
			...parts.slice(-maxRepeatedCondemnations),
			...this.#repeatSuspicions(now),
		];
	}

	/** News of some of the requests that were in flight in crashes that this daemon has just observed: the most suspected ones, and others in rotation. */
	#repeatSuspicions(now: number): readonly CrashNews[] {
		const suspicions = this.#records.all
			.filter(({isLocal, at}) => isLocal && now - at <= repeatedForMs)
			.flatMap(({upstream, at, requests}) => [...requests].map(([fingerprint, promptParts]) => ({
				kind: 'suspected' as const, ...this.#selectSuspects({fingerprint, promptParts}), upstream, ageMs: Math.round(now - at),
			})));
		const ordered = this.#orderBySuspicion(suspicions.toSorted((a, b) => a.ageMs - b.ageMs));
		const others = ordered.slice(maxRepeatedSuspicions);
		this.#rotation = others.length === 0 ? 0 : (this.#rotation + maxRepeatedSuspicions) % others.length;
		const rotated = [...others.slice(this.#rotation), ...others.slice(0, this.#rotation)];
		return [...ordered.slice(0, maxRepeatedSuspicions), ...rotated.slice(0, maxRepeatedSuspicions)];
	}

	/**
	Orders requests by how strongly they, or the parts of their prompts, are suspected; the first ones hold all suspected parts.

	Without those that were in earlier crashes too, a peer could take another request or part for the only one in all of them.
	*/
	#orderBySuspicion<Request extends RequestIdentity>(requests: readonly Request[]): readonly Request[] {
		const sorted = requests.toSorted((a, b) => this.#countSuspicions(b) - this.#countSuspicions(a));
		const named = new Set<string>();
		const representatives = new Set(sorted.filter(({promptParts}) => {
			const isFirst = promptParts.some(part => !named.has(part) && this.#parts.countCrashes(part) > 0);
			for (const part of promptParts) {
				named.add(part);
			}

			return isFirst;
		}));
		return [...representatives, ...sorted.filter(request => !representatives.has(request))];
	}

	/** Leaves out the parts of a prompt that have been in a complete answer since their crashes. */
	#selectSuspects({fingerprint, promptParts}: RequestIdentity): RequestIdentity {
		return {fingerprint, promptParts: promptParts.filter(part => this.#parts.countCrashes(part) > 0)};
	}

	/** Largest number of crashes that a request or one of the parts of its prompt may have caused. */
	#countSuspicions({fingerprint, promptParts}: RequestIdentity): number {
		return Math.max(this.#history.countCrashes(fingerprint), ...promptParts.map(part => this.#parts.countCrashes(part)));
	}

	#withheldByItself(fingerprint: string, now: number): number {
		switch (this.#history.statusOf(fingerprint, now)) {
			case 'condemned': {
				return this.#history.refusedUntil(fingerprint) - now;
			}

			case 'pending': {
				return condemnationDelayMs;
			}

			case 'contested': {
				return this.#guards.separatesSuspects ? this.#history.turnDelayMs(fingerprint, now) : 0;
			}

			case 'suspect':
			case 'free': {
				return 0;
			}
		}
	}

	#confirmCrash(upstream: string, now: number): readonly InFlightAttempt[] {
		const crash = this.#suspectedCrashes.get(upstream);
		if (crash === undefined || crash.isConfirmed || now - crash.startedAt >= confirmationMs) {
			return [];
		}

		this.#suspectedCrashes.set(upstream, {...crash, isConfirmed: true});
		this.#refusedAt.delete(upstream);
		const attempts = [...crash.attempts.values()].filter(({fingerprint}) => !this.#hasCompleted(fingerprint, now));
		const suspects = new Map(attempts.map(({fingerprint, promptParts}) => [fingerprint, promptParts]));
		if (suspects.size === 0) {
			return [];
		}

		this.#records.addLocalCrash(upstream, crash.startedAt, suspects);
		this.#parts.indexRecords();
		const requests = [...suspects].map(([fingerprint, promptParts]) => ({fingerprint, promptParts}));
		for (const request of this.#orderBySuspicion(requests).slice(0, maxReportedRequests)) {
			this.#news.push({
				kind: 'suspected', ...this.#selectSuspects(request), upstream, ageMs: Math.round(now - crash.startedAt),
			});
		}

		this.#evaluate(now);
		return attempts;
	}

	/** Returns the attempts on an upstream whose unframed answers have just ended. */
	#findCutAnswers(upstream: string, now: number): ReadonlyMap<number, InFlightAttempt> {
		return new Map([...this.#unconfirmedAnswers]
			.filter(([, {attempt, endedAt}]) => attempt.upstream === upstream && now - endedAt <= cutAnswerWindowMs)
			.map(([attemptId, {attempt}]) => [attemptId, attempt]));
	}

	/** Counts unframed answers as complete that no crash can have cut short. */
	#confirmAnswers(now: number): void {
		for (const [attemptId, {attempt, endedAt}] of this.#unconfirmedAnswers) {
			if (now - endedAt > cutAnswerWindowMs) {
				this.#unconfirmedAnswers.delete(attemptId);
				if (this.#suspectedCrashes.get(attempt.upstream)?.attempts.has(attemptId) !== true) {
					this.#clearCompleted(attempt, now);
				}
			}
		}
	}

	#evaluateNews(now: number): void {
		if (this.#hasUnevaluatedNews && now - this.#evaluatedAt >= newsEvaluationIntervalMs) {
			this.#evaluate(now);
		}
	}

	#evaluate(now: number): void {
		this.#hasUnevaluatedNews = false;
		this.#evaluatedAt = now;
		this.#records.expire(now);
		for (const parts of this.#parts.evaluate(now, fingerprint => this.#history.isCondemned(fingerprint))) {
			this.#memoryRevision += 1;
			this.#news.push({kind: 'partsCondemned', ...parts});
		}

		const {condemned, lifted} = this.#history.evaluate(now);
		// All daemons come to the same conclusions; only those that observed a crash themselves announce them.
		for (const fingerprint of condemned.filter(candidate => this.#history.hasLocalCrash(candidate))) {
			this.#news.push({kind: 'condemned', fingerprint, refusedForMs: refusalDurationMs});
		}

		this.#memoryRevision += condemned.length + lifted.length;
		for (const fingerprint of lifted) {
			this.#liftedAt.set(fingerprint, now);
			this.#history.removePeerRefusal(fingerprint);
		}

		for (const fingerprint of lifted.filter(candidate => this.#history.hasLocalCrash(candidate))) {
			this.#news.push({kind: 'cleared', fingerprint});
		}
	}

	/** Clears a request and the parts of its prompt of suspicion: one that crashes every upstream that runs it never completes. */
	#clearCompleted({fingerprint, promptParts}: RequestIdentity, now: number): void {
		if (!this.#guards.clearsCompleted) {
			return;
		}

		this.#announceCleared(this.#parts.recordAnswer(promptParts, now));
		this.#recordCompleted(fingerprint, now);
		if (this.#history.countCrashes(fingerprint) > 0) {
			this.#history.removeRequest(fingerprint);
			this.#news.push({kind: 'cleared', fingerprint});
		}
	}

	#announceCleared(promptParts: readonly string[]): void {
		if (promptParts.length > 0) {
			this.#memoryRevision += 1;
			this.#news.push({kind: 'partsCleared', promptParts});
		}
	}

	#recordCompleted(fingerprint: string, now: number): void {
		this.#completed.delete(fingerprint);
		this.#completed.set(fingerprint, now);
		const [oldest] = this.#completed.keys();
		if (this.#completed.size > maxCompletedRequests && oldest !== undefined) {
			this.#completed.delete(oldest);
		}
	}

	#hasCompleted(fingerprint: string, now: number): boolean {
		const completedAt = this.#completed.get(fingerprint);
		return completedAt !== undefined && now - completedAt < completedTtlMs;
	}

	get #undecidedCrashes(): readonly SuspectedCrash[] {
		return [...this.#suspectedCrashes.values()].filter(({isConfirmed}) => !isConfirmed);
	}

	#listSuspects(): ReadonlySet<string> {
		const inSuspectedCrashes = this.#undecidedCrashes.flatMap(({attempts}) => [...attempts.values()]);
		return new Set([...this.#history.suspects, ...inSuspectedCrashes.map(attempt => attempt.fingerprint)]);
	}

	/** True if the request was in flight in a suspected crash that is still undecided. */
	#isInSuspectedCrash(fingerprint: string): boolean {
		return this.#undecidedCrashes.some(({attempts}) => [...attempts.values()].some(attempt => attempt.fingerprint === fingerprint));
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
