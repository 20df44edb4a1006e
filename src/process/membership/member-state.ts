import type {Digest, Member} from './member.ts';
import type {NewsItem} from './news-queue.ts';
import {hash32} from './rendezvous.ts';

/** Creates the news item for a member's state. */
export function createMemberStateItem(member: Pick<Member, 'id' | 'incarnation' | 'sequence' | 'phase' | 'condition'>): NewsItem {
	return {
		case: 'memberState',
		value: {
			daemonId: member.id,
			incarnation: BigInt(member.incarnation),
			sequence: member.sequence,
			phase: member.phase,
			alive: member.condition !== 'dead',
		},
	};
}

/** Returns the sequence of a daemon in a digest. It is higher than the daemon's own sequence after the daemon restarted with its wall clock set back. */
export function findSequence(id: string, digest: Digest): number | undefined {
	return digest.sequences[digest.members.indexOf(hash32(id))];
}
