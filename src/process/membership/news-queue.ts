import {clone, toBinary, type MessageInitShape} from '@bufbuild/protobuf';
import {NewsSchema, type News} from '../../generated/peer_pb.js';

/** Content of a news item. News is what daemons gossip to each other with their heartbeats. */
export type NewsItem = Exclude<NonNullable<MessageInitShape<typeof NewsSchema>['item']>, {readonly case?: undefined}>;

type ItemCase = NewsItem['case'];

type QueuedNews = {
	readonly news: News;
	readonly key: string;
	readonly priority: number;
	readonly bytes: number;
	/** Time at which the item was received or announced, in milliseconds. */
	readonly queuedAt: number;
	/** Position in the order of arrival; among otherwise equal items the oldest is sent first. */
	readonly arrivalNumber: number;
	sends: number;
};

type SeenCounters = {highest: bigint; readonly recent: Set<bigint>};

const maxQueuedItems = 512;
const maxTrackedOrigins = 2048;
const counterWindowSize = 256;
/** Bytes for the field tag and length of an item, and for the growth of its relative times while it waits. */
const itemOverheadBytes = 8;

/** The lowest number is sent first. A leaving upstream must be known to all daemons within 3 s. */
const priorities: Readonly<Record<ItemCase, number>> = {
	upstreamLeaving: 0,
	crashingRequest: 1,
	memberState: 2,
	customerUsage: 3,
};

/** True for an item that is forwarded at once instead of with the next heartbeat. */
export function isUrgent(item: News['item']): boolean {
	return item.case === 'upstreamLeaving' || item.case === 'crashingRequest';
}

/** Queue of news to forward: deduplicated by origin and counter, bounded in number, ordered by priority. */
export class NewsQueue {
	readonly #entries = new Map<string, QueuedNews>();
	readonly #seen = new Map<string, SeenCounters>();
	#arrivalCount = 0;

	/** Number of queued items. */
	get size(): number {
		return this.#entries.size;
	}

	/** Records an item as seen; returns false when it is a duplicate, or too old to tell whether it is one. */
	recordIfNew(news: News): boolean {
		return news.item.case !== undefined && this.#isNew(news.origin, news.counter);
	}

	/** Queues an item for forwarding if it has hops left. */
	enqueue(news: News, now: number): void {
		if (news.hops > 0) {
			this.#enqueue(news, now);
		}
	}

	/** Selects items for one message; each item is selected at most `maxSends` times. */
	select(limits: {readonly maxBytes: number; readonly maxUsageBytes: number; readonly maxSends: number}, now: number): readonly News[] {
		const selected: News[] = [];
		let bytes = 0;
		for (const entry of this.#sortByPriority()) {
			const limit = entry.priority === priorities.customerUsage ? limits.maxUsageBytes : limits.maxBytes;
			if (bytes + entry.bytes > limit) {
				continue;
			}

			bytes += entry.bytes;
			selected.push(copyForForwarding(entry, now));
			entry.sends += 1;
			if (entry.sends >= limits.maxSends) {
				this.#entries.delete(entry.key);
			}
		}

		return selected;
	}

	#sortByPriority(): readonly QueuedNews[] {
		return [...this.#entries.values()].toSorted((a, b) =>
			a.priority - b.priority || a.sends - b.sends || a.arrivalNumber - b.arrivalNumber);
	}

	#enqueue(news: News, now: number): void {
		const key = createReplacementKey(news);
		this.#arrivalCount += 1;
		this.#entries.set(key, {
			news,
			key,
			priority: priorities[news.item.case!],
			bytes: toBinary(NewsSchema, news).length + itemOverheadBytes,
			queuedAt: now,
			arrivalNumber: this.#arrivalCount,
			sends: 0,
		});
		if (this.#entries.size > maxQueuedItems) {
			const last = this.#sortByPriority().at(-1)!;
			this.#entries.delete(last.key);
		}
	}

	#isNew(origin: string, counter: bigint): boolean {
		const seen = this.#seen.get(origin) ?? {highest: counter - 1n, recent: new Set<bigint>()};
		this.#seen.delete(origin);
		this.#seen.set(origin, seen);
		if (this.#seen.size > maxTrackedOrigins) {
			const [oldest] = this.#seen.keys();
			this.#seen.delete(oldest!);
		}

		if (seen.recent.has(counter) || counter + BigInt(counterWindowSize) <= seen.highest) {
			return false;
		}

		seen.recent.add(counter);
		seen.highest = counter > seen.highest ? counter : seen.highest;
		if (seen.recent.size > counterWindowSize) {
			const [first] = seen.recent;
			seen.recent.delete(first!);
		}

		return true;
	}
}

/** Creates the key by which a newer item replaces an older one that is still queued. */
function createReplacementKey({origin, item}: News): string {
	switch (item.case) {
		case 'upstreamLeaving': {
			return `leaving ${item.value.upstream}`;
		}

		case 'crashingRequest': {
			const {fingerprint, promptParts, upstream} = item.value;
			return `crash ${origin} ${fingerprint === '' ? promptParts.join(' ') : fingerprint} ${upstream}`;
		}

		case 'memberState': {
			return `member ${item.value.daemonId}`;
		}

		case 'customerUsage': {
			return `usage ${origin} ${item.value.customer}`;
		}

		case undefined: {
			return '';
		}
	}
}

/** Copies an item with one hop less and with its relative times adjusted by the time it has waited. */
function copyForForwarding({news, queuedAt}: QueuedNews, now: number): News {
	const copy = clone(NewsSchema, news);
	const waited = BigInt(Math.max(0, Math.round(now - queuedAt)));
	copy.hops -= 1;
	if (copy.item.case === 'upstreamLeaving') {
		copy.item.value.ageMs += waited;
	} else if (copy.item.case === 'crashingRequest') {
		const {refusedForMs} = copy.item.value;
		copy.item.value.ageMs += waited;
		copy.item.value.refusedForMs = refusedForMs === 0n ? 0n : (refusedForMs > waited ? refusedForMs - waited : 1n);
	}

	return copy;
}
