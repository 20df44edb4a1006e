import type {Clock} from '../clock.ts';

type Sample = {
	readonly offsetMs: number;
	readonly at: number;
};

/** Time for which a sample counts, in milliseconds of the steady clock; a few rounds, so that an error of the daemon that estimates the time does not last. */
const sampleLifetimeMs = 8000;

/** Returns the median; of two middle values, their mean. Undefined without values. */
export function median(values: readonly number[]): number | undefined {
	const sorted = values.toSorted((a, b) => a - b);
	const middle = Math.floor(sorted.length / 2);
	const upper = sorted[middle];
	const lower = sorted[sorted.length - 1 - middle];
	return upper === undefined || lower === undefined ? undefined : (upper + lower) / 2;
}

/**
Time of day on which the daemons agree, in milliseconds since 1970.

It runs with the steady clock, so that a jump of the host's time of day does not move it. One daemon at a time estimates it as
the median of the times of day of all, and tells the others.
*/
export class FleetTime {
	readonly #clock: Clock;
	readonly #wallClock: () => number;
	/** Samples of messages of the daemon that estimates the time. */
	#heard: Sample[] = [];
	/** Latest difference of each daemon's time of day from the own steady clock. */
	readonly #measured = new Map<string, Sample>();
	#offsetMs: number;

	constructor(clock: Clock, wallClock: () => number) {
		this.#clock = clock;
		this.#wallClock = wallClock;
		this.#offsetMs = wallClock() - clock.now();
	}

	now(): number {
		return this.#clock.now() + this.#offsetMs;
	}

	/**
	Takes over the time that another daemon has told.

	A message only ever arrives late, so the sample that is furthest ahead is the most accurate one. After a suspension of this
	host, during which the steady clock stood still, the next sample is ahead of all earlier ones.
	*/
	hear(timeMs: number): void {
		const now = this.#clock.now();
		this.#heard = [...this.#heard.filter(({at}) => now - at < sampleLifetimeMs), {offsetMs: timeMs - now, at: now}];
		this.#offsetMs = Math.max(...this.#heard.map(({offsetMs}) => offsetMs));
	}

	/** Records another daemon's time of day, which it read at the given time of the steady clock. */
	measure(daemon: string, timeOfDayMs: number, readAt: number): void {
		this.#measured.set(daemon, {offsetMs: timeOfDayMs - readAt, at: this.#clock.now()});
	}

	/** Estimates the time from the recorded times of day and the own one. */
	estimate(): void {
		const now = this.#clock.now();
		for (const [daemon, {at}] of this.#measured) {
			if (now - at >= sampleLifetimeMs) {
				this.#measured.delete(daemon);
			}
		}

		this.#heard = [];
		const offsets = [...this.#measured.values()].map(({offsetMs}) => offsetMs);
		this.#offsetMs = median([...offsets, this.#wallClock() - now]) ?? this.#offsetMs;
	}
}
