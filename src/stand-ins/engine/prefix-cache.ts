/** A prefix that was added to the cache or evicted from it. */
export type CacheChange = {
	readonly kind: 'stored' | 'evicted';
	readonly prefix: string;
};

/** LRU cache of prompt prefixes in KV memory. */
export class PrefixCache {
	readonly #piecesOfPrefix = new Map<string, number>();
	#usedPieces = 0;

	/** Pieces of KV memory used by cached prefixes. */
	get usedPieces(): number {
		return this.#usedPieces;
	}

	/** Marks a prefix as recently used; false when it is not cached. */
	touch(prefix: string): boolean {
		const pieces = this.#piecesOfPrefix.get(prefix);
		if (pieces === undefined) {
			return false;
		}

		this.#piecesOfPrefix.delete(prefix);
		this.#piecesOfPrefix.set(prefix, pieces);
		return true;
	}

	/** Stores a prefix and evicts others so that at most `maxPieces` pieces are used; a prefix larger than that is not stored. */
	store(prefix: string, pieces: number, maxPieces: number): readonly CacheChange[] {
		if (this.touch(prefix) || pieces > maxPieces) {
			return [];
		}

		const changes = this.evictTo(maxPieces - pieces);
		this.#piecesOfPrefix.set(prefix, pieces);
		this.#usedPieces += pieces;
		return [...changes, {kind: 'stored', prefix}];
	}

	/** Evicts the least recently used prefixes until at most `maxPieces` pieces are used. */
	evictTo(maxPieces: number): readonly CacheChange[] {
		const changes: CacheChange[] = [];
		for (const [prefix, pieces] of this.#piecesOfPrefix) {
			if (this.#usedPieces <= maxPieces) {
				break;
			}

			this.#piecesOfPrefix.delete(prefix);
			this.#usedPieces -= pieces;
			changes.push({kind: 'evicted', prefix});
		}

		return changes;
	}
}
