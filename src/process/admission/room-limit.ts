/** Options of the room limit. */
export type RoomLimitOptions = {
	/** Target of the mean time between tokens, in milliseconds. */
	readonly betweenTokensMs: number;
	/** Slots of an upstream at the start. @default 24 */
	readonly firstSlots?: number;
	/** @default 4 */
	readonly leastSlots?: number;
	/** @default 256 */
	readonly mostSlots?: number;
};

/** Part of the target that the usual time between tokens may reach; the rest covers differences between upstreams. */
const targetPart = 0.8;
const intervalMs = 500;
const growth = 1.03;
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

	/** Takes the usual time between tokens and the part of the room in use; changes the slots every 500 ms. */
	update(now: number, usualMsPerToken: number | undefined, usedPart: number): void {
		if (usualMsPerToken === undefined || now - this.#updatedAt < intervalMs) {
			return;
		}

		this.#updatedAt = now;
		const {betweenTokensMs, firstSlots, leastSlots, mostSlots} = this.#options;
		const ratio = usualMsPerToken / (betweenTokensMs * targetPart);
		if (usedPart < usedEnoughPart) {
			this.#slots += (firstSlots - this.#slots) * drift;
		} else if (ratio > 1) {
			this.#slots *= Math.max(strongestCut, 1 / ratio);
		} else if (usedPart >= exhaustedPart) {
			this.#slots *= growth;
		}

		this.#slots = Math.min(mostSlots, Math.max(leastSlots, this.#slots));
	}
}
