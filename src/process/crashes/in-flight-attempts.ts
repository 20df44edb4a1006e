import type {RequestIdentity} from '../../request/request-identity.ts';

/** An attempt that is in flight. */
export type InFlightAttempt = RequestIdentity & {
	readonly upstream: string;
	/** Monotonic time in milliseconds. */
	readonly startedAt: number;
	/** Fields that describe the request in logs. */
	readonly details?: Readonly<Record<string, unknown>>;
};

/** Attempts in flight, indexed by upstream and by request. */
export class InFlightAttempts {
	readonly #attempts = new Map<number, InFlightAttempt>();
	readonly #byUpstream = new Map<string, Set<number>>();
	readonly #byFingerprint = new Map<string, Set<number>>();

	/** Adds an attempt. */
	add(attemptId: number, attempt: InFlightAttempt): void {
		this.#attempts.set(attemptId, attempt);
		addTo(this.#byUpstream, attempt.upstream, attemptId);
		addTo(this.#byFingerprint, attempt.fingerprint, attemptId);
	}

	/** Returns an attempt; `undefined` once it has ended. */
	get(attemptId: number): InFlightAttempt | undefined {
		return this.#attempts.get(attemptId);
	}

	/** Removes an attempt that has ended. */
	remove(attemptId: number): void {
		const attempt = this.#attempts.get(attemptId);
		this.#attempts.delete(attemptId);
		if (attempt !== undefined) {
			removeFrom(this.#byUpstream, attempt.upstream, attemptId);
			removeFrom(this.#byFingerprint, attempt.fingerprint, attemptId);
		}
	}

	/** Returns the attempts on an upstream. */
	attemptsOn(upstream: string): ReadonlyMap<number, InFlightAttempt> {
		const attemptIds = this.#byUpstream.get(upstream) ?? new Set();
		return new Map([...attemptIds].map(attemptId => [attemptId, this.#attempts.get(attemptId)!]));
	}

	/** Counts the attempts of the given requests on each upstream, without those of `fingerprint` itself. */
	countOthers(fingerprint: string, fingerprints: ReadonlySet<string>): ReadonlyMap<string, number> {
		const counts = new Map<string, number>();
		for (const other of fingerprints) {
			for (const attemptId of other === fingerprint ? [] : this.#byFingerprint.get(other) ?? []) {
				const {upstream} = this.#attempts.get(attemptId)!;
				counts.set(upstream, (counts.get(upstream) ?? 0) + 1);
			}
		}

		return counts;
	}
}

function addTo(index: Map<string, Set<number>>, key: string, attemptId: number): void {
	const attemptIds = index.get(key) ?? new Set();
	attemptIds.add(attemptId);
	index.set(key, attemptIds);
}

function removeFrom(index: Map<string, Set<number>>, key: string, attemptId: number): void {
	const attemptIds = index.get(key);
	attemptIds?.delete(attemptId);
	if (attemptIds?.size === 0) {
		index.delete(key);
	}
}
