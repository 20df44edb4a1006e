/** One change of an upstream's prefix cache. */
export type CacheEvent = {
	readonly sequence: number;
	readonly kind: 'stored' | 'evicted';
	readonly prefix: string;
};

/** Cache events of one upstream, as read. */
export type CacheEventBatch = {
	/** Sequence number of the oldest event that the upstream still keeps. */
	readonly first: number;
	readonly events: readonly CacheEvent[];
};

const maxPrefixes = 10_000;
const maxUpstreamsPerPrefix = 4;

/** Which upstreams are likely to have a prompt prefix in their cache. */
export class PrefixResidency {
	readonly #upstreams = new Map<string, string[]>();
	readonly #lastSequence = new Map<string, number>();

	/** Upstreams that are likely to hold the prefix, most recent first. */
	upstreams(prefix: string): readonly string[] {
		return this.#upstreams.get(prefix) ?? [];
	}

	/** Sequence number after which events of an upstream are to be read. */
	lastSequence(upstream: string): number {
		return this.#lastSequence.get(upstream) ?? 0;
	}

	/** Notes that a request with the prefix was sent to an upstream. */
	recordSend(prefix: string, upstream: string): void {
		const others = this.upstreams(prefix).filter(other => other !== upstream);
		this.#upstreams.delete(prefix);
		this.#upstreams.set(prefix, [upstream, ...others].slice(0, maxUpstreamsPerPrefix));
		if (this.#upstreams.size > maxPrefixes) {
			const [oldest] = this.#upstreams.keys();
			this.#upstreams.delete(oldest!);
		}
	}

	/** Takes a batch; after a gap nothing is assumed of the upstream's cache, because evictions may be missing. */
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

	/** Drops what is known of an upstream's cache. */
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
