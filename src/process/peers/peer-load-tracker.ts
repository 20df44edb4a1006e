import type {PeerLoad, PeerMessage} from './peer-message.ts';

/** What a daemon that has been silent for so long last told does not count any more, in milliseconds. */
export const peerLoadTimeoutMs = 1500;

type Peer = {
	readonly address: string;
	lastHeardAt: number;
	queued: ReadonlyMap<number, number>;
	readonly upstreams: Set<string>;
};

/**
Load that the other daemons put on upstreams, as they last told.

Loads are kept by upstream, since each placement asks for all upstreams of a service and only a few daemons have work on each.
*/
export class PeerLoadTracker {
	readonly #peers = new Map<string, Peer>();
	readonly #loads = new Map<string, Map<string, PeerLoad>>();

	/** Takes a message; returns true when its daemon was not known. What comes before the daemon's entry is passed over. */
	apply({daemon, entry, isSnapshot, loads, queued}: PeerMessage, now: number): boolean {
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
				address, lastHeardAt: now, queued, upstreams: new Set<string>(),
			};
		peer.lastHeardAt = now;
		peer.queued = queued;
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

	/** Requests of the others that run or wait at an upstream. */
	runs(upstream: string, now: number): number {
		return this.#sum(upstream, now, ({runs}) => runs);
	}

	/** Prompt tokens of the others that are read at an upstream no later than those of a priority. */
	tokensUpTo(upstream: string, priority: number, now: number): number {
		return this.#sum(upstream, now, ({tokensByPriority}) => sumTokensUpTo(tokensByPriority, priority));
	}

	/** Prompt tokens that wait at the others, of a priority and of the more urgent ones. */
	queuedTokensUpTo(priority: number, now: number): number {
		let sum = 0;
		for (const {lastHeardAt, queued} of this.#peers.values()) {
			sum += now - lastHeardAt < peerLoadTimeoutMs ? sumTokensUpTo(queued, priority) : 0;
		}

		return sum;
	}

	/** Forgets a daemon. */
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

/** Sums the tokens of a priority and of the more urgent ones. */
export function sumTokensUpTo(tokensByPriority: ReadonlyMap<number, number>, priority: number): number {
	let sum = 0;
	for (const [rank, tokens] of tokensByPriority) {
		sum += rank <= priority ? tokens : 0;
	}

	return sum;
}
