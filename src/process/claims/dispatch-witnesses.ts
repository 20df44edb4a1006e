import type {PeerClients} from '../../connection/peer-clients.ts';
import {claimLifetimeMs} from '../../request/claim.ts';
import type {Clock} from '../clock.ts';
import type {Member} from '../membership/member.ts';

/** Other daemons that may have dispatched a claim while the table cannot tell. */
export abstract class DispatchWitnesses {
	/** False only when no other daemon can have dispatched the claim. */
	abstract mayHaveDispatched(name: string): Promise<boolean>;
}

/** A daemon without peers. */
export class NoWitnesses extends DispatchWitnesses {
	async mayHaveDispatched(): Promise<boolean> {
		return false;
	}
}

/** What the witnesses are reached by. */
export type PeerWitnessesOptions = {
	readonly clock: Clock;
	readonly clients: PeerClients;
	readonly members: () => readonly Member[];
};

const askTimeoutMs = 500;
/** Larger deployments answer "unknown" at once: asking hundreds of peers for each refusal would load them in an outage. */
const askedMembersLimit = 24;
const openQuestionsLimit = 32;

/** Asks every member; a member that has died, restarted or does not answer leaves the question open. */
export class PeerWitnesses extends DispatchWitnesses {
	readonly #options: PeerWitnessesOptions;
	readonly #incarnations = new Map<string, number>();
	#lossAt: number | undefined;
	#openQuestions = 0;

	constructor(options: PeerWitnessesOptions) {
		super();
		this.#options = options;
	}

	/** Notes a member that has died or restarted: what it had dispatched is no longer known. */
	notice({id, incarnation, condition}: Pick<Member, 'id' | 'incarnation' | 'condition'>): void {
		const known = this.#incarnations.get(id) ?? incarnation;
		if (condition === 'dead' || (known !== 0 && known !== incarnation)) {
			this.#lossAt = this.#options.clock.now();
		}

		this.#incarnations.set(id, incarnation);
	}

	async mayHaveDispatched(name: string): Promise<boolean> {
		const members = this.#options.members();
		for (const member of members) {
			this.notice(member);
		}

		if (this.#hasLoss() || members.length > askedMembersLimit || this.#openQuestions >= openQuestionsLimit) {
			return true;
		}

		this.#openQuestions += 1;
		try {
			const answers = await Promise.all(members.map(async member => this.#ask(member, name)));
			return answers.includes(true);
		} finally {
			this.#openQuestions -= 1;
		}
	}

	#hasLoss(): boolean {
		return this.#lossAt !== undefined && this.#options.clock.now() - this.#lossAt < claimLifetimeMs;
	}

	async #ask({peerUrl}: Member, name: string): Promise<boolean> {
		try {
			const {mayHaveRun} = await this.#options.clients.call(peerUrl, askTimeoutMs, async (client, options) =>
				client.findClaim({name}, options));
			return mayHaveRun;
		} catch {
			return true;
		}
	}
}
