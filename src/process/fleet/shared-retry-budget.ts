/** Bound on sends beyond the first of each request, summed over all daemons. */
export type RetryBounds = {
	/** Further sends for each request. */
	readonly ratio: number;
	/** Further sends of all daemons together, whatever the requests. */
	readonly slack: number;
	readonly windowMs: number;
};

/** Daemons that may share the slack; their number is not known to each of them. */
const slackShares = 24;
/** Part of the ratio that is used, since the windows of the bound and of the daemon differ. */
const usedRatio = 0.8;
const bucketsPerWindow = 10;

type Bucket = {
	readonly index: number;
	requests: number;
	retries: number;
};

/**
Bounds retries, hedges and rejected sends of one daemon so that the sum over all daemons stays within a bound.

Each daemon uses the ratio of its own requests, which adds up to the ratio of all requests however they are spread, and a fixed
part of the slack. No messages are needed, and daemons that join or take over all the load stay within it.
*/
export class SharedRetryBudget {
	#bounds: RetryBounds;
	readonly #services = new Map<string, Bucket[]>();

	constructor(bounds: RetryBounds) {
		this.#bounds = bounds;
	}

	/** Sets other bounds; what was counted stays. */
	rebound(bounds: RetryBounds): void {
		this.#bounds = bounds;
	}

	/** Counts a request for a service; `now` in milliseconds. */
	earn(service: string, now: number): void {
		this.#current(service, now).requests += 1;
	}

	/** Takes one further send, or returns false when there is none left. */
	take(service: string, now: number): boolean {
		const current = this.#current(service, now);
		const buckets = this.#services.get(service)!;
		const retries = buckets.reduce((sum, bucket) => sum + bucket.retries, 0);
		const requests = buckets.reduce((sum, bucket) => sum + bucket.requests, 0);
		if (retries + 1 > (requests * this.#bounds.ratio * usedRatio) + (this.#bounds.slack / slackShares)) {
			return false;
		}

		current.retries += 1;
		return true;
	}

	#current(service: string, now: number): Bucket {
		const index = Math.floor(now / (this.#bounds.windowMs / bucketsPerWindow));
		const live = (this.#services.get(service) ?? []).filter(bucket => bucket.index > index - bucketsPerWindow - 1);
		let current = live.at(-1);
		if (current?.index !== index) {
			current = {index, requests: 0, retries: 0};
			live.push(current);
		}

		this.#services.set(service, live);
		return current;
	}
}
