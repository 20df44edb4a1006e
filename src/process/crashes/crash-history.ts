/** Standing of a request: a pending one is withheld, a condemned one refused. */
export type SuspicionStatus = 'free' | 'suspect' | 'contested' | 'pending' | 'condemned';

/** Checks of the ledger; all are on except in tests that show what each of them prevents. */
export type CrashHistoryGuards = {
	/** Only a request that no other one accompanied in all its crashes is condemned. */
	readonly condemnsOnlyOne: boolean;
	/** A request is condemned only if nothing explains its crashes better for some time. */
	readonly waitsForExplanation: boolean;
	/** Two crashes are not enough while other upstreams crash without a known reason. */
	readonly excludesCorrelatedFailures: boolean;
};

type CrashRecord = {
	readonly upstream: string;
	readonly at: number;
	/** True once this daemon has seen the crash itself. */
	readonly isLocal: boolean;
	readonly fingerprints: ReadonlySet<string>;
};

/** Time for which a condemned request is refused, and a crash remembered, in milliseconds. */
export const refusalDurationMs = 600_000;

/** Time that a request is withheld before it is condemned: peers report their part of the same crashes, in milliseconds. */
export const condemnationDelayMs = 2000;

/** Reports of one upstream within this time are of the same crash, in milliseconds. */
const sameCrashWindowMs = 500;

/** Crashes of several upstreams within this time may have one cause outside the requests, in milliseconds. */
const correlatedFailureWindowMs = 2000;
const maxCrashRecords = 300;

/** Crashes after which a request is condemned, unless others were in the same ones. */
const minCrashesToCondemn = 2;

/** Crashes after which other likely requests no longer excuse one that was in all of them. */
const conclusiveCrashes = 4;

/** Crashes of upstreams with the requests that were in flight in each, and what follows from them. */
export class CrashHistory {
	readonly #guards: CrashHistoryGuards;
	readonly #pendingSince = new Map<string, number>();
	readonly #condemnedUntil = new Map<string, number>();
	readonly #peerRefusedUntil = new Map<string, number>();
	#records: readonly CrashRecord[] = [];
	#recordsOf: ReadonlyMap<string, readonly CrashRecord[]> = new Map();

	constructor(guards: CrashHistoryGuards) {
		this.#guards = guards;
	}

	/** True when nothing is suspected. */
	get isEmpty(): boolean {
		return this.#records.length === 0 && this.#peerRefusedUntil.size === 0;
	}

	/** Requests in crashes that no condemned request explains. */
	get suspects(): Iterable<string> {
		return this.#recordsOf.keys();
	}

	/** Adds a crash that this daemon has seen; peers may have reported it before. */
	addLocalCrash(upstream: string, at: number, fingerprints: ReadonlySet<string>): void {
		const reported = this.#findNearest(upstream, at, record => !record.isLocal);
		this.#replace(reported, {
			upstream, at, isLocal: true, fingerprints: fingerprints.union(reported?.fingerprints ?? new Set()),
		});
	}

	/** Adds a request that a peer had in flight in the crash of an upstream. */
	addPeerReport(upstream: string, at: number, fingerprint: string): void {
		const known = this.#findNearest(upstream, at, () => true);
		this.#replace(known, {
			upstream, at, isLocal: false, ...known, fingerprints: new Set([fingerprint, ...known?.fingerprints ?? []]),
		});
	}

	/** Removes a request that has completed. */
	removeRequest(fingerprint: string): void {
		this.#records = this.#records
			.map(record => (record.fingerprints.has(fingerprint) ? {...record, fingerprints: record.fingerprints.difference(new Set([fingerprint]))} : record))
			.filter(record => record.fingerprints.size > 0);
	}

	/** Learns of a request that another daemon has condemned. */
	addPeerRefusal(fingerprint: string, until: number): void {
		this.#peerRefusedUntil.set(fingerprint, Math.max(until, this.#peerRefusedUntil.get(fingerprint) ?? 0));
	}

	/** Drops what was learned of a request. */
	removePeerRefusal(fingerprint: string): void {
		this.#peerRefusedUntil.delete(fingerprint);
	}

	/** Crashes of a request that no condemned request explains. */
	countCrashes(fingerprint: string): number {
		return this.#recordsOf.get(fingerprint)?.length ?? 0;
	}

	/** True when this daemon has seen a crash with the request itself. */
	hasLocalCrash(fingerprint: string): boolean {
		return this.#records.some(record => record.isLocal && record.fingerprints.has(fingerprint));
	}

	/** Place of a contested request among all of them, in an order that daemons share. */
	rankOf(fingerprint: string): number {
		return [...this.#recordsOf]
			.filter(([other, records]) => records.length >= minCrashesToCondemn && other < fingerprint)
			.length;
	}

	/** Standing of a request. */
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

	/** End of a refusal in monotonic time; 0 for none. */
	refusedUntil(fingerprint: string): number {
		return Math.max(this.#condemnedUntil.get(fingerprint) ?? 0, this.#peerRefusedUntil.get(fingerprint) ?? 0);
	}

	/** Draws the conclusions from what has been added; returns requests whose refusal begins or ends. */
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

		const lifted = [...this.#condemnedUntil.keys()].filter(fingerprint => !likely.has(fingerprint));
		for (const fingerprint of lifted) {
			this.#condemnedUntil.delete(fingerprint);
		}

		const waitMs = this.#guards.waitsForExplanation ? condemnationDelayMs : 0;
		const condemned = [...this.#pendingSince]
			.filter(([fingerprint, since]) => now - since >= waitMs && !this.#condemnedUntil.has(fingerprint))
			.map(([fingerprint]) => fingerprint);
		for (const fingerprint of condemned) {
			this.#condemnedUntil.set(fingerprint, now + refusalDurationMs);
		}

		if (condemned.length > 0 || lifted.length > 0) {
			this.#recordsOf = this.#indexUnexplained();
		}

		return {condemned, lifted};
	}

	#findNearest(upstream: string, at: number, isSought: (record: CrashRecord) => boolean): CrashRecord | undefined {
		return this.#records
			.filter(record => record.upstream === upstream && Math.abs(record.at - at) <= sameCrashWindowMs && isSought(record))
			.toSorted((a, b) => Math.abs(a.at - at) - Math.abs(b.at - at))[0];
	}

	#replace(known: CrashRecord | undefined, record: CrashRecord): void {
		this.#records = [...this.#records.filter(other => other !== known), record].slice(-maxCrashRecords);
	}

	#expire(now: number): void {
		this.#records = this.#records.filter(({at}) => now - at < refusalDurationMs);
		for (const [fingerprint, until] of this.#peerRefusedUntil) {
			if (until <= now) {
				this.#peerRefusedUntil.delete(fingerprint);
			}
		}
	}

	#indexUnexplained(): ReadonlyMap<string, readonly CrashRecord[]> {
		const index = new Map<string, CrashRecord[]>();
		for (const record of this.#records) {
			const condemned = [...record.fingerprints].filter(name => this.#condemnedUntil.has(name) || this.#peerRefusedUntil.has(name));
			for (const fingerprint of condemned.length > 0 ? condemned : record.fingerprints) {
				index.set(fingerprint, [...index.get(fingerprint) ?? [], record]);
			}
		}

		return index;
	}

	/** Requests that were in several crashes, not always beside the same other one, and that no other likely ones explain. */
	#findLikelyCulprits(): ReadonlySet<string> {
		const repeated = [...this.#recordsOf].filter(([, records]) => records.length >= minCrashesToCondemn);
		const alone = new Map(repeated.filter(([name, records]) => !this.#guards.condemnsOnlyOne || isOnlyCommonRequest(name, records)));
		const likely = new Map([...alone].filter(([name, records]) => records.length > minCrashesToCondemn || !this.#isCorrelatedFailure(name, records, alone)));
		return new Set([...likely.keys()].filter(name => !this.#isExplainedByOthers(name, likely)));
	}

	/** True when other upstreams crashed at the same time for no known reason, as in the failure of a rack. */
	#isCorrelatedFailure(name: string, records: readonly CrashRecord[], alone: ReadonlyMap<string, readonly CrashRecord[]>): boolean {
		return this.#guards.excludesCorrelatedFailures && this.#records.some(other =>
			!other.fingerprints.has(name)
			&& records.some(({at, upstream}) => upstream !== other.upstream && Math.abs(at - other.at) <= correlatedFailureWindowMs)
			&& ![...other.fingerprints].some(fingerprint => this.#condemnedUntil.has(fingerprint)
				|| alone.get(fingerprint)?.every(({fingerprints}) => !fingerprints.has(name)) === true));
	}

	#isExplainedByOthers(name: string, likely: ReadonlyMap<string, readonly CrashRecord[]>): boolean {
		const records = likely.get(name)!;
		return this.#guards.waitsForExplanation && records.length < conclusiveCrashes && records.every(record => [...record.fingerprints].some(other =>
			other !== name && likely.get(other)?.some(({fingerprints}) => !fingerprints.has(name)) === true));
	}
}

function isOnlyCommonRequest(name: string, records: readonly CrashRecord[]): boolean {
	const [first, ...rest] = records;
	return [...first!.fingerprints].every(other => other === name || rest.some(({fingerprints}) => !fingerprints.has(other)));
}
