import type {Member} from './member.ts';
import type {NewsItem} from './news-queue.ts';

/** Creates the news of a member's state. */
export function createStateItem(member: Pick<Member, 'id' | 'incarnation' | 'sequence' | 'phase' | 'condition'>): NewsItem {
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
