import {createHash} from 'node:crypto';

/** Returns the first 32 bits of the SHA-256 hash of a text. */
export function hash32(text: string): number {
	return createHash('sha256').update(text).digest().readUInt32BE(0);
}

/** Ranks ids by rendezvous hash for a topic; every daemon that knows the same ids gets the same order. */
export function rankByRendezvous(topic: string, ids: readonly string[]): readonly string[] {
	return ids
		.map(id => ({id, weight: hash32(`${topic}\n${id}`)}))
		.toSorted((a, b) => a.weight - b.weight || (a.id < b.id ? -1 : 1))
		.map(({id}) => id);
}
