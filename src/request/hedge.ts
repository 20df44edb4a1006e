/** What the hedging decision needs to know about an attempt. */
export type HedgeCandidate = {
	/** Only repeatable work may run twice. */
	readonly isRepeatable: boolean;
	readonly hasOutput: boolean;
	readonly attempts: number;
	/** Cost of another attempt in tokens. */
	readonly tokens: number;
	/** Time since the attempt was sent, in milliseconds. */
	readonly waitedMs: number;
	/** Expected time of the prefill, in milliseconds. */
	readonly prefillMs: number;
};

/** Options of the hedging policy. */
export type HedgeOptions = {
	/** Extra work allowed, as a part of the work served. @default 0.05 */
	readonly extraWorkRatio?: number;
	/** Tokens that may be saved up for a burst. @default 4000 */
	readonly burstTokens?: number;
	/** Part of the attempts that are faster than the hedging delay. @default 0.97 */
	readonly quantile?: number;
};

const maxAttempts = 2;
const initialDelayMs = 500;
const minDelayMs = 50;
/** Step of the quantile estimate, as a part of its value. */
const quantileStepRatio = 0.05;

/** Extra work that retries and hedges may cause: a part of the work served. */
export class ExtraWorkBudget {
	readonly #extraPart: number;
	readonly #burstTokens: number;
	#tokens: number;

	constructor(extraPart: number, burstTokens: number) {
		this.#extraPart = extraPart;
		this.#burstTokens = burstTokens;
		this.#tokens = 0;
	}

	/** Counts served work. */
	earn(tokens: number): void {
		this.#tokens = Math.min(this.#burstTokens, this.#tokens + (tokens * this.#extraPart));
	}

	/** Takes the cost of extra work; false when it is not covered. */
	spend(tokens: number): boolean {
		if (tokens > this.#tokens) {
			return false;
		}

		this.#tokens -= tokens;
		return true;
	}
}

/** Decides when a second attempt of slow repeatable work is sent. */
export class HedgePolicy {
	readonly #budget: ExtraWorkBudget;
	readonly #quantile: number;
	#delayMs = initialDelayMs;

	constructor({extraWorkRatio: extraPart = 0.05, burstTokens = 4000, quantile = 0.97}: HedgeOptions = {}) {
		this.#budget = new ExtraWorkBudget(extraPart, burstTokens);
		this.#quantile = quantile;
	}

	/** Wait beyond the prefill time from which an attempt counts as slow, in milliseconds. */
	get delayMs(): number {
		return this.#delayMs;
	}

	/** Takes the wait for a first token beyond the prefill time, and the served tokens. */
	recordServed(tokens: number, waitedMs: number): void {
		this.#budget.earn(tokens);
		const step = this.#delayMs * quantileStepRatio;
		this.#delayMs = Math.max(minDelayMs, this.#delayMs + (waitedMs > this.#delayMs ? step * this.#quantile : -step * (1 - this.#quantile)));
	}

	/** True when the attempt is to be hedged; its cost is then taken from the budget. */
	shouldHedge(candidate: HedgeCandidate): boolean {
		return candidate.isRepeatable
			&& !candidate.hasOutput
			&& candidate.attempts < maxAttempts
			&& candidate.waitedMs >= candidate.prefillMs + this.#delayMs
			&& this.#budget.spend(candidate.tokens);
	}

	/** True when extra work of another kind, such as a retry or a move of a stream, is covered by the budget. */
	spend(tokens: number): boolean {
		return this.#budget.spend(tokens);
	}
}
