const defaultMaxNames = 10_000;

/** Names of the claims that this daemon may have dispatched, oldest first. */
export class RecentDispatches {
	readonly #names = new Set<string>();
	readonly #maxNames: number;
	#hasEvicted = false;

	/** Keeps at most `limit` names. @default 10000 */
	constructor(limit = defaultMaxNames) {
		this.#maxNames = limit;
	}

	/** Adds a name; the oldest one is forgotten above the limit. */
	add(name: string): void {
		this.#names.add(name);
		if (this.#names.size > this.#maxNames) {
			const [oldest = name] = this.#names;
			this.#names.delete(oldest);
			this.#hasEvicted = true;
		}
	}

	/** Removes a name whose request was not sent after all. */
	remove(name: string): void {
		this.#names.delete(name);
	}

	/** False only when this daemon has certainly not dispatched the claim since it started. */
	mayContain(name: string): boolean {
		return this.#names.has(name) || this.#hasEvicted;
	}
}
