import type {Clock} from '../../process/clock.ts';

/** One published change of the prefix cache. */
export type PublishedCacheEvent = {
	readonly sequence: number;
	readonly kind: 'stored' | 'evicted';
	readonly prefix: string;
};

/** A batch of cache events; a missing sequence number means that an event was dropped. */
export type CacheEventBatch = {
	/** Lowest sequence number that the log still keeps; 0 when it is empty. */
	readonly first: number;
	readonly events: readonly PublishedCacheEvent[];
};

/** Delay and loss in the publication of cache events. */
export type PublicationFaults = {
	/** Time until an event becomes visible, in milliseconds. */
	readonly eventDelayMs: number;
	/** Drops every nth event; 0 drops none. */
	readonly dropEvery: number;
};

const maxKeptEvents = 4096;

/** Bounded log of cache events, published with a configurable delay and loss. */
export class CacheEventLog {
	readonly #clock: Clock;
	#entries: ReadonlyArray<PublishedCacheEvent & {readonly at: number}> = [];

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Records an event at the current time. */
	record(event: PublishedCacheEvent): void {
		const entry = {...event, at: this.#clock.now()};
		this.#entries = [...this.#entries.slice(1 - maxKeptEvents), entry];
	}

	/** Returns the visible events after a sequence number. */
	read(after: number, faults: PublicationFaults): CacheEventBatch {
		const visibleUntil = this.#clock.now() - faults.eventDelayMs;
		const visible = this.#entries.filter(({sequence, at}) =>
			sequence > after && at <= visibleUntil && (faults.dropEvery === 0 || sequence % faults.dropEvery !== 0));
		return {
			first: this.#entries[0]?.sequence ?? 0,
			events: visible.map(({sequence, kind, prefix}) => ({sequence, kind, prefix})),
		};
	}
}
