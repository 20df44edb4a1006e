import TinyQueue from 'tinyqueue';

type ScheduledEvent = {
	readonly at: number;
	readonly sequence: number;
	readonly run: () => void;
};

/** Discrete-event scheduler: virtual time in milliseconds and a queue of actions that are due at a time. */
export class EventScheduler {
	readonly #queue = new TinyQueue<ScheduledEvent>([], (a, b) => a.at - b.at || a.sequence - b.sequence);
	#now = 0;
	#sequence = 0;

	get now(): number {
		return this.#now;
	}

	/** Schedules an action at a time, or now if that time has passed; actions due at the same time run in the order in which they were added. */
	at(at: number, run: () => void): void {
		this.#sequence += 1;
		this.#queue.push({at: Math.max(at, this.#now), sequence: this.#sequence, run});
	}

	/** Schedules an action at a first time and then at each interval, without end. */
	every(first: number, intervalMs: number, run: () => void): void {
		this.at(first, () => {
			run();
			this.every(first + intervalMs, intervalMs, run);
		});
	}

	/** Runs all actions that are due up to and including a time. */
	runUntil(end: number): void {
		for (let entry = this.#queue.peek(); entry !== undefined && entry.at <= end; entry = this.#queue.peek()) {
			this.#queue.pop();
			this.#now = entry.at;
			entry.run();
		}
	}
}
