/** Change of the set of cached prefixes. */
export type CacheChange = {
	readonly kind: 'stored' | 'evicted';
	readonly prefix: string;
};

/** Prompt prefixes kept in KV memory, evicted in the order of last use. */
export class PrefixCache {
	readonly #pieces = new Map<string, number>();
	#used = 0;

	/** Pieces held by cached prefixes. */
	get used(): number {
		return this.#used;
	}

	/** True when the prefix is cached; counts as a use. */
	touch(prefix: string): boolean {
		const pieces = this.#pieces.get(prefix);
		if (pieces === undefined) {
			return false;
		}

		this.#pieces.delete(prefix);
		this.#pieces.set(prefix, pieces);
		return true;
	}

	/** Stores a prefix in at most `room` pieces; older prefixes make way. */
	store(prefix: string, pieces: number, room: number): readonly CacheChange[] {
		if (this.touch(prefix) || pieces > room) {
			return [];
		}

		const changes = this.shrink(room - pieces);
		this.#pieces.set(prefix, pieces);
		this.#used += pieces;
		return [...changes, {kind: 'stored', prefix}];
	}

	/** Evicts prefixes until at most `room` pieces are used. */
	shrink(room: number): readonly CacheChange[] {
		const changes: CacheChange[] = [];
		for (const [prefix, pieces] of this.#pieces) {
			if (this.#used <= room) {
				break;
			}

			this.#pieces.delete(prefix);
			this.#used -= pieces;
			changes.push({kind: 'evicted', prefix});
		}

		return changes;
	}
}
