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
	/** Tokens of a customer that wait for admission here. */
	readonly waitingTokens: (customer: string) => number;
	/** Live daemons of the deployment, this one included. */
	readonly daemonCount: () => number;
	/** Passes news on to the other daemons. */
	readonly announce: (item: NewsItem) => void;
};

type Message
	= | {readonly kind: 'tell'}
		| {readonly kind: 'heard'; readonly origin: string; readonly usage: CustomerUsage};

const announceIntervalMs = 500;

/** Tells the other daemons the demand at this one, and takes in theirs. */
export class UsageExchange extends Task<Message> {
	readonly #options: UsageExchangeOptions;

	constructor(options: UsageExchangeOptions) {
		super(options.log);
		this.#options = options;
	}

	/** Starts telling. */
	run(): void {
		this.start({message: {kind: 'tell'}, intervalMs: announceIntervalMs});
	}

	/** Takes in one item of news; items of other kinds are left alone. */
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
		const {allocator: allotments, clock, daemonCount: daemons} = this.#options;
		if (message.kind === 'heard') {
			allotments.recordRemoteUsage(clock.now(), message.origin, message.usage);
			return;
		}

		allotments.setDaemonCount(daemons());
		for (const usage of allotments.takeLocalUsage(clock.now(), this.#options.waitingTokens)) {
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
