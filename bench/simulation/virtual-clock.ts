import {setImmediate as nextTurn} from 'node:timers/promises';
import {Clock} from '../../src/process/clock.ts';

type VirtualTimer = {readonly at: number; readonly sequence: number; readonly resolve: () => void};

/** Clock and timers for asynchronous code in virtual time. */
export class VirtualClock extends Clock {
	#now = 0;
	#sequence = 0;
	#timers: VirtualTimer[] = [];

	now(): number {
		return this.#now;
	}

	/** Resolves once virtual time has moved on by some milliseconds. */
	async wait(milliseconds: number): Promise<void> {
		const {promise, resolve} = Promise.withResolvers<void>();
		this.#sequence += 1;
		this.#timers.push({at: this.#now + milliseconds, sequence: this.#sequence, resolve});
		return promise;
	}

	/** Moves time on from wake to wake until nothing waits. */
	async run(): Promise<void> {
		await nextTurn();
		while (this.#timers.length > 0) {
			this.#now = Math.min(...this.#timers.map(({at}) => at));
			const due = this.#timers.filter(({at}) => at <= this.#now).toSorted((a, b) => a.sequence - b.sequence);
			this.#timers = this.#timers.filter(({at}) => at > this.#now);
			for (const {resolve} of due) {
				resolve();
			}

			await nextTurn();
		}
	}
}
