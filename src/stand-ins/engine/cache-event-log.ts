import type {Clock} from '../../process/clock.ts';

/** One published change of the prefix cache. */
export type PublishedCacheEvent = {
	readonly sequence: number;
	readonly kind: 'stored' | 'evicted';
	readonly prefix: string;
};

/** A batch of cache events; a jump in the sequence numbers is a gap. */
export type CacheEventBatch = {
	/** Lowest sequence number that is still kept. */
	readonly first: number;
	readonly events: readonly PublishedCacheEvent[];
};

/** How late and how gapped events are published. */
export type PublicationFaults = {
	/** Age at which an event becomes visible, in milliseconds. */
	readonly eventDelayMs: number;
	/** Drops each n-th event; 0 drops none. */
	readonly dropEvery: number;
};

const maxKeptEvents = 4096;

/** Bounded log of cache events, published late and with gaps. */
export class CacheEventLog {
	readonly #clock: Clock;
	#entries: ReadonlyArray<PublishedCacheEvent & {readonly at: number}> = [];

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Records an event at the present time. */
	record(event: PublishedCacheEvent): void {
		const entry = {...event, at: this.#clock.now()};
		this.#entries = [...this.#entries.slice(1 - maxKeptEvents), entry];
	}

	/** Returns the visible events after a sequence number. */
	read(after: number, faults: PublicationFaults): CacheEventBatch {
		const latest = this.#clock.now() - faults.eventDelayMs;
		const visible = this.#entries.filter(({sequence, at}) =>
			sequence > after && at <= latest && (faults.dropEvery === 0 || sequence % faults.dropEvery !== 0));
		return {
			first: this.#entries[0]?.sequence ?? 0,
			events: visible.map(({sequence, kind, prefix}) => ({sequence, kind, prefix})),
		};
	}
}
