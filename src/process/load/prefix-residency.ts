/** One change of an upstream's prefix cache. */
export type CacheEvent = {
	readonly sequence: number;
	readonly kind: 'stored' | 'evicted';
	readonly prefix: string;
};

/** Cache events read from one upstream. */
export type CacheEventBatch = {
	/** Sequence number of the oldest event that the upstream still retains. */
	readonly first: number;
	readonly events: readonly CacheEvent[];
};

const maxPrefixes = 10_000;
const maxUpstreamsPerPrefix = 4;

/** Tracks which upstreams are likely to have a prompt prefix in their cache. */
export class PrefixResidency {
	readonly #upstreams = new Map<string, string[]>();
	readonly #lastSequence = new Map<string, number>();

	/** Upstreams that are likely to have the prefix cached, most recent first. */
	upstreams(prefix: string): readonly string[] {
		return this.#upstreams.get(prefix) ?? [];
	}

	/** Sequence number of the last event applied for an upstream; reading continues after it. */
	lastSequence(upstream: string): number {
		return this.#lastSequence.get(upstream) ?? 0;
	}

	/** Records that an upstream has the prefix, because a request with it was sent there or the upstream reported it. */
	recordSend(prefix: string, upstream: string): void {
		const others = this.upstreams(prefix).filter(other => other !== upstream);
		this.#upstreams.delete(prefix);
		this.#upstreams.set(prefix, [upstream, ...others].slice(0, maxUpstreamsPerPrefix));
		if (this.#upstreams.size > maxPrefixes) {
			const [oldest] = this.#upstreams.keys();
			this.#upstreams.delete(oldest!);
		}
	}

	/** Applies a batch; a gap discards what is known of the upstream's cache, because evictions may have been missed. */
	applyEvents(upstream: string, batch: CacheEventBatch): void {
		const last = this.lastSequence(upstream);
		const events = batch.events.filter(({sequence}) => sequence > last);
		const firstNew = events[0]?.sequence ?? last + 1;
		if (batch.first > last + 1 || firstNew > last + 1) {
			this.forget(upstream);
		}

		for (const {sequence, kind, prefix} of events) {
			this.#lastSequence.set(upstream, sequence);
			if (kind === 'stored') {
				this.recordSend(prefix, upstream);
			} else {
				this.#evict(prefix, upstream);
			}
		}
	}

	/** Discards what is known of an upstream's cache. */
	forget(upstream: string): void {
		for (const prefix of this.#upstreams.keys()) {
			this.#evict(prefix, upstream);
		}
	}

	#evict(prefix: string, upstream: string): void {
		const rest = this.upstreams(prefix).filter(other => other !== upstream);
		if (rest.length === 0) {
			this.#upstreams.delete(prefix);
		} else {
			this.#upstreams.set(prefix, rest);
		}
	}
}
