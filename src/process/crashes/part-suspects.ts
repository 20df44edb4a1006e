import type {CrashRecord} from './crash-records.ts';
import {correlatedFailureWindowMs, refusalDurationMs} from './crash-timing.ts';

/** Parts that were in the same unexplained crashes. */
export type SuspectGroup = {
	/** Sorted. */
	readonly promptParts: readonly string[];
	readonly records: ReadonlySet<CrashRecord>;
	readonly firstCrashAt: number;
	readonly lastCrashAt: number;
	/** Those of the parts that the most requests in the crashes held together; all of them if the culprit is found. */
	readonly primeSuspects: readonly string[];
	/** True if this daemon observed one of the crashes itself. */
	readonly isLocal: boolean;
};

/** Crashes that a part may have caused. */
type Suspicion = {
	readonly records: ReadonlySet<CrashRecord>;
	/** Number of different requests with the part in these crashes. */
	readonly holders: number;
};

/** What is known of the crashes, the answers and the requests of late. */
export type PartEvidence = {
	/** Crashes that no condemned part explains. */
	readonly records: readonly CrashRecord[];
	/** Monotonic time of the last complete answer to a request with each part, in milliseconds. */
	readonly answeredAt: ReadonlyMap<string, number>;
	/** Parts of each of the latest requests. */
	readonly recentRequests: ReadonlyArray<readonly string[]>;
	/** True for requests that crash upstreams by themselves. */
	readonly isCondemnedRequest: (fingerprint: string) => boolean;
};

/** Number of crashes, each with another request, after which a part is a suspect that has not been in a complete answer yet. */
const minCrashes = 3;

/** The same for a part that was in complete answers before the crashes. */
const minCrashesAfterAnswers = 5;

/** Crashes that lie closer together may have one cause other than a request, such as a failed rack, and count once; in milliseconds. */
const simultaneousCrashMs = 100;

/** A part that has been answered and that a larger fraction of the latest requests hold is in all crashes whatever their cause, so that they are no evidence against it. */
const maxSuspectFraction = 0.5;
/** Fewer requests than this say nothing about what most requests hold. */
const minSamples = 32;

/** Number of crashes that weigh as much as being in the most requests; reports of single requests may be missing, so that a culprit is not known from each of its crashes. */
const holdersWeight = 2;

/** Number of groups of suspects that are followed at once. */
const maxGroups = 8;

const partSeparator = '\n';

/** Explains the crashes by as few parts as possible: by the most suspected part first, then by the most suspected one of the crashes that remain. */
export function findSuspectGroups(evidence: PartEvidence): readonly SuspectGroup[] {
	const groups: SuspectGroup[] = [];
	let unexplained = evidence.records;
	while (groups.length < maxGroups) {
		const suspicions = indexSuspects({...evidence, records: unexplained});
		const records = findLeader(suspicions, evidence.answeredAt, unexplained)?.records;
		if (records === undefined) {
			break;
		}

		const promptParts = [...suspicions].filter(([, suspicion]) => includesAll(suspicion.records, records)).map(([part]) => part).toSorted();
		groups.push(createGroup(promptParts, records));
		unexplained = unexplained.filter(record => !records.has(record));
	}

	return groups;
}

/** Returns the crashes that each part may have caused. */
function indexSuspects({records, answeredAt, recentRequests, isCondemnedRequest}: PartEvidence): ReadonlyMap<string, Suspicion> {
	const recordsOf = new Map<string, CrashRecord[]>();
	const holdersOf = new Map<string, Set<string>>();
	for (const record of records) {
		// A crash with a request that crashes upstreams by itself is evidence only for the parts of this request.
		const culprits = [...record.requests].filter(([fingerprint]) => isCondemnedRequest(fingerprint));
		for (const [fingerprint, promptParts] of culprits.length > 0 ? culprits : record.requests) {
			for (const part of promptParts.filter(candidate => (answeredAt.get(candidate) ?? Number.NEGATIVE_INFINITY) <= record.at)) {
				const known = recordsOf.get(part) ?? [];
				if (known.at(-1) !== record) {
					known.push(record);
				}

				recordsOf.set(part, known);
				holdersOf.set(part, (holdersOf.get(part) ?? new Set<string>()).add(fingerprint));
			}
		}
	}

	const fractions = countFractions(recentRequests);
	const suspected = [...recordsOf].filter(([part, crashes]) => {
		const isCommon = wasAnsweredBefore(part, crashes, answeredAt) && (fractions.get(part) ?? 0) > maxSuspectFraction;
		return !isCommon && crashes.length >= countRequired(part, crashes, answeredAt);
	});
	return new Map(suspected.map(([part, crashes]) => [part, {records: new Set(crashes), holders: holdersOf.get(part)!.size}]));
}

/** Returns the strongest suspicion, among those of parts whose crashes are no coincidence. */
function findLeader(suspicions: ReadonlyMap<string, Suspicion>, answeredAt: ReadonlyMap<string, number>, unexplained: readonly CrashRecord[]): Suspicion | undefined {
	const maxHolders = Math.max(1, ...[...suspicions.values()].map(({holders}) => holders));
	const weigh = ({records, holders}: Suspicion) => records.size + (holdersWeight * holders / maxHolders);
	const sorted = [...suspicions].toSorted(([a, suspicion], [b, other]) => weigh(other) - weigh(suspicion) || (a < b ? -1 : 1));
	// A weaker suspicion is in more crashes than a stronger one only where reports are missing, so only stronger ones can explain its crashes.
	const leader = sorted.find(([part, {records}], index) => isConclusive(part, [...records], answeredAt, unexplained)
		&& !sorted.slice(0, index).some(([, other]) => other.records.size > records.size && includesAll(other.records, records)));
	return leader?.[1];
}

/** True if the crashes of a part, each with another request, are too many to be a coincidence. */
function isConclusive(part: string, crashes: readonly CrashRecord[], answeredAt: ReadonlyMap<string, number>, unexplained: readonly CrashRecord[]): boolean {
	return countIndependent(part, crashes) >= countRequired(part, crashes, answeredAt) + (hasCorrelatedFailure(crashes, unexplained) ? 1 : 0);
}

function countRequired(part: string, crashes: readonly CrashRecord[], answeredAt: ReadonlyMap<string, number>): number {
	return wasAnsweredBefore(part, crashes, answeredAt) ? minCrashesAfterAnswers : minCrashes;
}

/** True if a part was in a complete answer in the time before its crashes. */
function wasAnsweredBefore(part: string, crashes: readonly CrashRecord[], answeredAt: ReadonlyMap<string, number>): boolean {
	return crashes[0]!.at - (answeredAt.get(part) ?? Number.NEGATIVE_INFINITY) < refusalDurationMs;
}

function createGroup(promptParts: readonly string[], recordSet: ReadonlySet<CrashRecord>): SuspectGroup {
	const records = [...recordSet];
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
		records: recordSet,
		firstCrashAt: Math.min(...records.map(({at}) => at)),
		lastCrashAt: Math.max(...records.map(({at}) => at)),
		primeSuspects: (counts.has(all) ? all : primeSelection).split(partSeparator),
		isLocal: records.some(({isLocal}) => isLocal),
	};
}

/** Returns the fraction of requests that hold each part. */
function countFractions(requests: ReadonlyArray<readonly string[]>): ReadonlyMap<string, number> {
	const counts = new Map<string, number>();
	for (const part of requests.flat()) {
		counts.set(part, (counts.get(part) ?? 0) + 1);
	}

	const total = Math.max(minSamples, requests.length);
	return new Map([...counts].map(([part, count]) => [part, count / total]));
}

/** Counts the crashes that speak for a part: each with a request that was in none of those counted before, and not at the same moment. */
function countIndependent(part: string, records: readonly CrashRecord[]): number {
	const seen = new Set<string>();
	let count = 0;
	let countedAt = Number.NEGATIVE_INFINITY;
	for (const record of records.toSorted((a, b) => a.at - b.at)) {
		const holders = findHolders(record, part);
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

/** True if a request of a crash holds all the given parts. */
export function hasHolder({requests}: CrashRecord, promptParts: readonly string[]): boolean {
	return [...requests.values()].some(parts => holdsAll(parts, promptParts));
}

function includesAll(set: ReadonlySet<CrashRecord>, records: ReadonlySet<CrashRecord>): boolean {
	return [...records].every(record => set.has(record));
}

/** Fingerprints of the requests of a crash that hold a part. */
function findHolders({requests}: CrashRecord, part: string): readonly string[] {
	return [...requests].filter(([, parts]) => parts.includes(part)).map(([fingerprint]) => fingerprint);
}

/** True if a prompt holds all wanted parts. */
export function holdsAll(promptParts: readonly string[], wanted: readonly string[]): boolean {
	return wanted.every(part => promptParts.includes(part));
}

/** Joins parts to a key. */
export function joinParts(promptParts: readonly string[]): string {
	return promptParts.join(partSeparator);
}
