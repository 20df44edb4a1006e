import {setImmediate as nextTurn} from 'node:timers/promises';
import {Clock} from '../../src/process/clock.ts';

type VirtualTimer = {readonly at: number; readonly sequence: number; readonly resolve: () => void};

/** Clock and timers in virtual time for asynchronous code, which advances without waiting in real time. */
export class VirtualClock extends Clock {
	#now = 0;
	#sequence = 0;
	#timers: VirtualTimer[] = [];

	now(): number {
		return this.#now;
	}

	/** Resolves once virtual time has advanced by the given milliseconds. */
	async wait(milliseconds: number): Promise<void> {
		const {promise, resolve} = Promise.withResolvers<void>();
		this.#sequence += 1;
		this.#timers.push({at: this.#now + milliseconds, sequence: this.#sequence, resolve});
		return promise;
	}

	/** Advances time from timer to timer until none is pending; after each, one turn of Node's event loop lets the awaiting code continue. */
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
