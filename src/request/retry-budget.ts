/** Retries and hedges allowed, as a fraction of live requests. */
export const retryRatio = 0.05;

const initialTokens = 1;
const maxTokensPerBucket = 10;
const maxBuckets = 20_000;

/** Token buckets by name; the least recently changed bucket is evicted when there are too many. */
class TokenBuckets {
	readonly #tokens = new Map<string, number>();

	get(name: string): number {
		return this.#tokens.get(name) ?? initialTokens;
	}

	add(name: string, change: number): void {
		const tokens = Math.min(this.get(name) + change, maxTokensPerBucket);
		this.#tokens.delete(name);
		this.#tokens.set(name, tokens);
		if (this.#tokens.size > maxBuckets) {
			const [oldest] = this.#tokens.keys();
			this.#tokens.delete(oldest!);
		}
	}
}

/** Customer and upstream to which an extra attempt is charged. */
export type RetryBudgetKey = {
	readonly customer: string;
	readonly upstream: string;
};

/**
Limits retries and hedges to a fraction of the live requests of each customer and to each upstream.

Each bucket starts with one token, so that the first failure of a customer with little traffic can be retried.
*/
export class RetryBudget {
	readonly #customers = new TokenBuckets();
	readonly #upstreams = new TokenBuckets();

	/** Adds the allowance for the first attempt of a live request. */
	earn(key: RetryBudgetKey): void {
		this.#customers.add(key.customer, retryRatio);
		this.#upstreams.add(key.upstream, retryRatio);
	}

	/** Takes one token from both buckets; returns false and takes nothing when either is empty. `upstream` is the one that failed. */
	take(key: RetryBudgetKey): boolean {
		// Tolerates the rounding error of a bucket that was filled in steps of 0.05.
		const wholeToken = 1 - 1e-9;
		if (this.#customers.get(key.customer) < wholeToken || this.#upstreams.get(key.upstream) < wholeToken) {
			return false;
		}

		this.#customers.add(key.customer, -1);
		this.#upstreams.add(key.upstream, -1);
		return true;
	}
}
