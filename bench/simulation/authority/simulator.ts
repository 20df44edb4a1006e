import {Clock} from '../../../src/process/clock.ts';
import {SeededRandom} from '../../../src/process/random.ts';

type SimulatedEvent = {readonly at: number; readonly sequence: number; readonly run: () => void};

/** Microtask turns in which the continuations of one event finish; more turns change nothing but the speed. */
const microtaskTurnsPerEvent = 20;

/** Fake time in which events run one after another; the same seed gives the same history. */
export class Simulator {
	readonly random: SeededRandom;
	#now = 0;
	#sequence = 0;
	readonly #events: SimulatedEvent[] = [];

	constructor(seed: number) {
		this.random = new SeededRandom(seed);
	}

	/** Milliseconds since the start. */
	get now(): number {
		return this.#now;
	}

	/** Runs a function after a delay in milliseconds. */
	after(delayMs: number, run: () => void): void {
		const event = {at: this.#now + delayMs, sequence: this.#sequence, run};
		this.#sequence += 1;
		this.#push(event);
	}

	/** Runs the events up to a time. */
	async runUntil(limit: number): Promise<void> {
		while (this.#events.length > 0) {
			if (this.#events[0]!.at > limit) {
				return;
			}

			const event = this.#pop();
			this.#now = event.at;
			event.run();
			for (let turn = 0; turn < microtaskTurnsPerEvent; turn += 1) {
				await Promise.resolve();
			}
		}
	}

	#push(event: SimulatedEvent): void {
		const events = this.#events;
		events.push(event);
		for (let index = events.length - 1; index > 0;) {
			const parent = Math.floor((index - 1) / 2);
			if (isBefore(events[parent]!, events[index]!)) {
				return;
			}

			[events[parent], events[index]] = [events[index]!, events[parent]!];
			index = parent;
		}
	}

	#pop(): SimulatedEvent {
		const events = this.#events;
		const first = events[0]!;
		const last = events.pop()!;
		if (events.length === 0) {
			return first;
		}

		events[0] = last;
		for (let index = 0; ;) {
			const children = [(2 * index) + 1, (2 * index) + 2].filter(child => child < events.length);
			const smallest = children.length === 2 && isBefore(events[children[1]!]!, events[children[0]!]!) ? children[1] : children[0];
			if (smallest === undefined || isBefore(events[index]!, events[smallest]!)) {
				return first;
			}

			[events[index], events[smallest]] = [events[smallest]!, events[index]!];
			index = smallest;
		}
	}
}

function isBefore(a: SimulatedEvent, b: SimulatedEvent): boolean {
	return a.at < b.at || (a.at === b.at && a.sequence < b.sequence);
}

/** Monotonic clock of one process, with its own start and speed. */
export class SkewedClock extends Clock {
	readonly #simulator: Simulator;
	readonly #offset: number;
	readonly #rate: number;

	constructor(simulator: Simulator, offset: number, rate: number) {
		super();
		this.#simulator = simulator;
		this.#offset = offset;
		this.#rate = rate;
	}

	now(): number {
		return this.#offset + (this.#simulator.now * this.#rate);
	}
}

/** A process that can be paused and killed; what it awaits goes on when it does. */
export class Actor {
	readonly #simulator: Simulator;
	#pausedUntil = 0;
	#epoch = 0;

	constructor(simulator: Simulator) {
		this.#simulator = simulator;
	}

	/** Changes when the process is killed. */
	get epoch(): number {
		return this.#epoch;
	}

	/** Stops the process for a time in milliseconds. */
	pause(durationMs: number): void {
		this.#pausedUntil = Math.max(this.#pausedUntil, this.#simulator.now + durationMs);
	}

	/** Ends the process; nothing that it waits for comes back. */
	kill(): void {
		this.#epoch += 1;
	}

	/** Runs a step of the process after a delay, when it is not paused; never if it was killed before. */
	after(delayMs: number, step: () => void): void {
		const epoch = this.#epoch;
		this.#simulator.after(delayMs, () => {
			this.#resume(epoch, step);
		});
	}

	#resume(epoch: number, step: () => void): void {
		if (epoch !== this.#epoch) {
			return;
		}

		if (this.#simulator.now < this.#pausedUntil) {
			this.#simulator.after(this.#pausedUntil - this.#simulator.now, () => {
				this.#resume(epoch, step);
			});
			return;
		}

		step();
	}
}
