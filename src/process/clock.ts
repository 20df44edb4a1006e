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
const suspensionMs = 500;

/**
Monotonic clock that also counts the time for which the host was suspended, as far as the time of day shows it.

A time of day that is set forward counts as a suspension as well: what is timed by this clock, such as a lease, ends early then.
*/
export class SuspensionClock extends Clock {
	readonly #steady: () => number;
	readonly #timeOfDay: () => number;
	#lastSteady: number;
	#lastTimeOfDay: number;
	#suspended = 0;

	constructor(steady: () => number = () => performance.now(), timeOfDay: () => number = () => Date.now()) {
		super();
		this.#steady = steady;
		this.#timeOfDay = timeOfDay;
		this.#lastSteady = steady();
		this.#lastTimeOfDay = timeOfDay();
	}

	now(): number {
		const steady = this.#steady();
		const timeOfDay = this.#timeOfDay();
		const lead = (timeOfDay - this.#lastTimeOfDay) - (steady - this.#lastSteady);
		if (lead > suspensionMs) {
			this.#suspended += lead;
		}

		this.#lastSteady = steady;
		this.#lastTimeOfDay = timeOfDay;
		return steady + this.#suspended;
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
