import {createHash} from 'node:crypto';

/** Maximum number of daemons that compete for the lease of a group. */
export const candidatesPerGroup = 2;

/** Name of the group of a model in an availability zone. */
export function groupName(serves: string, availabilityZone: string): string {
	return `${serves}@${availabilityZone}`;
}

/** Selects the candidates of a group among the live members of its availability zone, by rendezvous hashing. */
export function selectCandidates(group: string, members: readonly string[]): readonly string[] {
	return members
		.map(member => ({member, weight: rendezvousWeight(group, member)}))
		.toSorted((a, b) => b.weight - a.weight || (a.member < b.member ? -1 : 1))
		.slice(0, candidatesPerGroup)
		.map(({member}) => member);
}

function rendezvousWeight(group: string, member: string): number {
	return createHash('sha256').update(`${group}\n${member}`).digest().readUIntBE(0, 6);
}
