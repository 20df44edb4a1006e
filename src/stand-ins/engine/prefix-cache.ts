/** Change of the set of cached prefixes. */
export type CacheChange = {
	readonly kind: 'stored' | 'evicted';
	readonly prefix: string;
};

/** Prompt prefixes kept in KV memory, evicted in the order of last use. */
export class PrefixCache {
	readonly #piecesOfPrefix = new Map<string, number>();
	#usedPieces = 0;

	/** Pieces held by cached prefixes. */
	get usedPieces(): number {
		return this.#usedPieces;
	}

	/** True when the prefix is cached; counts as a use. */
	touch(prefix: string): boolean {
		const pieces = this.#piecesOfPrefix.get(prefix);
		if (pieces === undefined) {
			return false;
		}

		this.#piecesOfPrefix.delete(prefix);
		this.#piecesOfPrefix.set(prefix, pieces);
		return true;
	}

	/** Stores a prefix in at most `room` pieces; older prefixes make way. */
	store(prefix: string, pieces: number, room: number): readonly CacheChange[] {
		if (this.touch(prefix) || pieces > room) {
			return [];
		}

		const changes = this.evictTo(room - pieces);
		this.#piecesOfPrefix.set(prefix, pieces);
		this.#usedPieces += pieces;
		return [...changes, {kind: 'stored', prefix}];
	}

	/** Evicts prefixes until at most `room` pieces are used. */
	evictTo(room: number): readonly CacheChange[] {
		const changes: CacheChange[] = [];
		for (const [prefix, pieces] of this.#piecesOfPrefix) {
			if (this.#usedPieces <= room) {
				break;
			}

			this.#piecesOfPrefix.delete(prefix);
			this.#usedPieces -= pieces;
			changes.push({kind: 'evicted', prefix});
		}

		return changes;
	}
}
