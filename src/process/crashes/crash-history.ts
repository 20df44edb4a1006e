import type {CrashRecord, CrashRecords} from './crash-records.ts';
import {
	computeTurnDelay, condemnationDelayMs, correlatedFailureWindowMs, maxTurns, refusalDurationMs,
} from './crash-timing.ts';
import type {PromptPartHistory} from './prompt-part-history.ts';

/**
How strongly a request is suspected of crashing upstreams.

- `free`: not suspected.
- `suspect`: was in flight in one unexplained crash, or in a suspected crash that is still undecided.
- `contested`: was in flight in several crashes, but so were others; contested requests run in turn, so that the next crash tells them apart.
- `pending`: the likely cause of several crashes; it is not dispatched until this is confirmed or disproved.
- `condemned`: has crashed upstreams and is refused on all daemons (a poison request).
*/
export type SuspicionStatus = 'free' | 'suspect' | 'contested' | 'pending' | 'condemned';

/** Safety checks of the crash history; tests disable single checks to show which failure each one prevents. */
export type CrashHistoryGuards = {
	/** Condemns a request only if no other request was in flight in all of its crashes. */
	readonly requiresUniqueCulprit: boolean;
	/** Condemns a request only after a delay, and only if no other likely culprits explain its crashes. */
	readonly waitsForOtherCulprits: boolean;
	/** Requires more than two crashes while other upstreams crash at the same time for no known reason. */
	readonly excludesCorrelatedFailures: boolean;
};

/** Interval at which refusals that have ended are deleted, in milliseconds; they have no effect before. */
const refusalExpiryIntervalMs = 1000;
/** Condemned requests that are remembered; beyond it the oldest are free again. */
const maxCondemned = 10_000;

/** Number of crashes after which a request is condemned, unless other requests were in all of them too. */
const minCrashesToCondemn = 2;

/** Number of crashes after which a request is condemned even if other likely culprits could explain all of them. */
const conclusiveCrashes = 4;

/** Concludes from recorded crashes which requests caused them. */
export class CrashHistory {
	readonly #guards: CrashHistoryGuards;
	readonly #pendingSince = new Map<string, number>();
	readonly #condemnedUntil = new Map<string, number>();
	readonly #peerRefusedUntil = new Map<string, number>();
	readonly #records: CrashRecords;
	readonly #parts: PromptPartHistory;
	#refusalsExpiredAt = Number.NEGATIVE_INFINITY;
	#recordsOf = new Map<string, readonly CrashRecord[]>();

	constructor(guards: CrashHistoryGuards, records: CrashRecords, parts: PromptPartHistory) {
		this.#guards = guards;
		this.#records = records;
		this.#parts = parts;
	}

	/** True if no request is suspected or refused. */
	get isEmpty(): boolean {
		return this.#records.all.length === 0 && this.#peerRefusedUntil.size === 0 && this.#condemnedUntil.size === 0;
	}

	/** Fingerprints of requests that may have caused a recorded crash; a crash with condemned requests counts only for those. */
	get suspects(): Iterable<string> {
		return this.#recordsOf.keys();
	}

	/** Removes a request from all crashes, and frees it if it was condemned here; what follows for other requests is decided by the next evaluation. */
	removeRequest(fingerprint: string): void {
		this.#records.removeRequest(fingerprint);
		this.#recordsOf.delete(fingerprint);
		this.#pendingSince.delete(fingerprint);
		this.#condemnedUntil.delete(fingerprint);
	}

	/** Condemned requests, the latest at the end; with `isOnlyLocal`, those that were in flight in a crash that this daemon observed itself. */
	condemned(now: number, isOnlyLocal: boolean): ReadonlyArray<{readonly fingerprint: string; readonly refusedForMs: number}> {
		return [...new Set([...this.#peerRefusedUntil.keys(), ...this.#condemnedUntil.keys()])]
			.filter(fingerprint => !isOnlyLocal || this.hasLocalCrash(fingerprint))
			.map(fingerprint => ({fingerprint, refusedForMs: this.refusedUntil(fingerprint) - now}))
			.filter(({refusedForMs}) => refusedForMs > 0);
	}

	/** True if a request is condemned, here or by another daemon. */
	isCondemned(fingerprint: string): boolean {
		return this.#condemnedUntil.has(fingerprint) || this.#peerRefusedUntil.has(fingerprint);
	}

	/** Adds a refusal of a request that another daemon has condemned; `until` is a monotonic time in milliseconds. */
	addPeerRefusal(fingerprint: string, until: number): void {
		this.#peerRefusedUntil.set(fingerprint, Math.max(until, this.#peerRefusedUntil.get(fingerprint) ?? 0));
		deleteOldest(this.#peerRefusedUntil, maxCondemned);
	}

	/** Removes the refusal that another daemon has announced for a request. */
	removePeerRefusal(fingerprint: string): void {
		this.#peerRefusedUntil.delete(fingerprint);
	}

	/** Counts the crashes that a request may have caused; a crash with condemned requests counts only for those. */
	countCrashes(fingerprint: string): number {
		return this.#recordsOf.get(fingerprint)?.length ?? 0;
	}

	/** True if this daemon observed a crash while the request was in flight. */
	hasLocalCrash(fingerprint: string): boolean {
		return this.#records.all.some(record => record.isLocal && record.requests.has(fingerprint));
	}

	/** Rank of a contested request among all contested ones; daemons with the same records compute the same rank. */
	rankOf(fingerprint: string): number {
		return this.#contested.filter(other => other < fingerprint).length;
	}

	/** Time until the next turn of a contested request, in milliseconds; 0 while it may start. */
	turnDelayMs(fingerprint: string, now: number): number {
		const contested = this.#contested;
		const lastCrashAt = Math.max(...contested.flatMap(other => this.#recordsOf.get(other)!.map(({at}) => at)));
		const turns = Math.min(maxTurns, contested.length);
		return computeTurnDelay(this.rankOf(fingerprint) % turns, turns, now - lastCrashAt);
	}

	get #contested(): readonly string[] {
		return [...this.#recordsOf].filter(([, records]) => records.length >= minCrashesToCondemn).map(([fingerprint]) => fingerprint);
	}

	/** Returns how strongly a request is suspected. */
	statusOf(fingerprint: string, now: number): SuspicionStatus {
		if (this.refusedUntil(fingerprint) > now) {
			return 'condemned';
		}

		const crashes = this.countCrashes(fingerprint);
		if (crashes === 0) {
			return 'free';
		}

		return this.#pendingSince.has(fingerprint) ? 'pending' : (crashes >= minCrashesToCondemn ? 'contested' : 'suspect');
	}

	/** Monotonic time until which a request is refused, in milliseconds; 0 if it is not refused. */
	refusedUntil(fingerprint: string): number {
		return Math.max(this.#condemnedUntil.get(fingerprint) ?? 0, this.#peerRefusedUntil.get(fingerprint) ?? 0);
	}

	/** Re-evaluates the recorded crashes; returns the requests that are condemned from now on and those whose condemnation is lifted. */
	evaluate(now: number): {readonly condemned: readonly string[]; readonly lifted: readonly string[]} {
		this.#expire(now);
		this.#recordsOf = this.#indexUnexplained();
		const likely = this.#findLikelyCulprits();
		for (const fingerprint of this.#pendingSince.keys()) {
			if (!likely.has(fingerprint)) {
				this.#pendingSince.delete(fingerprint);
			}
		}

		for (const fingerprint of likely) {
			this.#pendingSince.set(fingerprint, this.#pendingSince.get(fingerprint) ?? now);
		}

		// A request whose crashes are no longer recorded, because there were many others since, stays condemned.
		const lifted = [...this.#recordsOf]
			.filter(([fingerprint, records]) => records.length >= minCrashesToCondemn && this.#condemnedUntil.has(fingerprint) && !likely.has(fingerprint))
			.map(([fingerprint]) => fingerprint);
		for (const fingerprint of lifted) {
			this.#condemnedUntil.delete(fingerprint);
		}

		const waitMs = this.#guards.waitsForOtherCulprits ? condemnationDelayMs : 0;
		const condemned = [...this.#pendingSince]
			.filter(([fingerprint, since]) => now - since >= waitMs && !this.#condemnedUntil.has(fingerprint))
			.map(([fingerprint]) => fingerprint);
		for (const fingerprint of condemned) {
			this.#condemnedUntil.set(fingerprint, now + refusalDurationMs);
			deleteOldest(this.#condemnedUntil, maxCondemned);
		}

		if (condemned.length > 0 || lifted.length > 0) {
			this.#recordsOf = this.#indexUnexplained();
		}

		return {condemned, lifted};
	}

	#expire(now: number): void {
		if (now - this.#refusalsExpiredAt >= refusalExpiryIntervalMs) {
			this.#refusalsExpiredAt = now;
			deleteExpired(this.#peerRefusedUntil, now);
			deleteExpired(this.#condemnedUntil, now);
		}
	}

	#indexUnexplained(): Map<string, readonly CrashRecord[]> {
		const index = new Map<string, readonly CrashRecord[]>();
		for (const record of this.#records.all.filter(candidate => !this.#parts.isExplained(candidate))) {
			const fingerprints = [...record.requests.keys()];
			const condemned = fingerprints.filter(fingerprint => this.isCondemned(fingerprint));
			for (const fingerprint of condemned.length > 0 ? condemned : fingerprints) {
				index.set(fingerprint, [...index.get(fingerprint) ?? [], record]);
			}
		}

		return index;
	}

	/** Finds the requests that were in several crashes without any other request in all of them, and whose crashes no other likely culprits explain. */
	#findLikelyCulprits(): ReadonlySet<string> {
		const repeated = [...this.#recordsOf].filter(([, records]) => records.length >= minCrashesToCondemn);
		const uniqueSuspects = new Map(repeated.filter(([suspect, records]) => !this.#guards.requiresUniqueCulprit || (isOnlyCommonRequest(suspect, records) && !this.#parts.explainsWithout(suspect, records))));
		const likely = new Map([...uniqueSuspects].filter(([suspect, records]) => records.length > minCrashesToCondemn || !this.#isCorrelatedFailure(suspect, records, uniqueSuspects)));
		return new Set([...likely.keys()].filter(suspect => !this.#isExplainedByOthers(suspect, likely)));
	}

	/** True if other upstreams crashed at the same time for no known reason, as when a rack fails. */
	#isCorrelatedFailure(suspect: string, records: readonly CrashRecord[], uniqueSuspects: ReadonlyMap<string, readonly CrashRecord[]>): boolean {
		return this.#guards.excludesCorrelatedFailures && this.#records.all.some(other =>
			!other.requests.has(suspect)
			&& !this.#parts.isExplained(other)
			&& records.some(({at, upstream}) => upstream !== other.upstream && Math.abs(at - other.at) <= correlatedFailureWindowMs)
			&& ![...other.requests.keys()].some(fingerprint => this.#condemnedUntil.has(fingerprint)
				|| uniqueSuspects.get(fingerprint)?.every(({requests}) => !requests.has(suspect)) === true));
	}

	#isExplainedByOthers(suspect: string, likely: ReadonlyMap<string, readonly CrashRecord[]>): boolean {
		const records = likely.get(suspect)!;
		return this.#guards.waitsForOtherCulprits && records.length < conclusiveCrashes && records.every(record => [...record.requests.keys()].some(other =>
			other !== suspect && likely.get(other)?.some(({requests}) => !requests.has(suspect)) === true));
	}
}

function isOnlyCommonRequest(suspect: string, records: readonly CrashRecord[]): boolean {
	const [first, ...rest] = records;
	return [...first!.requests.keys()].every(other => other === suspect || rest.some(({requests}) => !requests.has(other)));
}

function deleteOldest(entries: Map<string, number>, limit: number): void {
	const [oldest] = entries.keys();
	if (entries.size > limit && oldest !== undefined) {
		entries.delete(oldest);
	}
}

function deleteExpired(entries: Map<string, number>, now: number): void {
	for (const [key, until] of entries) {
		if (until <= now) {
			entries.delete(key);
		}
	}
}
