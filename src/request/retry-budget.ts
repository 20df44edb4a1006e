/** Part of live traffic that retries and hedges may add. */
export const retryRatio = 0.05;

const initialTokens = 1;
const maxTokensPerBucket = 10;
const maxBuckets = 20_000;

/** Token buckets by name; a bucket that was not used for longest is dropped when there are too many. */
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

/** Whom an extra attempt is charged to. */
export type RetryBudgetKey = {
	readonly customer: string;
	readonly upstream: string;
};

/**
Limits retries and hedges to a part of the live traffic of each customer and to each upstream.

Each bucket starts with one token, so that the first failure of a quiet customer can be retried.
*/
export class RetryBudget {
	readonly #customers = new TokenBuckets();
	readonly #upstreams = new TokenBuckets();

	/** Counts a first attempt of a live request. */
	earn(payer: RetryBudgetKey): void {
		this.#customers.add(payer.customer, retryRatio);
		this.#upstreams.add(payer.upstream, retryRatio);
	}

	/** Takes one token from both buckets, or nothing when either is empty; `upstream` is the one that failed. */
	take(payer: RetryBudgetKey): boolean {
		// A bucket that was filled in steps of 0.05 may be short of a whole token by a rounding error.
		const whole = 1 - 1e-9;
		if (this.#customers.get(payer.customer) < whole || this.#upstreams.get(payer.upstream) < whole) {
			return false;
		}

		this.#customers.add(payer.customer, -1);
		this.#upstreams.add(payer.upstream, -1);
		return true;
	}
}
