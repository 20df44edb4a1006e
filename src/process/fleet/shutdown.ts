import {setTimeout as delay} from 'node:timers/promises';
import type {Clock} from '../clock.ts';
import type {DecisionLog} from './decision-log.ts';

/** Times of a planned stop, in milliseconds. */
export type ShutdownTimes = {
	/** Time that the balancer needs to take the daemon out of rotation: it asks once a second and needs two misses. */
	readonly rotationMs: number;
	/** From this time on, new requests are refused; earlier ones may still finish within the grace. */
	readonly closeMs: number;
	/** The process ends by then, whatever is open. */
	readonly graceMs: number;
};

const pollMs = 50;
const settleMs = 100;
/** The process ends this long before it would be killed. */
const graceMarginMs = 250;

/** Derives the times of a planned stop from the time after which the process is killed. */
export function createShutdownTimes(graceMs: number): ShutdownTimes {
	return {rotationMs: 2600, closeMs: 3000, graceMs: Math.max(0, graceMs - graceMarginMs)};
}

/** A planned stop: out of rotation first, then no new requests, then the end once nothing is open. */
export class Shutdown {
	readonly #clock: Clock;
	readonly #log: DecisionLog;
	readonly #times: ShutdownTimes;
	readonly #openRequests: () => number;
	#startedAt: number | undefined;

	constructor(clock: Clock, log: DecisionLog, times: ShutdownTimes, openRequests: () => number) {
		this.#clock = clock;
		this.#log = log;
		this.#times = times;
		this.#openRequests = openRequests;
	}

	/** True from the first signal on. */
	get hasStarted(): boolean {
		return this.#startedAt !== undefined;
	}

	/** True once new requests are refused. */
	get isClosing(): boolean {
		return this.#startedAt !== undefined && this.#clock.now() - this.#startedAt >= this.#times.closeMs;
	}

	/** Waits a moment, and for requests that came in meanwhile, within the grace. */
	async settle(): Promise<void> {
		const startedAt = this.#startedAt ?? this.#clock.now();
		for (let waitedMs = 0; waitedMs < settleMs || this.#openRequests() > 0; waitedMs += pollMs) {
			if (this.#clock.now() - startedAt >= this.#times.graceMs) {
				return;
			}

			await delay(pollMs);
		}
	}

	/** Starts the stop and resolves when the process may end; further signals change nothing. */
	async run(): Promise<void> {
		if (this.#startedAt !== undefined) {
			return;
		}

		this.#startedAt = this.#clock.now();
		this.#log.write('process.stopping', {openRequests: this.#openRequests(), graceMs: this.#times.graceMs});
		for (;;) {
			const passedMs = this.#clock.now() - this.#startedAt;
			const isIdle = this.#openRequests() === 0 && passedMs >= this.#times.rotationMs;
			if (isIdle || passedMs >= this.#times.graceMs) {
				this.#log.write('process.stopped', {openRequests: this.#openRequests(), passedMs: Math.round(passedMs)});
				return;
			}

			await delay(pollMs);
		}
	}
}
