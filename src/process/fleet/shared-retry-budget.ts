/** Limit on the sends beyond the first of each request, summed over all daemons. */
export type RetryBounds = {
	/** Additional sends allowed per request. */
	readonly ratio: number;
	/** Additional sends allowed per window for all daemons together, whatever the number of requests. */
	readonly slack: number;
	/** Length of the sliding window to which the limit applies. */
	readonly windowMs: number;
};

/** Smallest number of parts into which the slack is divided, because spare hosts may join at any moment. */
const minSlackParts = 24;
/** Number of parts while the number of daemons is unknown. */
const defaultSlackParts = 128;
/** Parts per known daemon; above 1 because others may have joined recently. */
const slackPartsPerDaemon = 1.25;
/** Part of the ratio that a daemon uses, because its window does not line up with the one that the limit is checked against. */
const ratioSafetyFactor = 0.8;
const bucketsPerWindow = 10;

type Bucket = {
	readonly index: number;
	requests: number;
	retries: number;
};

/**
Limits the retries, hedges and rejected sends of one daemon so that the sum over all daemons stays within a bound.

Each daemon may use the ratio of its own requests, which adds up to the ratio of all requests however they are distributed, and
one part of the slack. This needs no coordination, and the bound also holds when daemons join or one takes over all the load. A
process that takes the place of an earlier one uses no slack in its first window, because the earlier one may have used it in the
same window; all processes may be replaced at once.
*/
export class SharedRetryBudget {
	#bounds: RetryBounds;
	readonly #countDaemons: () => number | undefined;
	readonly #replacedAt: () => number | undefined;
	readonly #buckets = new Map<string, Bucket[]>();

	/**
	`countDaemons` returns the number of daemons ever seen, or undefined while it is unknown. `replacedAt` returns the time in
	milliseconds at which this process took the place of an earlier one, or undefined if there was none.
	*/
	constructor(bounds: RetryBounds, countDaemons: () => number | undefined, replacedAt: () => number | undefined = () => undefined) {
		this.#bounds = bounds;
		this.#countDaemons = countDaemons;
		this.#replacedAt = replacedAt;
	}

	/** Replaces the bounds and keeps the counts. */
	setBounds(bounds: RetryBounds): void {
		this.#bounds = bounds;
	}

	/** Counts a request for a service; `now` is in milliseconds. */
	earn(service: string, now: number): void {
		this.#currentBucket(service, now).requests += 1;
	}

	/** Consumes one additional send; returns false if the budget is exhausted. */
	take(service: string, now: number): boolean {
		const current = this.#currentBucket(service, now);
		const buckets = this.#buckets.get(service)!;
		const retries = buckets.reduce((sum, bucket) => sum + bucket.retries, 0);
		const requests = buckets.reduce((sum, bucket) => sum + bucket.requests, 0);
		if (retries + 1 > (requests * this.#bounds.ratio * ratioSafetyFactor) + this.#slack(now)) {
			return false;
		}

		current.retries += 1;
		return true;
	}

	#slack(now: number): number {
		const {slack, windowMs} = this.#bounds;
		const replacedAt = this.#replacedAt();
		return replacedAt !== undefined && now - replacedAt <= windowMs ? 0 : slack / this.#slackParts();
	}

	#slackParts(): number {
		const daemons = this.#countDaemons();
		return daemons === undefined ? defaultSlackParts : Math.max(minSlackParts, daemons * slackPartsPerDaemon);
	}

	#currentBucket(service: string, now: number): Bucket {
		const index = Math.floor(now / (this.#bounds.windowMs / bucketsPerWindow));
		const recent = (this.#buckets.get(service) ?? []).filter(bucket => bucket.index > index - bucketsPerWindow - 1);
		let current = recent.at(-1);
		if (current?.index !== index) {
			current = {index, requests: 0, retries: 0};
			recent.push(current);
		}

		this.#buckets.set(service, recent);
		return current;
	}
}
