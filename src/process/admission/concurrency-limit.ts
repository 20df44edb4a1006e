/** Latencies that are usual for the upstreams of a model. */
export type TypicalLatency = {
	/** Time between tokens; undefined until one was seen. */
	readonly msPerToken: number | undefined;
	/** Time from sending to the first token. */
	readonly firstTokenMs: number;
};

/** Options of the room limit. */
export type ConcurrencyLimitOptions = {
	/** Target of the mean time between tokens, in milliseconds. */
	readonly betweenTokensMs: number;
	/** Target of the time to the first token, in milliseconds. */
	readonly firstTokenMs: number;
	/** Slots of an upstream at the start. @default 24 */
	readonly initialSlots?: number;
	/** @default 4 */
	readonly minSlots?: number;
	/** @default 256 */
	readonly maxSlots?: number;
};

/** Part of the target that the usual time between tokens may reach; the rest covers differences between upstreams. */
const tokenTargetFraction = 0.8;
/** Part of the target that the usual first token may take at the upstream; the rest is for the queue and for long prompts. */
const firstTokenTargetFraction = 0.3;
const updateIntervalMs = 500;
/** Growth in one interval, relative to the distance from the target. */
const maxGrowthFraction = 0.2;
const minDecreaseFactor = 0.9;
/** Part of the room in use below which the room is not the cause of slow tokens. */
const idleUtilization = 0.7;
/** Part of the way back to the first slots in one interval while the room is not used. */
const driftFraction = 0.05;
/** Part of the room in use from which more room would be used. */
const growthUtilization = 0.9;

/** Slots of one upstream, kept where answers meet the target between tokens. */
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

	/** Slots of one upstream. */
	get slots(): number {
		return this.#slots;
	}

	/** Takes the usual latencies and the part of the room in use; changes the slots every 500 ms. */
	update(now: number, {msPerToken, firstTokenMs}: TypicalLatency, usedPart: number): void {
		if (msPerToken === undefined || now - this.#updatedAt < updateIntervalMs) {
			return;
		}

		this.#updatedAt = now;
		const {initialSlots: firstSlots, minSlots: leastSlots, maxSlots: mostSlots, ...targets} = this.#options;
		const ratio = Math.max(
			msPerToken / (targets.betweenTokensMs * tokenTargetFraction),
			firstTokenMs / (targets.firstTokenMs * firstTokenTargetFraction),
		);
		if (usedPart < idleUtilization) {
			this.#slots += (firstSlots - this.#slots) * driftFraction;
		} else if (ratio > 1) {
			this.#slots *= Math.max(minDecreaseFactor, 1 / ratio);
		} else if (usedPart >= growthUtilization) {
			this.#slots *= 1 + (maxGrowthFraction * (1 - ratio));
		}

		this.#slots = Math.min(mostSlots, Math.max(leastSlots, this.#slots));
	}
}
