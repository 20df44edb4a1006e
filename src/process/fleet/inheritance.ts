import {setTimeout as delay} from 'node:timers/promises';
import type {Either} from 'purify-ts';
import type {PeerMember} from '../peers/peer-topology.ts';
import type {DecisionLog} from './decision-log.ts';
import type {PastEntry} from './upstream-registry.ts';

/** What a daemon knows that the store may lack, because it was restored from an older copy. */
export type Knowledge = {
	/** Value of the active configuration as the operator wrote it; undefined if none is active. */
	readonly configuration: Uint8Array | undefined;
	readonly pastEntries: readonly PastEntry[];
};

/** What a daemon that starts needs to ask the others. */
export type InheritanceOptions = {
	readonly log: DecisionLog;
	readonly availabilityZone: string;
	/** Resolves with the daemons that were registered at the start. */
	readonly members: Promise<readonly PeerMember[]>;
	readonly fetch: (address: string) => Promise<Either<string, Knowledge>>;
	readonly apply: (knowledge: Knowledge, daemon: string) => void;
};

/** Daemons that are asked; one of them suffices, the others are for those that no longer run. */
const askedDaemons = 3;
/** Longest time for which a daemon waits for the others before it takes requests, in milliseconds. */
const inheritanceLimitMs = 1500;

/** Chooses the daemons to ask, those of the own availability zone first. */
export function chooseDaemonsToAsk(members: readonly PeerMember[], availabilityZone: string): readonly PeerMember[] {
	const isNear = (member: PeerMember) => member.availabilityZone === availabilityZone;
	return [...members.filter(member => isNear(member)), ...members.filter(member => !isNear(member))].slice(0, askedDaemons);
}

/** Asks other daemons for what they know and the store may lack; resolves when all have answered or failed, or the time is over. */
export async function inheritKnowledge(options: InheritanceOptions): Promise<void> {
	const timeout = new AbortController();
	const isOver = delay(inheritanceLimitMs, undefined, {signal: timeout.signal}).catch(() => undefined);
	await Promise.race([askAll(options), isOver]);
	timeout.abort();
}

async function askAll({log, availabilityZone, members, fetch, apply}: InheritanceOptions): Promise<void> {
	const asked = chooseDaemonsToAsk(await members, availabilityZone);
	await Promise.all(asked.map(async ({daemon, address}) => {
		const answer = await fetch(address);
		answer.caseOf({
			Left(cause) {
				log.write('start.notInherited', {peer: daemon, cause});
			},
			Right(knowledge) {
				apply(knowledge, daemon);
			},
		});
	}));
}
