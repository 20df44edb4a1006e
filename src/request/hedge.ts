/** Attempt that may be hedged. */
export type HedgeCandidate = {
	/** False for work that must not run twice. */
	readonly isRepeatable: boolean;
	readonly hasOutput: boolean;
	readonly attempts: number;
	/** Cost of another attempt, in tokens. */
	readonly tokens: number;
	/** Time since the attempt was sent, in milliseconds. */
	readonly waitedMs: number;
	/** Expected prefill time, in milliseconds. */
	readonly prefillMs: number;
};

/** Options of the hedging policy. */
export type HedgeOptions = {
	/** Extra work allowed, as a fraction of the work served. @default 0.05 */
	readonly extraWorkRatio?: number;
	/** Largest budget that can accumulate for a burst, in tokens. @default 4000 */
	readonly burstTokens?: number;
	/** Quantile of the waiting time that the hedging delay follows. @default 0.97 */
	readonly quantile?: number;
};

const maxAttempts = 2;
const initialDelayMs = 500;
const minDelayMs = 50;
/** Step of the quantile estimate, as a fraction of its value. */
const quantileStepRatio = 0.05;

/** Limits the extra work of retries and hedges to a fraction of the work served. */
export class ExtraWorkBudget {
	readonly #ratio: number;
	readonly #burstTokens: number;
	#tokens: number;

	constructor(extraWorkRatio: number, burstTokens: number) {
		this.#ratio = extraWorkRatio;
		this.#burstTokens = burstTokens;
		this.#tokens = 0;
	}

	/** Adds the allowance for served work. */
	earn(tokens: number): void {
		this.#tokens = Math.min(this.#burstTokens, this.#tokens + (tokens * this.#ratio));
	}

	/** Takes the cost of extra work; returns false and takes nothing when the budget does not cover it. */
	spend(tokens: number): boolean {
		if (tokens > this.#tokens) {
			return false;
		}

		this.#tokens -= tokens;
		return true;
	}
}

/** Decides when slow repeatable work is hedged with a second attempt. */
export class HedgePolicy {
	readonly #budget: ExtraWorkBudget;
	readonly #quantile: number;
	#delayMs = initialDelayMs;

	constructor({extraWorkRatio = 0.05, burstTokens = 4000, quantile = 0.97}: HedgeOptions = {}) {
		this.#budget = new ExtraWorkBudget(extraWorkRatio, burstTokens);
		this.#quantile = quantile;
	}

	/** Wait beyond the expected prefill time after which an attempt counts as slow, in milliseconds. */
	get delayMs(): number {
		return this.#delayMs;
	}

	/** Records served tokens and the wait for the first token beyond the expected prefill time, in milliseconds. */
	recordServed(tokens: number, waitedMs: number): void {
		this.#budget.earn(tokens);
		const step = this.#delayMs * quantileStepRatio;
		this.#delayMs = Math.max(minDelayMs, this.#delayMs + (waitedMs > this.#delayMs ? step * this.#quantile : -step * (1 - this.#quantile)));
	}

	/** Returns true when the attempt should be hedged; takes the cost from the budget. */
	shouldHedge(candidate: HedgeCandidate): boolean {
		return candidate.isRepeatable
			&& !candidate.hasOutput
			&& candidate.attempts < maxAttempts
			&& candidate.waitedMs >= candidate.prefillMs + this.#delayMs
			&& this.#budget.spend(candidate.tokens);
	}

	/** Takes the cost of other extra work, such as a retry or a migrated stream; returns false when the budget does not cover it. */
	spend(tokens: number): boolean {
		return this.#budget.spend(tokens);
	}
}
