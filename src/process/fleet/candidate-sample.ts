import type {Upstream} from '../../ports/upstream.ts';
import type {Random} from '../random.ts';

/** Candidates drawn from the daemon's own availability zone for each placement. */
const localSampleSize = 5;
/** Candidates drawn from the other availability zones. */
const remoteSampleSize = 2;
/** Up to this number, all candidates are compared instead of a sample. */
const maxUnsampledCandidates = 12;

/**
Draws a random sample of the upstreams to compare for one placement.

Daemons learn of each other's sends with a delay. If each chose the best upstream of the whole fleet, all of them would send to
the same one until the reports arrive.
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
