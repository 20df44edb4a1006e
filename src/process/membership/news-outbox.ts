import {create} from '@bufbuild/protobuf';
import {NewsSchema, type News} from '../../generated/peer_pb.js';
import {isUrgent, NewsQueue, type NewsItem} from './news-queue.ts';

const maxHops = 12;
const maxNewsBytes = 1200;
/** Keeps the sustained traffic of usage news within the bound of 13 KB/s. */
const maxUsageNewsBytes = {withinZone: 200, acrossZones: 60};
const maxSendsPerItem = 12;
/** A gateway also has to reach the gateways of the other zones. */
const maxSendsPerItemAtGateway = 24;

/** News that this daemon announces or forwards. */
export class NewsOutbox {
	readonly #origin: string;
	readonly #queue = new NewsQueue();
	#counter: bigint;
	#urgent: boolean[] = [];

	constructor(origin: string, incarnation: number) {
		this.#origin = origin;
		this.#counter = BigInt(incarnation);
	}

	/** Continues the counters above an incarnation. */
	raiseCounter(incarnation: number): void {
		this.#counter = BigInt(Math.max(Number(this.#counter), incarnation));
	}

	/** Puts an item of this daemon in line. */
	announce(item: NewsItem, now: number): void {
		this.#counter += 1n;
		const news = create(NewsSchema, {
			origin: this.#origin, counter: this.#counter, hops: maxHops, item,
		});
		this.#queue.recordIfNew(news);
		this.forward(news, true, now);
	}

	/** Returns false for news that has been seen. */
	recordIfNew(news: News): boolean {
		return news.origin !== this.#origin && this.#queue.recordIfNew(news);
	}

	/** Puts an item in line; urgent items do not wait for the next interval. */
	forward(news: News, isLocal: boolean, now: number): void {
		this.#queue.enqueue(news, now);
		if (isUrgent(news.item)) {
			this.#urgent.push(isLocal);
		}
	}

	/** Returns, for each urgent item since the last call, whether it comes from the own availability zone. */
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
