import {randomUUID} from 'node:crypto';

/** KV cache of a prompt as it moves between engines. */
export type KvExport = {
	readonly handle: string;
	readonly promptTokens: number;
};

const maxImportedCaches = 1024;

/** KV caches imported into an engine; the oldest are dropped. */
export class KvStore {
	readonly #tokens = new Map<string, number>();

	/** Creates the export of a prompt that this engine has processed. */
	export(promptTokens: number): KvExport {
		return {handle: randomUUID(), promptTokens};
	}

	/** Keeps an imported cache. */
	import(kv: KvExport): void {
		this.#tokens.set(kv.handle, kv.promptTokens);
		const [oldest] = this.#tokens.keys();
		if (this.#tokens.size > maxImportedCaches && oldest !== undefined) {
			this.#tokens.delete(oldest);
		}
	}

	/** True when the cache of a prompt of this length is held; a cache is used once. */
	take(handle: string | undefined, promptTokens: number): boolean {
		if (handle === undefined || this.#tokens.get(handle) !== promptTokens) {
			return false;
		}

		return this.#tokens.delete(handle);
	}
}
