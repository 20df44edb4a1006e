import type {CrashRecord, CrashRecords} from './crash-records.ts';
import {condemnationDelayMs, refusalDurationMs} from './crash-timing.ts';
import {
	findSuspectGroups, hasHolder, holdsAll, joinParts, type SuspectGroup,
} from './part-suspects.ts';

/** A set of prompt parts that crashes upstreams: requests that hold all of them are refused. */
export type CondemnedParts = {
	/** Sorted; a single part unless several were in the same crashes and always in the same request. */
	readonly promptParts: readonly string[];
	/** Time for which such requests are still refused, in milliseconds. */
	readonly refusedForMs: number;
	/** Age of the first crash that is attributed to the parts, in milliseconds. */
	readonly firstCrashAgeMs: number;
};

/** Why a request must not be sent because of its prompt. */
export type PartRestriction = {
	/**
	- `condemned`: it holds parts that crash upstreams.
	- `pending`: it holds the only parts that explain several crashes; this is being confirmed.
	- `contested`: other parts explain the same crashes; the most suspected ones are withheld, so that the answers to other requests or the next crash tell them apart.
	*/
	readonly kind: 'condemned' | 'pending' | 'contested';
	/** Parts on which the restriction rests. */
	readonly promptParts: readonly string[];
	/** Time until the request may be sent, in milliseconds. */
	readonly withheldForMs: number;
};

type Condemnation = {
	readonly promptParts: readonly string[];
	readonly firstCrashAt: number;
	readonly until: number;
	/** True if this daemon observed one of the crashes itself. */
	readonly isLocal: boolean;
};

type Answer = {readonly promptParts: readonly string[]; readonly at: number};

/** Number of complete answers to other requests since the first crash without which a part is not condemned: with none, all requests may fail for another reason. */
const minOtherAnswers = 3;

/** Time after the last crash for which the prime suspects are withheld while the culprit is not found, in milliseconds; an upstream restarts and answers others meanwhile. */
const primeSuspectHoldMs = 6000;

/** Number of the latest requests and answers that are kept for comparison. */
const maxRecentSamples = 256;
/** Parts whose last complete answer is remembered; beyond it the least recent ones are forgotten. */
const maxAnsweredParts = 100_000;
const maxCondemned = 10_000;

/** Concludes from the crashes of different requests which parts of their prompts crash upstreams. All times are monotonic, in milliseconds. */
export class PromptPartHistory {
	readonly #records: CrashRecords;
	/** Time of the last complete answer to a request with each part, the most recent ones at the end. */
	readonly #answeredAt = new Map<string, number>();
	readonly #condemned = new Map<string, Condemnation>();
	readonly #pendingSince = new Map<string, number>();
	readonly #recentRequests: Array<readonly string[]> = [];
	readonly #recentAnswers: Answer[] = [];
	#groups: readonly SuspectGroup[] = [];
	#explained: ReadonlySet<CrashRecord> = new Set();
	/** Crashes in which requests with each part were in flight, as of the last evaluation. */
	#recordsOf: ReadonlyMap<string, readonly CrashRecord[]> = new Map();
	#evaluatedRevision = -1;
	#hasChanged = false;

	constructor(records: CrashRecords) {
		this.#records = records;
	}

	/** True if no request is refused or withheld because of its prompt. */
	get isEmpty(): boolean {
		return this.#condemned.size === 0 && this.#groups.length === 0;
	}

	/** Records the parts of a request that is sent to an upstream. */
	recordRequest(promptParts: readonly string[]): void {
		if (promptParts.length > 0) {
			addSample(this.#recentRequests, promptParts);
		}
	}

	/** Records a complete answer to a request of this daemon; returns the parts that it frees of suspicion. */
	recordAnswer(promptParts: readonly string[], now: number): readonly string[] {
		if (promptParts.length > 0) {
			addSample(this.#recentAnswers, {promptParts, at: now});
		}

		return this.clear(promptParts, now);
	}

	/** Records that parts were in a complete answer, of this daemon or another one; returns the parts that it frees of suspicion. */
	clear(promptParts: readonly string[], now: number): readonly string[] {
		const cleared = promptParts.filter(part => this.#isSuspect(part));
		for (const part of promptParts) {
			this.#answeredAt.delete(part);
			this.#answeredAt.set(part, now);
		}

		while (this.#answeredAt.size > maxAnsweredParts) {
			this.#answeredAt.delete(this.#answeredAt.keys().next().value!);
		}

		this.#hasChanged ||= cleared.length > 0;
		this.#liftAnswered();
		return cleared;
	}

	/** Adds parts that another daemon has condemned; returns those of them that were in a complete answer since their first crash, which are not refused. */
	addPeerCondemnation({promptParts, refusedForMs, firstCrashAgeMs}: CondemnedParts, now: number): readonly string[] {
		const firstCrashAt = now - firstCrashAgeMs;
		const answered = promptParts.filter(part => this.#wasAnsweredSince(part, firstCrashAt));
		const refused = promptParts.filter(part => !answered.includes(part));
		if (refused.length > 0) {
			this.#condemn({
				promptParts: refused, firstCrashAt, until: now + Math.min(refusedForMs, refusalDurationMs), isLocal: false,
			});
		}

		return answered;
	}

	/** Condemned parts, the latest at the end; with `isOnlyLocal`, those of crashes that this daemon observed itself. */
	condemned(now: number, isOnlyLocal: boolean): readonly CondemnedParts[] {
		return [...this.#condemned.values()]
			.filter(({isLocal, until}) => until > now && (isLocal || !isOnlyLocal))
			.map(condemnation => describe(condemnation, now));
	}

	/** True if a crash is explained by a request with parts that are condemned or suspected of several crashes, as of the last evaluation. */
	isExplained(record: CrashRecord): boolean {
		return this.#explained.has(record);
	}

	/** Number of crashes that a part may have caused since the last complete answer to a request with it. */
	countCrashes(part: string): number {
		return this.#recordsOf.get(part)?.filter(({at}) => !this.#wasAnsweredSince(part, at)).length ?? 0;
	}

	/** Updates the number of crashes of each part after a change of the records. */
	indexRecords(): void {
		this.#recordsOf = indexByPart(this.#records.all);
	}

	/** True if some part was in all these crashes, in other requests than the given one and since its last answer. */
	explainsWithout(fingerprint: string, records: readonly CrashRecord[]): boolean {
		const own = new Set(records[0]?.requests.get(fingerprint));
		const others = new Set([...records[0]?.requests.values() ?? []].flat().filter(part => !own.has(part)));
		return [...others].some(part => records.every(record => this.#mayHaveCaused(part, record)));
	}

	/** Returns why a request with these parts must not be sent; undefined if its prompt is no reason. */
	restrictionOf(promptParts: readonly string[], now: number): PartRestriction | undefined {
		if (this.isEmpty || promptParts.length === 0) {
			return undefined;
		}

		const held = new Set(promptParts);
		const condemnation = [...this.#condemned.values()].find(({promptParts: parts, until}) => until > now && parts.every(part => held.has(part)));
		if (condemnation !== undefined) {
			return {kind: 'condemned', promptParts: condemnation.promptParts, withheldForMs: condemnation.until - now};
		}

		for (const group of this.#groups.filter(({primeSuspects}) => primeSuspects.every(part => held.has(part)))) {
			const {primeSuspects, lastCrashAt} = group;
			if (this.#isFound(group)) {
				return {kind: 'pending', promptParts: primeSuspects, withheldForMs: condemnationDelayMs};
			}

			const withheldForMs = lastCrashAt + primeSuspectHoldMs - now;
			if (withheldForMs > 0) {
				return {kind: 'contested', promptParts: primeSuspects, withheldForMs};
			}
		}

		return undefined;
	}

	/** Re-evaluates the recorded crashes; `isCondemnedRequest` is true for requests that crash upstreams by themselves. Returns the parts that are condemned from now on. */
	evaluate(now: number, isCondemnedRequest: (fingerprint: string) => boolean): readonly CondemnedParts[] {
		for (const [key, {until}] of this.#condemned) {
			if (until <= now) {
				this.#condemned.delete(key);
				this.#hasChanged = true;
			}
		}

		if (this.#hasChanged || this.#evaluatedRevision !== this.#records.revision) {
			this.#hasChanged = false;
			this.#evaluatedRevision = this.#records.revision;
			this.indexRecords();
			this.#findGroups(isCondemnedRequest);
		}

		if (this.#groups.length === 0) {
			this.#pendingSince.clear();
			return [];
		}

		const found = this.#groups.filter(group => this.#isFound(group));
		this.#updatePending(found, now);
		const condemned = found
			.filter(({promptParts}) => now - this.#pendingSince.get(joinParts(promptParts))! >= condemnationDelayMs)
			.map(({promptParts, firstCrashAt, isLocal}) => ({
				promptParts, firstCrashAt, until: now + refusalDurationMs, isLocal,
			}));
		for (const condemnation of condemned) {
			this.#condemn(condemnation);
		}

		if (condemned.length > 0) {
			this.#findGroups(isCondemnedRequest);
		}

		return condemned.filter(({isLocal}) => isLocal).map(condemnation => describe(condemnation, now));
	}

	/** True if a group can be condemned: it was in one request, and other requests have been answered since its first crash. */
	#isFound({promptParts, primeSuspects, firstCrashAt}: SuspectGroup): boolean {
		return primeSuspects.length === promptParts.length
			&& this.#recentAnswers.filter(answer => answer.at > firstCrashAt && !holdsAll(answer.promptParts, promptParts)).length >= minOtherAnswers;
	}

	#condemn(condemnation: Condemnation): void {
		const key = joinParts(condemnation.promptParts);
		const known = this.#condemned.get(key);
		this.#condemned.delete(key);
		this.#condemned.set(key, {
			...condemnation,
			until: Math.max(condemnation.until, known?.until ?? 0),
			firstCrashAt: Math.min(condemnation.firstCrashAt, known?.firstCrashAt ?? condemnation.firstCrashAt),
			isLocal: condemnation.isLocal || known?.isLocal === true,
		});
		while (this.#condemned.size > maxCondemned) {
			this.#condemned.delete(this.#condemned.keys().next().value!);
		}

		this.#hasChanged = true;
	}

	/** Removes answered parts from the condemned sets. */
	#liftAnswered(): void {
		for (const [key, condemnation] of this.#condemned) {
			const remaining = condemnation.promptParts.filter(part => !this.#wasAnsweredSince(part, condemnation.firstCrashAt));
			if (remaining.length < condemnation.promptParts.length) {
				this.#condemned.delete(key);
				this.#hasChanged = true;
				if (remaining.length > 0) {
					this.#condemn({...condemnation, promptParts: remaining});
				}
			}
		}
	}

	#updatePending(found: readonly SuspectGroup[], now: number): void {
		const keys = new Set(found.map(({promptParts}) => joinParts(promptParts)));
		for (const key of this.#pendingSince.keys()) {
			if (!keys.has(key)) {
				this.#pendingSince.delete(key);
			}
		}

		for (const key of keys) {
			this.#pendingSince.set(key, this.#pendingSince.get(key) ?? now);
		}
	}

	#findGroups(isCondemnedRequest: (fingerprint: string) => boolean): void {
		const condemned = [...this.#condemned.values()].map(({promptParts}) => promptParts);
		const explained = this.#records.all.filter(record => condemned.some(culprit => hasHolder(record, culprit)));
		this.#groups = findSuspectGroups({
			records: this.#records.all.filter(record => !explained.includes(record)),
			answeredAt: this.#answeredAt,
			recentRequests: this.#recentRequests,
			isCondemnedRequest,
		});
		this.#explained = new Set([...explained, ...this.#groups.flatMap(({records}) => [...records])]);
	}

	#isSuspect(part: string): boolean {
		return this.countCrashes(part) > 0
			|| [...this.#condemned.values()].some(({promptParts}) => promptParts.includes(part));
	}

	#mayHaveCaused(part: string, record: CrashRecord): boolean {
		return !this.#wasAnsweredSince(part, record.at) && hasHolder(record, [part]);
	}

	#wasAnsweredSince(part: string, time: number): boolean {
		return (this.#answeredAt.get(part) ?? Number.NEGATIVE_INFINITY) > time;
	}
}

function indexByPart(records: readonly CrashRecord[]): ReadonlyMap<string, readonly CrashRecord[]> {
	const index = new Map<string, CrashRecord[]>();
	for (const record of records) {
		for (const part of new Set([...record.requests.values()].flat())) {
			const known = index.get(part) ?? [];
			known.push(record);
			index.set(part, known);
		}
	}

	return index;
}

function describe({promptParts, until, firstCrashAt}: Condemnation, now: number): CondemnedParts {
	return {promptParts, refusedForMs: Math.ceil(until - now), firstCrashAgeMs: Math.round(now - firstCrashAt)};
}

function addSample<Sample>(samples: Sample[], sample: Sample): void {
	samples.push(sample);
	if (samples.length > maxRecentSamples) {
		samples.shift();
	}
}
