/** An upstream as the host list names it. */
export type ListedUpstream = {
	readonly id: string;
	readonly availabilityZone: string;
	readonly isLeaving: boolean;
};

/** A sign that an upstream is leaving, or that it has returned. */
export type LeavingSign = {
	readonly upstream: string;
	readonly leaving: boolean;
	/** Time of the sign in milliseconds of this daemon's monotonic clock. */
	readonly observedAt: number;
};

type Mark = LeavingSign & {
	/** True when this daemon saw the sign itself and repeats it. */
	readonly isLocallyObserved: boolean;
	repeatedAt: number;
	probedAt: number;
};

/** Signs of opposite meaning within this time cannot be ordered across daemons; leaving wins. */
const signOrderToleranceMs = 250;
const repeatIntervalMs = 10_000;
const probeIntervalMs = 2000;
const maxMarks = 4096;

/** Marks of leaving upstreams; the newest sign counts, whoever saw it. */
export class LeavingMarks {
	readonly #marks = new Map<string, Mark>();
	#version = 0;
	#listed: ReadonlyMap<string, ListedUpstream> = new Map();

	/** Raised by each change of a mark. */
	get version(): number {
		return this.#version;
	}

	/** Signs in force. */
	get signs(): readonly LeavingSign[] {
		return [...this.#marks.values()];
	}

	/** True while the newest sign says that the upstream leaves. */
	isLeaving(upstream: string): boolean {
		return this.#marks.get(upstream)?.leaving === true;
	}

	/** Takes in a sign; returns true when it changes the mark. */
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

	/** Takes in the host list; only a change of the listed state is a sign, as the list lags. */
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

	/** Returns the own signs that are due to be repeated, for daemons that missed them. */
	takeDueRepeats(now: number, all = false): readonly LeavingSign[] {
		const due = [...this.#marks.values()].filter(mark =>
			mark.isLocallyObserved && mark.leaving && (all || now - mark.repeatedAt >= repeatIntervalMs));
		for (const mark of due) {
			mark.repeatedAt = now;
		}

		return due;
	}

	/** Returns the leaving upstreams that this daemon is to probe for their return. */
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
