import {Clock} from '../../../src/process/clock.ts';
import {SeededRandom} from '../../../src/process/random.ts';

type SimulatedEvent = {readonly at: number; readonly sequence: number; readonly run: () => void};

/** Microtask turns after each event, enough for all promise continuations of the event to finish; more turns only make runs slower. */
const microtaskTurnsPerEvent = 20;

/** Deterministic simulator: simulated time, an event queue and random numbers. Events run one after another, so that the same seed gives the same run. */
export class Simulator {
	readonly random: SeededRandom;
	#now = 0;
	#sequence = 0;
	readonly #events: SimulatedEvent[] = [];

	constructor(seed: number) {
		this.random = new SeededRandom(seed);
	}

	/** Simulated milliseconds since the start. */
	get now(): number {
		return this.#now;
	}

	/** Schedules a function after a delay in milliseconds; functions due at the same time run in the order in which they were added. */
	after(delayMs: number, run: () => void): void {
		const event = {at: this.#now + delayMs, sequence: this.#sequence, run};
		this.#sequence += 1;
		this.#push(event);
	}

	/** Runs the events that are due up to and including a time. */
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

/** Monotonic clock of one process, with its own start value and speed. */
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

/** Execution of one process, which can be paused and killed. Steps that are due during a pause run when it ends. */
export class Actor {
	readonly #simulator: Simulator;
	#pausedUntil = 0;
	#epoch = 0;

	constructor(simulator: Simulator) {
		this.#simulator = simulator;
	}

	/** Number of times that the process was killed. */
	get epoch(): number {
		return this.#epoch;
	}

	/** Pauses the process for a duration in milliseconds. */
	pause(durationMs: number): void {
		this.#pausedUntil = Math.max(this.#pausedUntil, this.#simulator.now + durationMs);
	}

	/** Kills the process: none of the steps scheduled so far will run. */
	kill(): void {
		this.#epoch += 1;
	}

	/** Schedules a step of the process after a delay in milliseconds. It waits while the process is paused and is dropped if the process is killed first. */
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
