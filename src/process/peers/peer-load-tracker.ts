import type {PeerLoad, PeerMessage} from './peer-message.ts';

/** Silence of a daemon after which the load that it last reported is ignored, in milliseconds. */
export const peerLoadTimeoutMs = 1500;

type Peer = {
	readonly address: string;
	lastHeardAt: number;
	queued: ReadonlyMap<number, number>;
	excessQueued: ReadonlyMap<number, number>;
	readonly upstreams: Set<string>;
};

/**
Load that the other daemons put on upstreams, as they last reported it.

Loads are indexed by upstream, because each placement queries all upstreams of a service and only a few daemons have work on each.
*/
export class PeerLoadTracker {
	readonly #peers = new Map<string, Peer>();
	readonly #loads = new Map<string, Map<string, PeerLoad>>();

	/** Applies a message; returns true when its daemon is new or has a new address. Messages before the first one with the daemon's entry are ignored. */
	apply({daemon, entry, isSnapshot, loads, queued, excessQueued}: PeerMessage, now: number): boolean {
		const known = this.#peers.get(daemon);
		const address = entry?.address ?? known?.address;
		if (address === undefined) {
			return false;
		}

		const isSame = known?.address === address;
		if (!isSame) {
			this.forget(daemon);
		}

		const peer = isSame
			? known
			: {
				address, lastHeardAt: now, queued, excessQueued, upstreams: new Set<string>(),
			};
		peer.lastHeardAt = now;
		peer.queued = queued;
		peer.excessQueued = excessQueued;
		this.#peers.set(daemon, peer);
		if (isSnapshot) {
			this.#removeAllLoads(daemon, peer);
		}

		for (const load of loads) {
			if (load.runs === 0 && load.tokensByPriority.size === 0) {
				this.#removeLoad(daemon, peer, load.upstream);
			} else {
				const byDaemon = this.#loads.get(load.upstream) ?? new Map<string, PeerLoad>();
				byDaemon.set(daemon, load);
				this.#loads.set(load.upstream, byDaemon);
				peer.upstreams.add(load.upstream);
			}
		}

		return !isSame;
	}

	/** Returns the number of requests of the other daemons that run or wait at an upstream. */
	runs(upstream: string, now: number): number {
		return this.#sum(upstream, now, ({runs}) => runs);
	}

	/** Returns the prompt tokens of the other daemons that an upstream prefills, of a priority and of more urgent ones. */
	tokensUpTo(upstream: string, priority: number, now: number): number {
		return this.#sum(upstream, now, ({tokensByPriority}) => sumTokensUpTo(tokensByPriority, priority));
	}

	/** Returns the prompt tokens that are queued at the other daemons, of a priority and of more urgent ones. */
	queuedTokensUpTo(priority: number, now: number): number {
		let sum = 0;
		for (const {lastHeardAt, queued} of this.#peers.values()) {
			sum += now - lastHeardAt < peerLoadTimeoutMs ? sumTokensUpTo(queued, priority) : 0;
		}

		return sum;
	}

	/** Returns the prompt tokens of a priority that are queued at the other daemons for client accounts beyond their share. */
	excessQueuedTokens(priority: number, now: number): number {
		let sum = 0;
		for (const {lastHeardAt, excessQueued} of this.#peers.values()) {
			sum += now - lastHeardAt < peerLoadTimeoutMs ? excessQueued.get(priority) ?? 0 : 0;
		}

		return sum;
	}

	/** Removes a daemon and its loads. */
	forget(daemon: string): void {
		const peer = this.#peers.get(daemon);
		if (peer !== undefined) {
			this.#removeAllLoads(daemon, peer);
			this.#peers.delete(daemon);
		}
	}

	#sum(upstream: string, now: number, count: (load: PeerLoad) => number): number {
		let sum = 0;
		for (const [daemon, load] of this.#loads.get(upstream) ?? []) {
			sum += now - this.#peers.get(daemon)!.lastHeardAt < peerLoadTimeoutMs ? count(load) : 0;
		}

		return sum;
	}

	#removeAllLoads(daemon: string, peer: Peer): void {
		for (const upstream of peer.upstreams) {
			this.#removeLoad(daemon, peer, upstream);
		}
	}

	#removeLoad(daemon: string, peer: Peer, upstream: string): void {
		peer.upstreams.delete(upstream);
		const byDaemon = this.#loads.get(upstream);
		byDaemon?.delete(daemon);
		if (byDaemon?.size === 0) {
			this.#loads.delete(upstream);
		}
	}
}

/** Sums the tokens of a priority and of more urgent ones, which have lower numbers. */
export function sumTokensUpTo(tokensByPriority: ReadonlyMap<number, number>, priority: number): number {
	let sum = 0;
	for (const [rank, tokens] of tokensByPriority) {
		sum += rank <= priority ? tokens : 0;
	}

	return sum;
}
