import type {PromptPart} from '../../request/delivery/route-request.ts';

/** Sums the tokens of prompt parts. */
export function countTokens(parts: readonly PromptPart[]): number {
	return parts.reduce((sum, {tokens}) => sum + tokens, 0);
}

/** Receives the parts that enter and leave a cache. */
export type PromptCacheListener = {
	readonly added: (part: string) => void;
	readonly removed: (part: string) => void;
};

/** Estimate of the prompt parts in one upstream's KV cache, with LRU eviction. */
export class PromptCache {
	readonly #parts = new Map<string, number>();
	#tokens = 0;
	readonly #limit: number;
	readonly #listener: PromptCacheListener | undefined;

	constructor(limitTokens: number, listener?: PromptCacheListener) {
		this.#limit = limitTokens;
		this.#listener = listener;
	}

	/** Estimated number of cached tokens. */
	get tokens(): number {
		return this.#tokens;
	}

	/** Tokens of the prompt that need a prefill; a cached part counts only if all parts before it are cached too. */
	missingTokens(parts: readonly PromptPart[]): number {
		const missing = parts.findIndex(({id}) => !this.#parts.has(id));
		return missing === -1 ? 0 : countTokens(parts.slice(missing));
	}

	/** Records that the upstream prefills or fetches these prompt parts. */
	touch(parts: readonly PromptPart[]): void {
		for (const {id, tokens} of parts) {
			this.#tokens -= this.#parts.get(id) ?? 0;
			if (!this.#parts.delete(id)) {
				this.#listener?.added(id);
			}

			this.#parts.set(id, tokens);
			this.#tokens += tokens;
		}

		for (const [id, tokens] of this.#parts) {
			if (this.#tokens <= this.#limit) {
				return;
			}

			this.#parts.delete(id);
			this.#listener?.removed(id);
			this.#tokens -= tokens;
		}
	}

	/** Removes all parts, because a restart empties the upstream's cache. */
	clear(): void {
		for (const id of this.#parts.keys()) {
			this.#listener?.removed(id);
		}

		this.#parts.clear();
		this.#tokens = 0;
	}
}
