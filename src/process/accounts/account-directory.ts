import type {ClientAccount} from '../../version/routes/route-configuration.ts';

/** Client accounts of one configuration version, found by key. */
export class AccountDirectory {
	readonly #accounts = new Map<string, ClientAccount>();

	/** A key that several accounts hold belongs to the first of them. */
	constructor(accounts: readonly ClientAccount[]) {
		for (const account of accounts) {
			for (const key of account.keys) {
				if (!this.#accounts.has(key)) {
					this.#accounts.set(key, account);
				}
			}
		}
	}

	/** Number of valid keys. */
	get size(): number {
		return this.#accounts.size;
	}

	/** Returns the account that holds a key. */
	holderOf(key: string): ClientAccount | undefined {
		return this.#accounts.get(key);
	}
}
