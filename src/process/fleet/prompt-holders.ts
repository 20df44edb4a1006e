import type {PromptCacheListener} from './prompt-cache.ts';

const nobody: ReadonlySet<string> = new Set();

/** Index of the upstreams that have a prompt part cached, so that the cost of a look-up does not grow with the number of upstreams. */
export class PromptHolders {
	readonly #upstreams = new Map<string, Set<string>>();

	/** Upstreams that have a part cached. */
	of(part: string): ReadonlySet<string> {
		return this.#upstreams.get(part) ?? nobody;
	}

	/** Listener for the cache of one upstream. */
	listener(upstream: string): PromptCacheListener {
		return {
			added: part => {
				const holders = this.#upstreams.get(part) ?? new Set();
				holders.add(upstream);
				this.#upstreams.set(part, holders);
			},
			removed: part => {
				const holders = this.#upstreams.get(part);
				holders?.delete(upstream);
				if (holders?.size === 0) {
					this.#upstreams.delete(part);
				}
			},
		};
	}
}
