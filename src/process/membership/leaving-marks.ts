/** An upstream as listed in the host list. */
export type ListedUpstream = {
	readonly id: string;
	readonly availabilityZone: string;
	readonly isLeaving: boolean;
};

/** A sign that an upstream is leaving, or that it has returned. */
export type LeavingSign = {
	readonly upstream: string;
	readonly leaving: boolean;
	/** Time at which the sign was observed, in milliseconds of this daemon's monotonic clock. */
	readonly observedAt: number;
};

type Mark = LeavingSign & {
	/** True when this daemon observed the sign itself and therefore repeats it. */
	readonly isLocallyObserved: boolean;
	repeatedAt: number;
	probedAt: number;
};

/** Opposite signs that are closer in time than this cannot be ordered across daemons; then leaving takes precedence. */
const signOrderToleranceMs = 250;
const repeatIntervalMs = 10_000;
const probeIntervalMs = 2000;
const maxMarks = 4096;

/** Marks of leaving upstreams. The newest sign counts, whichever daemon observed it. */
export class LeavingMarks {
	readonly #marks = new Map<string, Mark>();
	#version = 0;
	#listed: ReadonlyMap<string, ListedUpstream> = new Map();

	/** Version that each change of a mark increments. */
	get version(): number {
		return this.#version;
	}

	/** Current sign of each marked upstream. */
	get signs(): readonly LeavingSign[] {
		return [...this.#marks.values()];
	}

	/** True while the newest sign says that the upstream is leaving. */
	isLeaving(upstream: string): boolean {
		return this.#marks.get(upstream)?.leaving === true;
	}

	/** Applies a sign; returns true when it changes whether the upstream is leaving. */
	applySign(sign: LeavingSign, isLocallyObserved: boolean): boolean {
		const known = this.#marks.get(sign.upstream);
		if ((known?.leaving ?? false) === sign.leaving) {
			if (known !== undefined && sign.observedAt > known.observedAt) {
				this.#set({
					...known, observedAt: sign.observedAt, isLocallyObserved: known.isLocallyObserved || isLocallyObserved,
				});
			}

			return false;
		}

		if (known !== undefined && !isNewer(sign, known)) {
			return false;
		}

		this.#set({
			...sign, isLocallyObserved, repeatedAt: sign.observedAt, probedAt: sign.observedAt,
		});
		return true;
	}

	/** Updates the listed upstreams and returns the signs in the list. Only a change of the listed state is a sign, because the list lags behind the signs that daemons observe. */
	updateListed(upstreams: readonly ListedUpstream[], now: number): readonly LeavingSign[] {
		const previous = this.#listed;
		this.#listed = new Map(upstreams.map(upstream => [upstream.id, upstream]));
		for (const upstream of this.#marks.keys()) {
			if (!this.#listed.has(upstream) && previous.has(upstream)) {
				this.#marks.delete(upstream);
				this.#version += 1;
			}
		}

		return upstreams
			.filter(upstream => upstream.isLeaving !== (previous.get(upstream.id)?.isLeaving ?? false))
			.map(upstream => ({upstream: upstream.id, leaving: upstream.isLeaving, observedAt: now}));
	}

	/** Returns the own signs that are due to be repeated to daemons that missed them, and marks them as repeated. */
	takeDueRepeats(now: number, includesAll = false): readonly LeavingSign[] {
		const due = [...this.#marks.values()].filter(mark =>
			mark.isLocallyObserved && mark.leaving && (includesAll || now - mark.repeatedAt >= repeatIntervalMs));
		for (const mark of due) {
			mark.repeatedAt = now;
		}

		return due;
	}

	/** Returns the leaving upstreams that this daemon has to probe for their return now, and marks them as probed. */
	takeDueProbes(now: number, isProber: (upstream: string, availabilityZone: string | undefined) => boolean): readonly string[] {
		const due = [...this.#marks.values()].filter(mark =>
			mark.leaving
			&& now - mark.probedAt >= probeIntervalMs
			&& this.#listed.get(mark.upstream)?.isLeaving !== true
			&& isProber(mark.upstream, this.#listed.get(mark.upstream)?.availabilityZone));
		for (const mark of due) {
			mark.probedAt = now;
		}

		return due.map(mark => mark.upstream);
	}

	#set(mark: Mark): void {
		this.#version += 1;
		this.#marks.delete(mark.upstream);
		this.#marks.set(mark.upstream, mark);
		if (this.#marks.size > maxMarks) {
			const [oldest] = this.#marks.keys();
			this.#marks.delete(oldest!);
		}
	}
}

function isNewer(sign: LeavingSign, known: LeavingSign): boolean {
	return sign.leaving ? sign.observedAt > known.observedAt - signOrderToleranceMs : sign.observedAt > known.observedAt + signOrderToleranceMs;
}
