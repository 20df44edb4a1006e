import type {Digest, Member} from './member.ts';
import type {NewsItem} from './news-queue.ts';
import {hash32} from './rendezvous.ts';

/** Creates the news of a member's state. */
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

/** Sequence of a daemon in a digest; peers know a higher one than the daemon itself when its wall clock was set back. */
export function findSequence(id: string, digest: Digest): number | undefined {
	return digest.sequences[digest.members.indexOf(hash32(id))];
}
