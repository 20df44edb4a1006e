/** When an upstream with exchanges in progress was heard of last. */
type Activity = {
	exchanges: number;
	/** Time of the last byte, or of the start of the first exchange before any, in milliseconds. */
	heardAt: number;
};

/** Follows whether upstreams answer at all: one of which no exchange gets a byte stands still, or cannot be reached. */
export class UpstreamActivity {
	readonly #activities = new Map<string, Activity>();

	/** Records the start of an exchange. */
	begin(upstream: string, now: number): void {
		const activity = this.#activities.get(upstream) ?? {exchanges: 0, heardAt: now};
		activity.exchanges += 1;
		this.#activities.set(upstream, activity);
	}

	/** Records bytes of an answer. */
	hear(upstream: string, now: number): void {
		const activity = this.#activities.get(upstream);
		if (activity !== undefined) {
			activity.heardAt = now;
		}
	}

	/** Records the end of an exchange. */
	end(upstream: string): void {
		const activity = this.#activities.get(upstream);
		if (activity !== undefined) {
			activity.exchanges -= 1;
			if (activity.exchanges === 0) {
				this.#activities.delete(upstream);
			}
		}
	}

	/** Number of exchanges in progress with an upstream. */
	countExchanges(upstream: string): number {
		return this.#activities.get(upstream)?.exchanges ?? 0;
	}

	/** Upstreams with at least `minExchanges` exchanges, none of which has got a byte since a time. */
	silentUpstreams(since: number, minExchanges: number): readonly string[] {
		return [...this.#activities].filter(([, {exchanges, heardAt}]) => exchanges >= minExchanges && heardAt <= since).map(([upstream]) => upstream);
	}
}
