/** Bound on sends beyond the first of each request, summed over all daemons. */
export type RetryBounds = {
	/** Further sends for each request. */
	readonly ratio: number;
	/** Further sends of all daemons together, whatever the requests. */
	readonly slack: number;
	readonly windowMs: number;
};

/** Least number of parts of the slack: spare hosts may join at any moment. */
const minShares = 24;
/** Parts of the slack while the number of daemons is not known. */
const defaultShares = 128;
/** Parts for each daemon that is known, since others may have joined lately. */
const sharesPerDaemon = 1.25;
/** Part of the ratio that is used, since the windows of the bound and of the daemon differ. */
const ratioSafetyFactor = 0.8;
const bucketsPerWindow = 10;

type Bucket = {
	readonly index: number;
	requests: number;
	retries: number;
};

/**
Bounds retries, hedges and rejected sends of one daemon so that the sum over all daemons stays within a bound.

Each daemon uses the ratio of its own requests, which adds up to the ratio of all requests however they are spread, and a part of
the slack. What the daemons use needs no messages, and daemons that join or take over all the load stay within the bound.
*/
export class SharedRetryBudget {
	#bounds: RetryBounds;
	readonly #countDaemons: () => number | undefined;
	readonly #buckets = new Map<string, Bucket[]>();

	/** `countDaemons` returns the daemons that were ever known, or undefined while that is not known. */
	constructor(bounds: RetryBounds, countDaemons: () => number | undefined) {
		this.#bounds = bounds;
		this.#countDaemons = countDaemons;
	}

	/** Sets other bounds; what was counted stays. */
	setBounds(bounds: RetryBounds): void {
		this.#bounds = bounds;
	}

	/** Counts a request for a service; `now` in milliseconds. */
	earn(service: string, now: number): void {
		this.#currentBucket(service, now).requests += 1;
	}

	/** Takes one further send, or returns false when there is none left. */
	take(service: string, now: number): boolean {
		const current = this.#currentBucket(service, now);
		const buckets = this.#buckets.get(service)!;
		const retries = buckets.reduce((sum, bucket) => sum + bucket.retries, 0);
		const requests = buckets.reduce((sum, bucket) => sum + bucket.requests, 0);
		if (retries + 1 > (requests * this.#bounds.ratio * ratioSafetyFactor) + (this.#bounds.slack / this.#shares())) {
			return false;
		}

		current.retries += 1;
		return true;
	}

	#shares(): number {
		const daemons = this.#countDaemons();
		return daemons === undefined ? defaultShares : Math.max(minShares, daemons * sharesPerDaemon);
	}

	#currentBucket(service: string, now: number): Bucket {
		const index = Math.floor(now / (this.#bounds.windowMs / bucketsPerWindow));
		const live = (this.#buckets.get(service) ?? []).filter(bucket => bucket.index > index - bucketsPerWindow - 1);
		let current = live.at(-1);
		if (current?.index !== index) {
			current = {index, requests: 0, retries: 0};
			live.push(current);
		}

		this.#buckets.set(service, live);
		return current;
	}
}
