import type {Upstream} from '../../ports/upstream.ts';
import type {Random} from '../random.ts';

/** Candidates of the own availability zone that are compared for one placement. */
const localSampleSize = 5;
/** Candidates of the other availability zones that are compared beside them. */
const remoteSampleSize = 2;
/** Up to so many are compared as a whole. */
const maxUnsampledCandidates = 12;

/**
Draws the upstreams that are compared for one placement.

Answers the load of many daemons that know of each other's sends late: if each of them took the best of the whole fleet, they
would all take the same one until they hear of it.
*/
export function sampleCandidates<T extends {readonly upstream: Upstream}>(states: readonly T[], availabilityZone: string, random: Random): readonly T[] {
	if (states.length <= maxUnsampledCandidates) {
		return states;
	}

	const local = draw(states.filter(({upstream}) => upstream.availabilityZone === availabilityZone), localSampleSize, random);
	const remote = states.filter(({upstream}) => upstream.availabilityZone !== availabilityZone);
	return [...local, ...draw(remote, remoteSampleSize + localSampleSize - local.length, random)];
}

function draw<T>(items: readonly T[], count: number, random: Random): readonly T[] {
	const pool = [...items];
	const drawn: T[] = [];
	while (drawn.length < count && pool.length > 0) {
		drawn.push(...pool.splice(random.integer(pool.length), 1));
	}

	return drawn;
}
