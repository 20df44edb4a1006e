/** Typical latencies of the upstreams of a model. */
export type TypicalLatency = {
	/** Time between tokens, in milliseconds; `undefined` until one was measured. */
	readonly msPerToken: number | undefined;
	/** Time from sending a request to its first token, in milliseconds. */
	readonly firstTokenMs: number;
};

/** Options of the concurrency limit. */
export type ConcurrencyLimitOptions = {
	/** Target of the mean time between tokens, in milliseconds. */
	readonly betweenTokensMs: number;
	/** Target of the time to the first token, in milliseconds. */
	readonly firstTokenMs: number;
	/** Initial number of slots per upstream. @default 24 */
	readonly initialSlots?: number;
	/** Minimum number of slots per upstream. @default 4 */
	readonly minSlots?: number;
	/** Maximum number of slots per upstream. @default 256 */
	readonly maxSlots?: number;
};

/** Fraction of the target that the typical time between tokens may reach; the rest allows for differences between upstreams. */
const tokenTargetFraction = 0.8;
/** Fraction of the target that the typical first token may take on the upstream; the rest allows for queueing and long prompts. */
const firstTokenTargetFraction = 0.3;
const updateIntervalMs = 500;
/** Growth of the slots per interval, as a fraction of the relative distance from the target: at most 20 %, less as the latencies come closer to their targets. */
const growthPerDistance = 0.2;
/** The slots shrink by at most 10 % per interval. */
const minSlotsFactorPerInterval = 0.9;
/** Utilization below which the number of slots in use cannot be the cause of slow tokens. */
const lowUtilization = 0.7;
/** Fraction of the distance to the initial slots that is covered per interval while utilization is low. */
const driftFraction = 0.05;
/** Utilization from which additional slots would be used. */
const growthUtilization = 0.9;

/**
Adaptive limit of the slots per upstream.

From 70 % utilization on, it removes slots when the time between tokens or the time to the first token exceeds a fraction of its
target; from 90 % on, it adds slots while both are below. Under 70 %, it returns to the initial slots whatever the latencies are.
The minimum of slots applies even if the targets are missed.
*/
export class ConcurrencyLimit {
	readonly #options: Required<ConcurrencyLimitOptions>;
	#slots: number;
	#updatedAt = 0;

	constructor(options: ConcurrencyLimitOptions) {
		this.#options = {
			initialSlots: 24, minSlots: 4, maxSlots: 256, ...options,
		};
		this.#slots = this.#options.initialSlots;
	}

	/** Current number of slots per upstream. */
	get slots(): number {
		return this.#slots;
	}

	/** Adapts the number of slots to the typical latencies and the utilization (0 to 1) of the current slots, at most every 500 ms. */
	update(now: number, {msPerToken, firstTokenMs}: TypicalLatency, utilization: number): void {
		if (msPerToken === undefined || now - this.#updatedAt < updateIntervalMs) {
			return;
		}

		this.#updatedAt = now;
		const {initialSlots, minSlots, maxSlots, ...targets} = this.#options;
		const ratio = Math.max(
			msPerToken / (targets.betweenTokensMs * tokenTargetFraction),
			firstTokenMs / (targets.firstTokenMs * firstTokenTargetFraction),
		);
		if (utilization < lowUtilization) {
			this.#slots += (initialSlots - this.#slots) * driftFraction;
		} else if (ratio > 1) {
			this.#slots *= Math.max(minSlotsFactorPerInterval, 1 / ratio);
		} else if (utilization >= growthUtilization) {
			this.#slots *= 1 + (growthPerDistance * (1 - ratio));
		}

		this.#slots = Math.min(maxSlots, Math.max(minSlots, this.#slots));
	}
}
