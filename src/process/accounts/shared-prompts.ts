import {orderPrompts, type WaitingPrompt} from '../fleet/prefill-queue.ts';
import {sumTokensUpTo, type PeerLoadTracker} from '../peers/peer-load-tracker.ts';
import type {AccountUsage} from './account-usage.ts';
import {levelOnArrival, rankByShare, type SharedWork} from './share-order.ts';

/** A prompt that waits, with the work that counts for its account. */
export type SharedPrompt = WaitingPrompt & SharedWork;

/** Prefill throughput of the upstreams of one service, and their backlog. */
export type ServiceLoad = {
	/** Weighted tokens at the upstreams that run before a prompt. */
	readonly backlogTokens: number;
	readonly tokensPerMs: number;
};

/** Decides by the shares of client accounts which waiting prompts go first, and what goes before one that arrives. */
export class SharedPrompts {
	readonly #usage: AccountUsage;
	readonly #peerLoads: PeerLoadTracker;

	constructor(usage: AccountUsage, peerLoads: PeerLoadTracker) {
		this.#usage = usage;
		this.#peerLoads = peerLoads;
	}

	/** Records the work of a prompt that has arrived. */
	recordAsked({service, account, work}: SharedWork, now: number): void {
		if (account !== undefined) {
			this.#usage.ask(service, account, work, now);
		}
	}

	/** Records the work of a prompt that was placed at an upstream. */
	recordPlaced({service, account, work}: SharedWork, now: number): void {
		if (account !== undefined) {
			this.#usage.place(service, account, work, now);
		}
	}

	/** Orders waiting prompts; `fastestMs` is the shortest time of a prefill. */
	order<T extends SharedPrompt>(queue: Iterable<T>, now: number, fastestMs: number): readonly T[] {
		return orderPrompts([...queue], now, fastestMs, this.#usage.isActive ? ordered => rankByShare(ordered, this.#usage, now) : undefined);
	}

	/** Tokens that wait for accounts beyond their share, by priority. */
	excessTokens(queue: Iterable<SharedPrompt>, now: number): ReadonlyMap<number, number> {
		const tokens = new Map<number, number>();
		if (!this.#usage.isActive) {
			return tokens;
		}

		for (const [prompt, level] of rankByShare([...queue], this.#usage, now)) {
			if (level > 0) {
				tokens.set(prompt.priority, (tokens.get(prompt.priority) ?? 0) + prompt.tokens);
			}
		}

		return tokens;
	}

	/** Tokens queued at all daemons that go before a prompt that arrives; `queued`: those at this daemon, by priority. */
	tokensAhead(arriving: SharedWork & Pick<SharedPrompt, 'priority'>, queue: Iterable<SharedPrompt>, queued: ReadonlyMap<number, number>, now: number): number {
		const {priority} = arriving;
		const isWithinShare = levelOnArrival(arriving, queue, this.#usage, now) <= 0;
		const excess = isWithinShare ? (this.excessTokens(queue, now).get(priority) ?? 0) + this.#peerLoads.excessQueuedTokens(priority, now) : 0;
		return sumTokensUpTo(queued, priority) + this.#peerLoads.queuedTokensUpTo(priority, now) - excess;
	}

	/** Returns the waiting prompts of accounts beyond their share that others have overtaken, so that they cannot be read in time any more. `loadOf` is called once for each service and priority. */
	findOvertaken<T extends SharedPrompt>(queue: Iterable<T>, now: number, fastestMs: number, loadOf: (prompt: T) => ServiceLoad): readonly T[] {
		if (!this.#usage.isActive) {
			return [];
		}

		const ordered = this.order(queue, now, fastestMs);
		const levels = rankByShare(ordered, this.#usage, now);
		const loads = new Map<string, ServiceLoad>();
		const aheadByService = new Map<string, number>();
		return ordered.filter(prompt => {
			const ahead = aheadByService.get(prompt.service) ?? 0;
			if (levels.get(prompt)! > 0) {
				const key = `${prompt.service}\n${prompt.priority}`;
				const load = loads.get(key) ?? loadOf(prompt);
				loads.set(key, load);
				const tokens = load.backlogTokens + this.#peerLoads.queuedTokensUpTo(prompt.priority, now) + ahead + prompt.tokens;
				if (now + (tokens / Math.max(0.001, load.tokensPerMs)) + fastestMs > prompt.giveUpAt) {
					return true;
				}
			}

			aheadByService.set(prompt.service, ahead + prompt.tokens);
			return false;
		});
	}
}
