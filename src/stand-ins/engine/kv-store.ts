import {randomUUID} from 'node:crypto';

/** Exported KV cache of a prompt, for the transfer to another engine. */
export type KvExport = {
	readonly handle: string;
	readonly promptTokens: number;
};

const maxImportedCaches = 1024;

/** KV caches imported into an engine; evicts the oldest when it is full. */
export class KvStore {
	readonly #tokens = new Map<string, number>();

	/** Creates an export for a prompt that this engine has prefilled. */
	export(promptTokens: number): KvExport {
		return {handle: randomUUID(), promptTokens};
	}

	/** Stores an imported cache. */
	import(kv: KvExport): void {
		this.#tokens.set(kv.handle, kv.promptTokens);
		const [oldest] = this.#tokens.keys();
		if (this.#tokens.size > maxImportedCaches && oldest !== undefined) {
			this.#tokens.delete(oldest);
		}
	}

	/** Removes an imported cache, since it serves one request; false when there is none with this handle for a prompt of this length. */
	take(handle: string | undefined, promptTokens: number): boolean {
		if (handle === undefined || this.#tokens.get(handle) !== promptTokens) {
			return false;
		}

		return this.#tokens.delete(handle);
	}
}
