/** Latencies that are usual for the upstreams of a model. */
export type UsualLatency = {
	/** Time between tokens; undefined until one was seen. */
	readonly msPerToken: number | undefined;
	/** Time from sending to the first token. */
	readonly firstTokenMs: number;
};

/** Options of the room limit. */
export type RoomLimitOptions = {
	/** Target of the mean time between tokens, in milliseconds. */
	readonly betweenTokensMs: number;
	/** Target of the time to the first token, in milliseconds. */
	readonly firstTokenMs: number;
	/** Slots of an upstream at the start. @default 24 */
	readonly firstSlots?: number;
	/** @default 4 */
	readonly leastSlots?: number;
	/** @default 256 */
	readonly mostSlots?: number;
};

/** Part of the target that the usual time between tokens may reach; the rest covers differences between upstreams. */
const targetPart = 0.8;
/** Part of the target that the usual first token may take at the upstream; the rest is for the queue and for long prompts. */
const firstTokenPart = 0.3;
const intervalMs = 500;
/** Growth in one interval, relative to the distance from the target. */
const growth = 0.2;
const strongestCut = 0.9;
/** Part of the room in use below which the room is not the cause of slow tokens. */
const usedEnoughPart = 0.7;
/** Part of the way back to the first slots in one interval while the room is not used. */
const drift = 0.05;
/** Part of the room in use from which more room would be used. */
const exhaustedPart = 0.9;

/** Slots of one upstream, kept where answers meet the target between tokens. */
export class RoomLimit {
	readonly #options: Required<RoomLimitOptions>;
	#slots: number;
	#updatedAt = 0;

	constructor(options: RoomLimitOptions) {
		this.#options = {
			firstSlots: 24, leastSlots: 4, mostSlots: 256, ...options,
		};
		this.#slots = this.#options.firstSlots;
	}

	/** Slots of one upstream. */
	get slots(): number {
		return this.#slots;
	}

	/** Takes the usual latencies and the part of the room in use; changes the slots every 500 ms. */
	update(now: number, {msPerToken, firstTokenMs}: UsualLatency, usedPart: number): void {
		if (msPerToken === undefined || now - this.#updatedAt < intervalMs) {
			return;
		}

		this.#updatedAt = now;
		const {firstSlots, leastSlots, mostSlots, ...targets} = this.#options;
		const ratio = Math.max(
			msPerToken / (targets.betweenTokensMs * targetPart),
			firstTokenMs / (targets.firstTokenMs * firstTokenPart),
		);
		if (usedPart < usedEnoughPart) {
			this.#slots += (firstSlots - this.#slots) * drift;
		} else if (ratio > 1) {
			this.#slots *= Math.max(strongestCut, 1 / ratio);
		} else if (usedPart >= exhaustedPart) {
			this.#slots *= 1 + (growth * (1 - ratio));
		}

		this.#slots = Math.min(mostSlots, Math.max(leastSlots, this.#slots));
	}
}
