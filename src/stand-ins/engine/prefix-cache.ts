/** A prefix that was added to the cache or evicted from it. */
export type CacheChange = {
	readonly kind: 'stored' | 'evicted';
	readonly prefix: string;
};

/** LRU cache of prompt prefixes in KV memory. */
export class PrefixCache {
	readonly #pieces = new Map<string, number>();
	#used = 0;

	/** Pieces of KV memory used by cached prefixes. */
	get used(): number {
		return this.#used;
	}

	/** Marks a prefix as recently used; false when it is not cached. */
	touch(prefix: string): boolean {
		const pieces = this.#pieces.get(prefix);
		if (pieces === undefined) {
			return false;
		}

		this.#pieces.delete(prefix);
		this.#pieces.set(prefix, pieces);
		return true;
	}

	/** Stores a prefix and evicts others so that at most `maxPieces` pieces are used; a prefix larger than that is not stored. */
	store(prefix: string, pieces: number, maxPieces: number): readonly CacheChange[] {
		if (this.touch(prefix) || pieces > maxPieces) {
			return [];
		}

		const changes = this.shrink(maxPieces - pieces);
		this.#pieces.set(prefix, pieces);
		this.#used += pieces;
		return [...changes, {kind: 'stored', prefix}];
	}

	/** Evicts the least recently used prefixes until at most `maxPieces` pieces are used. */
	shrink(maxPieces: number): readonly CacheChange[] {
		const changes: CacheChange[] = [];
		for (const [prefix, pieces] of this.#pieces) {
			if (this.#used <= maxPieces) {
				break;
			}

			this.#pieces.delete(prefix);
			this.#used -= pieces;
			changes.push({kind: 'evicted', prefix});
		}

		return changes;
	}
}
