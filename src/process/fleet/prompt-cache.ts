import type {PromptPart} from '../../request/delivery/route-request.ts';

/** Tokens of some parts of a prompt. */
export function countTokens(parts: readonly PromptPart[]): number {
	return parts.reduce((sum, {tokens}) => sum + tokens, 0);
}

/** Estimate of the prompt parts that one upstream keeps in its memory; the least recently used ones yield. */
export class PromptCache {
	readonly #parts = new Map<string, number>();
	#tokens = 0;
	readonly #limit: number;

	constructor(limitTokens: number) {
		this.#limit = limitTokens;
	}

	/** Tokens kept, as estimated. */
	get tokens(): number {
		return this.#tokens;
	}

	/** Tokens of the prompt that have to be read; a part is kept only if all parts before it are kept too. */
	missingTokens(parts: readonly PromptPart[]): number {
		const missing = parts.findIndex(({id}) => !this.#parts.has(id));
		return missing === -1 ? 0 : countTokens(parts.slice(missing));
	}

	/** Notes that the upstream has read or fetched a prompt. */
	touch(parts: readonly PromptPart[]): void {
		for (const {id, tokens} of parts) {
			this.#tokens -= this.#parts.get(id) ?? 0;
			this.#parts.delete(id);
			this.#parts.set(id, tokens);
			this.#tokens += tokens;
		}

		for (const [id, tokens] of this.#parts) {
			if (this.#tokens <= this.#limit) {
				return;
			}

			this.#parts.delete(id);
			this.#tokens -= tokens;
		}
	}

	/** Forgets all parts, as an upstream that restarts does. */
	clear(): void {
		this.#parts.clear();
		this.#tokens = 0;
	}
}
