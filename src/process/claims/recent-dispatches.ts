const defaultMaxNames = 10_000;

/** Names of the claims that this daemon may have dispatched; bounded, the oldest are evicted first. */
export class RecentDispatches {
	readonly #names = new Set<string>();
	readonly #maxNames: number;
	#hasEvicted = false;

	/** Keeps at most `maxNames` names. @default 10000 */
	constructor(maxNames = defaultMaxNames) {
		this.#maxNames = maxNames;
	}

	/** Adds a name; evicts the oldest one if the limit is exceeded. */
	add(name: string): void {
		this.#names.add(name);
		if (this.#names.size > this.#maxNames) {
			const [oldest = name] = this.#names;
			this.#names.delete(oldest);
			this.#hasEvicted = true;
		}
	}

	/** Removes the name of a request that was not sent after all. */
	remove(name: string): void {
		this.#names.delete(name);
	}

	/** False only if this daemon has certainly not dispatched the claim since it started; true for every name once one was evicted. */
	mayContain(name: string): boolean {
		return this.#names.has(name) || this.#hasEvicted;
	}
}
