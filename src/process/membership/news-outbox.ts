import {create} from '@bufbuild/protobuf';
import {NewsSchema, type News} from '../../generated/peer_pb.js';
import {isUrgent, NewsQueue, type NewsItem} from './news-queue.ts';

const maxHops = 12;
const maxNewsBytes = 1200;
/** Limits per message that keep the sustained traffic of customer usage within 13 KB/s. */
const maxUsageNewsBytes = {withinZone: 200, acrossZones: 60};
const maxSendsPerItem = 12;
/** Higher for a gateway, which also has to reach the gateways of the other zones. */
const maxSendsPerItemAtGateway = 24;

/** Outgoing news of this daemon: its own items, and items that it forwards for others. */
export class NewsOutbox {
	readonly #origin: string;
	readonly #queue = new NewsQueue();
	#counter: bigint;
	#urgent: boolean[] = [];

	constructor(origin: string, incarnation: number) {
		this.#origin = origin;
		this.#counter = BigInt(incarnation);
	}

	/** Raises the item counter to at least an incarnation. */
	raiseCounter(incarnation: number): void {
		this.#counter = BigInt(Math.max(Number(this.#counter), incarnation));
	}

	/** Queues a new item of this daemon. */
	announce(item: NewsItem, now: number): void {
		this.#counter += 1n;
		const news = create(NewsSchema, {
			origin: this.#origin, counter: this.#counter, hops: maxHops, item,
		});
		this.#queue.recordIfNew(news);
		this.forward(news, true, now);
	}

	/** Records news as seen; returns false for duplicates and for this daemon's own news. */
	recordIfNew(news: News): boolean {
		return news.origin !== this.#origin && this.#queue.recordIfNew(news);
	}

	/** Queues an item; urgent items do not wait for the next heartbeat interval. */
	forward(news: News, isLocal: boolean, now: number): void {
		this.#queue.enqueue(news, now);
		if (isUrgent(news.item)) {
			this.#urgent.push(isLocal);
		}
	}

	/** Returns one flag per urgent item since the last call: true when the item comes from the own availability zone. */
	takeUrgentOrigins(): readonly boolean[] {
		const urgent = this.#urgent;
		this.#urgent = [];
		return urgent;
	}

	/** Selects items for one message. */
	select(target: {readonly isGateway: boolean; readonly isWithinZone: boolean}, now: number): readonly News[] {
		return this.#queue.select({
			maxBytes: maxNewsBytes,
			maxUsageBytes: target.isWithinZone ? maxUsageNewsBytes.withinZone : maxUsageNewsBytes.acrossZones,
			maxSends: target.isGateway ? maxSendsPerItemAtGateway : maxSendsPerItem,
		}, now);
	}
}
