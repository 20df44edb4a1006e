import type {PeerLoad, PeerMessage} from './peer-message.ts';

/** What a daemon that has been silent for so long last told does not count any more, in milliseconds. */
export const peerSilenceMs = 1500;

type Peer = {
	readonly address: string;
	heardAt: number;
	queued: ReadonlyMap<number, number>;
	readonly loads: Map<string, PeerLoad>;
};

/** Load that the other daemons put on upstreams, as they last told. */
export class PeerBoard {
	readonly #peers = new Map<string, Peer>();

	/** Names of the daemons that were heard lately. */
	live(now: number): readonly string[] {
		return [...this.#peers].filter(([, {heardAt}]) => now - heardAt < peerSilenceMs).map(([name]) => name);
	}

	/** Takes a message; returns true when its sender was not known. */
	accept({daemon, address, loads, queued}: PeerMessage, now: number): boolean {
		const known = this.#peers.get(daemon);
		const isSame = known?.address === address;
		const peer = isSame
			? known
			: {
				address, heardAt: now, queued, loads: new Map<string, PeerLoad>(),
			};
		peer.heardAt = now;
		peer.queued = queued;
		for (const load of loads) {
			if (load.runs === 0 && load.tokensByPriority.size === 0) {
				peer.loads.delete(load.upstream);
			} else {
				peer.loads.set(load.upstream, load);
			}
		}

		this.#peers.set(daemon, peer);
		return !isSame;
	}

	/** Requests of the others that run or wait at an upstream. */
	runs(upstream: string, now: number): number {
		return this.#loads(upstream, now).reduce((sum, {runs}) => sum + runs, 0);
	}

	/** Prompt tokens of the others that are read at an upstream no later than those of a priority. */
	tokensUpTo(upstream: string, priority: number, now: number): number {
		return this.#loads(upstream, now).reduce((sum, {tokensByPriority}) => sum + sumUpTo(tokensByPriority, priority), 0);
	}

	/** Prompt tokens that wait at the others, of a priority and of the more urgent ones. */
	queuedUpTo(priority: number, now: number): number {
		return [...this.#peers.values()].reduce((sum, {heardAt, queued}) => sum + (now - heardAt < peerSilenceMs ? sumUpTo(queued, priority) : 0), 0);
	}

	/** Forgets a daemon. */
	forget(daemon: string): void {
		this.#peers.delete(daemon);
	}

	#loads(upstream: string, now: number): readonly PeerLoad[] {
		return [...this.#peers.values()].flatMap(({heardAt, loads}) => {
			const load = now - heardAt < peerSilenceMs ? loads.get(upstream) : undefined;
			return load === undefined ? [] : [load];
		});
	}
}

/** Sums the tokens of a priority and of the more urgent ones. */
export function sumUpTo(tokensByPriority: ReadonlyMap<number, number>, priority: number): number {
	let sum = 0;
	for (const [rank, tokens] of tokensByPriority) {
		sum += rank <= priority ? tokens : 0;
	}

	return sum;
}
