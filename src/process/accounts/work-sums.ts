import type {AccountWork} from './account-usage.ts';

/** Sums of the work of client accounts, by service and account. */
export class WorkSums {
	#sums = new Map<string, AccountWork>();

	/** Number of accounts with work, over all services. */
	get size(): number {
		return this.#sums.size;
	}

	/** Sum of one account at a service. */
	get(service: string, account: string): AccountWork | undefined {
		return this.#sums.get(accountKey(service, account));
	}

	/** Adds work. */
	add(work: AccountWork): void {
		const key = accountKey(work.service, work.account);
		const known = this.#sums.get(key);
		this.#sums.set(key, known === undefined ? work : {...work, asked: known.asked + work.asked, placed: known.placed + work.placed});
	}

	/** Returns the sums, the largest first, for at most `limit` accounts, and drops all. */
	take(limit: number): readonly AccountWork[] {
		const works = [...this.#sums.values()].toSorted((a, b) => (b.asked + b.placed) - (a.asked + a.placed)).slice(0, limit);
		this.#sums = new Map();
		return works;
	}
}

/** Key of an account at a service. */
export function accountKey(service: string, account: string): string {
	return `${service}\n${account}`;
}
