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
