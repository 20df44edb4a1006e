import type {News} from '../../generated/peer_pb.js';
import type {Clock} from '../clock.ts';
import type {Log} from '../log.ts';
import type {NewsItem} from '../membership/news-queue.ts';
import {Task} from '../task.ts';
import type {ShareAllocator, CustomerUsage} from './share-allocator.ts';

/** What the exchange needs from the rest of the daemon. */
export type UsageExchangeOptions = {
	readonly log: Log;
	readonly clock: Clock;
	readonly allocator: ShareAllocator;
	/** Returns the tokens of a customer that wait for admission on this daemon. */
	readonly waitingTokens: (customer: string) => number;
	/** Returns the number of live daemons in the deployment, including this one. */
	readonly daemonCount: () => number;
	/** Sends a news item to the other daemons. */
	readonly announce: (item: NewsItem) => void;
};

type Message
	= | {readonly kind: 'tell'}
		| {readonly kind: 'heard'; readonly origin: string; readonly usage: CustomerUsage};

const announceIntervalMs = 500;

/** Reports the demand on this daemon to the other daemons periodically, and receives their reports. */
export class UsageExchange extends Task<Message> {
	readonly #options: UsageExchangeOptions;

	constructor(options: UsageExchangeOptions) {
		super(options.log);
		this.#options = options;
	}

	/** Starts the periodic reports. */
	run(): void {
		this.start({message: {kind: 'tell'}, intervalMs: announceIntervalMs});
	}

	/** Handles one news item; ignores items other than customer usage. */
	handleNews({origin, item}: Pick<News, 'origin' | 'item'>): void {
		if (item.case === 'customerUsage') {
			const {customer, tokens, waitingTokens, intervalMs} = item.value;
			this.post({
				kind: 'heard',
				origin,
				usage: {
					customer, tokens: Number(tokens), waitingTokens: Number(waitingTokens), intervalMs: Math.max(1, intervalMs),
				},
			});
		}
	}

	protected receive(message: Message): void {
		const {allocator, clock, daemonCount} = this.#options;
		if (message.kind === 'heard') {
			allocator.recordRemoteUsage(clock.now(), message.origin, message.usage);
			return;
		}

		allocator.setDaemonCount(daemonCount());
		for (const usage of allocator.takeLocalUsage(clock.now(), this.#options.waitingTokens)) {
			this.#announce(usage);
		}
	}

	#announce({customer, tokens, waitingTokens, intervalMs}: CustomerUsage): void {
		this.#options.announce({
			case: 'customerUsage',
			value: {
				customer, tokens: BigInt(Math.round(tokens)), waitingTokens: BigInt(Math.round(waitingTokens)), intervalMs,
			},
		});
	}
}
