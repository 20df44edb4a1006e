import type {RequestIdentity} from '../../request/request-identity.ts';
import {refusalDurationMs} from './crash-timing.ts';

/** A crash of an upstream with the requests that were in flight there. */
export type CrashRecord = {
	readonly upstream: string;
	/** Monotonic time in milliseconds. */
	readonly at: number;
	/** True if this daemon observed the crash itself. */
	readonly isLocal: boolean;
	/** Keys of the prompt parts of each request, by fingerprint. */
	readonly requests: ReadonlyMap<string, readonly string[]>;
};

/** Reports about one upstream that lie no further apart than this are attributed to the same crash, in milliseconds. */
const sameCrashWindowMs = 500;
const maxCrashRecords = 300;
/**
The same for crashes that are read back from the store, in milliseconds: the clocks of the hosts that wrote them differ, and an
upstream needs longer than this to restart and crash again under the same id.
*/
const rememberedCrashWindowMs = 5000;

/** The latest crashes of upstreams, as observed here and as reported by peers. */
export class CrashRecords {
	#records: readonly CrashRecord[] = [];
	#revision = 0;

	/** Remembered crashes. */
	get all(): readonly CrashRecord[] {
		return this.#records;
	}

	/** Changes with each change of the records. */
	get revision(): number {
		return this.#revision;
	}

	/** Adds a crash that this daemon observed; merges it with the reports that peers have sent about the same crash. */
	addLocalCrash(upstream: string, at: number, requests: ReadonlyMap<string, readonly string[]>): void {
		const reported = this.#findNearest(upstream, at, record => !record.isLocal);
		this.#replace(reported, {
			upstream, at, isLocal: true, requests: new Map([...requests, ...reported?.requests ?? []]),
		});
	}

	/** Adds a request that a peer had in flight when an upstream crashed. */
	addPeerReport(upstream: string, at: number, request: RequestIdentity): void {
		this.#addReport(upstream, at, request, sameCrashWindowMs);
	}

	/** Adds a request of a crash that was read back from the store. */
	addRemembered(upstream: string, at: number, request: RequestIdentity): void {
		this.#addReport(upstream, at, request, rememberedCrashWindowMs);
	}

	/** Removes a request from all crashes; a crash without requests is forgotten. */
	removeRequest(fingerprint: string): void {
		if (!this.#records.some(({requests}) => requests.has(fingerprint))) {
			return;
		}

		this.#records = this.#records
			.map(record => (record.requests.has(fingerprint) ? {...record, requests: new Map([...record.requests].filter(([other]) => other !== fingerprint))} : record))
			.filter(({requests}) => requests.size > 0);
		this.#revision += 1;
	}

	/** Forgets crashes whose retention time is over. */
	expire(now: number): void {
		const kept = this.#records.filter(({at}) => now - at < refusalDurationMs);
		this.#revision += kept.length === this.#records.length ? 0 : 1;
		this.#records = kept;
	}

	#addReport(upstream: string, at: number, {fingerprint, promptParts}: RequestIdentity, windowMs: number): void {
		const known = this.#findNearest(upstream, at, () => true, windowMs);
		if (known?.requests.has(fingerprint) === true) {
			return;
		}

		this.#replace(known, {
			upstream, at, isLocal: false, ...known, requests: new Map([[fingerprint, promptParts], ...known?.requests ?? []]),
		});
	}

	#findNearest(upstream: string, at: number, matches: (record: CrashRecord) => boolean, windowMs = sameCrashWindowMs): CrashRecord | undefined {
		return this.#records
			.filter(record => record.upstream === upstream && Math.abs(record.at - at) <= windowMs && matches(record))
			.toSorted((a, b) => Math.abs(a.at - at) - Math.abs(b.at - at))[0];
	}

	#replace(known: CrashRecord | undefined, record: CrashRecord): void {
		this.#records = [...this.#records.filter(other => other !== known), record].slice(-maxCrashRecords);
		this.#revision += 1;
	}
}
