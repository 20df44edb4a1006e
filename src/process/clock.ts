import {performance} from 'node:perf_hooks';

/** Source of monotonic time. */
export abstract class Clock {
	/** Returns milliseconds since an arbitrary start; it never goes back. */
	abstract now(): number;
}

/** Monotonic clock of the operating system. */
export class SystemClock extends Clock {
	now(): number {
		return performance.now();
	}
}

/** A difference between the two clocks of the system that is no drift, in milliseconds. */
const minSuspensionMs = 500;

/**
Monotonic clock that also counts the time for which the host was suspended, as far as the time of day shows it.

A time of day that is set forward counts as a suspension as well: what is timed by this clock, such as a lease, ends early then.
*/
export class SuspendAwareClock extends Clock {
	readonly #monotonic: () => number;
	readonly #wallClock: () => number;
	#lastMonotonic: number;
	#lastWallClock: number;
	#suspendedMs = 0;

	constructor(steady: () => number = () => performance.now(), timeOfDay: () => number = () => Date.now()) {
		super();
		this.#monotonic = steady;
		this.#wallClock = timeOfDay;
		this.#lastMonotonic = steady();
		this.#lastWallClock = timeOfDay();
	}

	now(): number {
		const steady = this.#monotonic();
		const timeOfDay = this.#wallClock();
		const lead = (timeOfDay - this.#lastWallClock) - (steady - this.#lastMonotonic);
		if (lead > minSuspensionMs) {
			this.#suspendedMs += lead;
		}

		this.#lastMonotonic = steady;
		this.#lastWallClock = timeOfDay;
		return steady + this.#suspendedMs;
	}
}

/** Clock that moves only when told to, for tests and experiments. */
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
