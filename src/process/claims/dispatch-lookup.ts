import type {PeerClients} from '../../connection/peer-clients.ts';
import {claimLifetimeMs} from '../../request/claim.ts';
import type {Clock} from '../clock.ts';
import type {Member} from '../membership/member.ts';

/** Finds out whether another daemon may have dispatched a claim, for when the table cannot tell. */
export abstract class DispatchLookup {
	/** False only if no other daemon can have dispatched the claim. */
	abstract mayHaveDispatched(name: string): Promise<boolean>;
}

/** Lookup of a daemon without peers. */
export class NoDispatchLookup extends DispatchLookup {
	async mayHaveDispatched(): Promise<boolean> {
		return false;
	}
}

/** What the lookup needs to reach the peers. */
export type PeerDispatchLookupOptions = {
	readonly clock: Clock;
	readonly clients: PeerClients;
	readonly members: () => readonly Member[];
};

const peerTimeoutMs = 500;

/** Larger deployments skip the lookup and report "unknown": asking hundreds of peers for each refused request would overload them during an outage. */
const maxPeersAsked = 24;
const maxConcurrentLookups = 32;

/** Asks every member; reports that the claim may have been dispatched if a member has recently died or restarted, or does not answer. */
export class PeerDispatchLookup extends DispatchLookup {
	readonly #options: PeerDispatchLookupOptions;
	readonly #incarnations = new Map<string, number>();
	#lastLossAt: number | undefined;
	#concurrentLookups = 0;

	constructor(options: PeerDispatchLookupOptions) {
		super();
		this.#options = options;
	}

	/** Records whether a member has died or restarted; the claims that it had dispatched are then no longer known. */
	observeMember({id, incarnation, condition}: Pick<Member, 'id' | 'incarnation' | 'condition'>): void {
		const known = this.#incarnations.get(id) ?? incarnation;
		if (condition === 'dead' || (known !== 0 && known !== incarnation)) {
			this.#lastLossAt = this.#options.clock.now();
		}

		this.#incarnations.set(id, incarnation);
	}

	async mayHaveDispatched(name: string): Promise<boolean> {
		const members = this.#options.members();
		for (const member of members) {
			this.observeMember(member);
		}

		if (this.#hasRecentLoss() || members.length > maxPeersAsked || this.#concurrentLookups >= maxConcurrentLookups) {
			return true;
		}

		this.#concurrentLookups += 1;
		try {
			const answers = await Promise.all(members.map(async member => this.#askPeer(member, name)));
			return answers.includes(true);
		} finally {
			this.#concurrentLookups -= 1;
		}
	}

	#hasRecentLoss(): boolean {
		return this.#lastLossAt !== undefined && this.#options.clock.now() - this.#lastLossAt < claimLifetimeMs;
	}

	async #askPeer({peerUrl}: Member, name: string): Promise<boolean> {
		try {
			const {mayHaveRun} = await this.#options.clients.call(peerUrl, peerTimeoutMs, async (client, options) =>
				client.findClaim({name}, options));
			return mayHaveRun;
		} catch {
			return true;
		}
	}
}
