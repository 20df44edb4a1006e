import {setImmediate as nextTurn} from 'node:timers/promises';
import {Clock} from '../../src/process/clock.ts';

type Wake = {readonly at: number; readonly order: number; readonly resolve: () => void};

/** Clock and timers in virtual time for asynchronous code, which advances without waiting in real time. */
export class VirtualTime extends Clock {
	#now = 0;
	#order = 0;
	#wakes: Wake[] = [];

	now(): number {
		return this.#now;
	}

	/** Resolves once virtual time has advanced by the given milliseconds. */
	async wait(milliseconds: number): Promise<void> {
		const {promise, resolve} = Promise.withResolvers<void>();
		this.#order += 1;
		this.#wakes.push({at: this.#now + milliseconds, order: this.#order, resolve});
		return promise;
	}

	/** Advances time from timer to timer until none is pending; after each, one turn of Node's event loop lets the awaiting code continue. */
	async run(): Promise<void> {
		await nextTurn();
		while (this.#wakes.length > 0) {
			this.#now = Math.min(...this.#wakes.map(({at}) => at));
			const due = this.#wakes.filter(({at}) => at <= this.#now).toSorted((a, b) => a.order - b.order);
			this.#wakes = this.#wakes.filter(({at}) => at > this.#now);
			for (const {resolve} of due) {
				resolve();
			}

			await nextTurn();
		}
	}
}
