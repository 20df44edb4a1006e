import {performance} from 'node:perf_hooks';

/** Source of monotonic time. */
export abstract class Clock {
	/** Returns milliseconds since an arbitrary start; never decreases. */
	abstract now(): number;
}

/** Monotonic clock of the operating system. */
export class SystemClock extends Clock {
	now(): number {
		return performance.now();
	}
}

/** Smallest jump of the wall clock against the monotonic clock that is counted as a suspension; smaller ones are drift. */
const minSuspensionMs = 500;

/**
Monotonic clock that includes the time during which the host was suspended, as far as the wall clock shows it.

Setting the wall clock forward counts as a suspension too, so that durations measured by this clock, such as a lease, then end early.
*/
export class SuspendAwareClock extends Clock {
	readonly #monotonic: () => number;
	readonly #wallClock: () => number;
	#lastMonotonic: number;
	#lastWallClock: number;
	#suspendedMs = 0;

	constructor(monotonic: () => number = () => performance.now(), wallClock: () => number = () => Date.now()) {
		super();
		this.#monotonic = monotonic;
		this.#wallClock = wallClock;
		this.#lastMonotonic = monotonic();
		this.#lastWallClock = wallClock();
	}

	now(): number {
		const monotonicNow = this.#monotonic();
		const wallClockNow = this.#wallClock();
		const jumpMs = (wallClockNow - this.#lastWallClock) - (monotonicNow - this.#lastMonotonic);
		if (jumpMs > minSuspensionMs) {
			this.#suspendedMs += jumpMs;
		}

		this.#lastMonotonic = monotonicNow;
		this.#lastWallClock = wallClockNow;
		return monotonicNow + this.#suspendedMs;
	}
}

/** Clock that only moves when `advance` is called, for tests and simulations. */
export class ManualClock extends Clock {
	#time: number;

	constructor(start = 0) {
		super();
		this.#time = start;
	}

	now(): number {
		return this.#time;
	}

	/** Moves the clock forward by a number of milliseconds. */
	advance(milliseconds: number): void {
		this.#time += milliseconds;
	}
}
