/** An attempt on its way. */
export type InFlightAttempt = {
	readonly upstream: string;
	/** Hash of customer, path and body. */
	readonly fingerprint: string;
	/** Monotonic time in milliseconds. */
	readonly startedAt: number;
};

/** Attempts in flight, by upstream and by request. */
export class InFlightAttempts {
	readonly #attempts = new Map<number, InFlightAttempt>();
	readonly #byUpstream = new Map<string, Set<number>>();
	readonly #byFingerprint = new Map<string, Set<number>>();

	/** Adds an attempt. */
	add(attempt: number, flight: InFlightAttempt): void {
		this.#attempts.set(attempt, flight);
		addTo(this.#byUpstream, flight.upstream, attempt);
		addTo(this.#byFingerprint, flight.fingerprint, attempt);
	}

	/** Returns an attempt; `undefined` once it has ended. */
	get(attempt: number): InFlightAttempt | undefined {
		return this.#attempts.get(attempt);
	}

	/** Removes an attempt that has ended. */
	remove(attempt: number): void {
		const flight = this.#attempts.get(attempt);
		this.#attempts.delete(attempt);
		if (flight !== undefined) {
			removeFrom(this.#byUpstream, flight.upstream, attempt);
			removeFrom(this.#byFingerprint, flight.fingerprint, attempt);
		}
	}

	/** Returns the attempts on an upstream. */
	attemptsOn(upstream: string): ReadonlyMap<number, InFlightAttempt> {
		const attempts = this.#byUpstream.get(upstream) ?? new Set();
		return new Map([...attempts].map(attempt => [attempt, this.#attempts.get(attempt)!]));
	}

	/** Counts, by upstream, the attempts of the named requests without one of them. */
	countOthers(fingerprint: string, names: ReadonlySet<string>): ReadonlyMap<string, number> {
		const counts = new Map<string, number>();
		for (const name of names) {
			for (const attempt of name === fingerprint ? [] : this.#byFingerprint.get(name) ?? []) {
				const {upstream} = this.#attempts.get(attempt)!;
				counts.set(upstream, (counts.get(upstream) ?? 0) + 1);
			}
		}

		return counts;
	}
}

function addTo(index: Map<string, Set<number>>, name: string, attempt: number): void {
	const attempts = index.get(name) ?? new Set();
	attempts.add(attempt);
	index.set(name, attempts);
}

function removeFrom(index: Map<string, Set<number>>, name: string, attempt: number): void {
	const attempts = index.get(name);
	attempts?.delete(attempt);
	if (attempts?.size === 0) {
		index.delete(name);
	}
}
