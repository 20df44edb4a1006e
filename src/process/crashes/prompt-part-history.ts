import type {CrashRecord, CrashRecords} from './crash-records.ts';
import {condemnationDelayMs, correlatedFailureWindowMs, refusalDurationMs} from './crash-timing.ts';

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

/** Parts that were in the same unexplained crashes. */
type SuspectGroup = {
	/** Sorted. */
	readonly promptParts: readonly string[];
	readonly firstCrashAt: number;
	readonly lastCrashAt: number;
	/** Those of the parts that the most requests in the crashes held together; all of them if the culprit is found. */
	readonly primeSuspects: readonly string[];
	readonly isLocal: boolean;
};

type Condemnation = {
	readonly promptParts: readonly string[];
	readonly firstCrashAt: number;
	readonly until: number;
	/** True if this daemon observed one of the crashes itself. */
	readonly isLocal: boolean;
};

type Answer = {readonly promptParts: readonly string[]; readonly at: number};

/** Number of crashes, each with another request, after which a part is a suspect that has not been in a complete answer yet. */
const minCrashes = 3;

/** The same for a part that was in complete answers before the crashes. */
const minCrashesAfterAnswers = 5;

/** Crashes that lie closer together may have one cause other than a request, such as a failed rack, and count once; in milliseconds. */
const simultaneousCrashMs = 100;

/** Number of complete answers to other requests since the first crash without which a part is not condemned: with none, all requests may fail for another reason. */
const minOtherAnswers = 3;

/** Time after the last crash for which the prime suspects are withheld while the culprit is not found, in milliseconds; an upstream restarts and answers others meanwhile. */
const primeSuspectHoldMs = 6000;

/** A part of a larger fraction of the latest requests is in all crashes whatever their cause, so that they are no evidence against it. */
const maxSuspectFraction = 0.5;
/** Number of the latest requests and answers that are kept for comparison. */
const maxRecentSamples = 256;
/** Fewer requests than this say nothing about what most requests hold. */
const minSamples = 32;

/** Parts whose last complete answer is remembered; beyond it the least recent ones are forgotten. */
const maxAnsweredParts = 100_000;
const maxCondemned = 10_000;
const partSeparator = '\n';

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

	/** True if a crash is explained by a request with parts that are condemned or suspected of several crashes. */
	isExplained(record: CrashRecord): boolean {
		return !this.isEmpty && (
			[...this.#condemned.values()].some(({promptParts}) => findHolders(record, promptParts).length > 0)
			|| this.#groups.some(({promptParts, firstCrashAt}) => record.at >= firstCrashAt && promptParts.some(part => findHolders(record, [part]).length > 0))
		);
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
			}
		}

		if (this.#hasChanged || this.#evaluatedRevision !== this.#records.revision) {
			this.#hasChanged = false;
			this.#evaluatedRevision = this.#records.revision;
			this.indexRecords();
			this.#groups = this.#findGroups(isCondemnedRequest);
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
			this.#groups = this.#findGroups(isCondemnedRequest);
		}

		return condemned.filter(({isLocal}) => isLocal).map(condemnation => describe(condemnation, now));
	}

	/** True if a group can be condemned: it was in one request, and other requests have been answered since its first crash. */
	#isFound({promptParts, primeSuspects, firstCrashAt}: SuspectGroup): boolean {
		return primeSuspects.length === promptParts.length
			&& this.#recentAnswers.filter(answer => answer.at > firstCrashAt && !holdsAll(answer.promptParts, promptParts)).length >= minOtherAnswers;
	}

	#fractionOfRequests(part: string): number {
		return this.#recentRequests.filter(parts => parts.includes(part)).length / Math.max(minSamples, this.#recentRequests.length);
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

	/** Explains the crashes by as few parts as possible: by the part of the most requests first, then by that of the most requests of the crashes that remain. */
	#findGroups(isCondemnedRequest: (fingerprint: string) => boolean): readonly SuspectGroup[] {
		const condemned = [...this.#condemned.values()].map(({promptParts}) => promptParts);
		let unexplained = this.#records.all.filter(record => condemned.every(culprit => findHolders(record, culprit).length === 0));
		const groups: SuspectGroup[] = [];
		for (;;) {
			const recordsOf = this.#indexSuspects(unexplained, isCondemnedRequest);
			const leader = this.#findLeader(recordsOf, unexplained);
			if (leader === undefined) {
				return groups;
			}

			const [, records] = leader;
			const promptParts = [...recordsOf.keys()].filter(part => records.every(record => recordsOf.get(part)!.includes(record))).toSorted();
			groups.push(createGroup(promptParts, records));
			unexplained = unexplained.filter(record => !records.includes(record));
		}
	}

	/** Returns the part that was in the most different requests, among those whose crashes are no coincidence. */
	#findLeader(recordsOf: ReadonlyMap<string, readonly CrashRecord[]>, unexplained: readonly CrashRecord[]): readonly [string, readonly CrashRecord[]] | undefined {
		return [...recordsOf]
			.filter(([part, records]) => this.#isConclusive(part, records, unexplained) && !isDominated(part, recordsOf))
			.toSorted(([a, aRecords], [b, bRecords]) => countHolders(b, bRecords) - countHolders(a, aRecords) || (a < b ? -1 : 1))[0];
	}

	/** Returns the crashes that each part may have caused. */
	#indexSuspects(records: readonly CrashRecord[], isCondemnedRequest: (fingerprint: string) => boolean): ReadonlyMap<string, readonly CrashRecord[]> {
		const index = new Map<string, CrashRecord[]>();
		for (const record of records) {
			// A crash with a request that crashes upstreams by itself is evidence only for the parts of this request.
			const culprits = [...record.requests].filter(([fingerprint]) => isCondemnedRequest(fingerprint));
			const parts = new Set((culprits.length > 0 ? culprits : [...record.requests]).flatMap(([, promptParts]) => promptParts));
			for (const part of [...parts].filter(candidate => this.#mayHaveCaused(candidate, record))) {
				const known = index.get(part) ?? [];
				known.push(record);
				index.set(part, known);
			}
		}

		return new Map([...index].filter(([part, crashes]) => crashes.length >= this.#requiredCrashes(part, crashes) && this.#fractionOfRequests(part) <= maxSuspectFraction));
	}

	/** True if the crashes of a part, each with another request, are too many to be a coincidence. */
	#isConclusive(part: string, crashes: readonly CrashRecord[], unexplained: readonly CrashRecord[]): boolean {
		return countIndependent(part, crashes) >= this.#requiredCrashes(part, crashes) + (hasCorrelatedFailure(crashes, unexplained) ? 1 : 0);
	}

	#requiredCrashes(part: string, crashes: readonly CrashRecord[]): number {
		return this.#answeredAt.has(part) && !this.#isAnswerExpired(part, crashes[0]!.at) ? minCrashesAfterAnswers : minCrashes;
	}

	#isSuspect(part: string): boolean {
		return this.countCrashes(part) > 0
			|| [...this.#condemned.values()].some(({promptParts}) => promptParts.includes(part));
	}

	#mayHaveCaused(part: string, record: CrashRecord): boolean {
		return !this.#wasAnsweredSince(part, record.at) && findHolders(record, [part]).length > 0;
	}

	#wasAnsweredSince(part: string, time: number): boolean {
		return (this.#answeredAt.get(part) ?? Number.NEGATIVE_INFINITY) > time;
	}

	#isAnswerExpired(part: string, now: number): boolean {
		return now - (this.#answeredAt.get(part) ?? Number.NEGATIVE_INFINITY) >= refusalDurationMs;
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

function createGroup(promptParts: readonly string[], records: readonly CrashRecord[]): SuspectGroup {
	const holders = new Map(records.flatMap(({requests}) => [...requests]));
	const counts = new Map<string, number>();
	for (const parts of holders.values()) {
		const selection = joinParts(promptParts.filter(part => parts.includes(part)));
		counts.set(selection, (counts.get(selection) ?? 0) + 1);
	}

	counts.delete('');
	const all = joinParts(promptParts);
	const [primeSelection] = [...counts].toSorted(([a, aCount], [b, bCount]) => bCount - aCount || (a < b ? -1 : 1))[0] ?? [all];
	return {
		promptParts,
		firstCrashAt: Math.min(...records.map(({at}) => at)),
		lastCrashAt: Math.max(...records.map(({at}) => at)),
		primeSuspects: (counts.has(all) ? all : primeSelection).split(partSeparator),
		isLocal: records.some(({isLocal}) => isLocal),
	};
}

/** True if another part was in all crashes of a part and in more, and in at least as many requests; a part of fewer requests is in more crashes only where reports are missing. */
function isDominated(part: string, recordsOf: ReadonlyMap<string, readonly CrashRecord[]>): boolean {
	const records = recordsOf.get(part)!;
	return [...recordsOf].some(([other, others]) => others.length > records.length
		&& records.every(record => others.includes(record))
		&& countHolders(other, others) >= countHolders(part, records));
}

/** Number of different requests with a part in some crashes. */
function countHolders(part: string, records: readonly CrashRecord[]): number {
	return new Set(records.flatMap(record => findHolders(record, [part]))).size;
}

/** Counts the crashes that speak for a part: each with a request that was in none of those counted before, and not at the same moment. */
function countIndependent(part: string, records: readonly CrashRecord[]): number {
	const seen = new Set<string>();
	let count = 0;
	let countedAt = Number.NEGATIVE_INFINITY;
	for (const record of records.toSorted((a, b) => a.at - b.at)) {
		const holders = findHolders(record, [part]);
		if (record.at - countedAt >= simultaneousCrashMs && holders.some(fingerprint => !seen.has(fingerprint))) {
			count += 1;
			countedAt = record.at;
			for (const fingerprint of holders) {
				seen.add(fingerprint);
			}
		}
	}

	return count;
}

/** True if another upstream crashed for no known reason at about the time of one of these crashes; one more crash is required then. */
function hasCorrelatedFailure(crashes: readonly CrashRecord[], unexplained: readonly CrashRecord[]): boolean {
	return unexplained.some(other => !crashes.includes(other)
		&& crashes.some(({at, upstream}) => upstream !== other.upstream && Math.abs(at - other.at) <= correlatedFailureWindowMs));
}

/** Fingerprints of the requests of a crash that hold all the given parts. */
function findHolders({requests}: CrashRecord, promptParts: readonly string[]): readonly string[] {
	return [...requests].filter(([, parts]) => holdsAll(parts, promptParts)).map(([fingerprint]) => fingerprint);
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

function holdsAll(promptParts: readonly string[], wanted: readonly string[]): boolean {
	return wanted.every(part => promptParts.includes(part));
}

function joinParts(promptParts: readonly string[]): string {
	return promptParts.join(partSeparator);
}
