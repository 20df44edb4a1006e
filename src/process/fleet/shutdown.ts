import {setTimeout as delay} from 'node:timers/promises';
import type {Clock} from '../clock.ts';
import type {DecisionLog} from './decision-log.ts';

/** Times of a planned stop, in milliseconds. */
export type ShutdownTimes = {
	/** Time that the balancer needs to take the daemon out of rotation: it asks once a second and needs two misses. */
	readonly rotationDelayMs: number;
	/** From this time on, new requests are refused; earlier ones may still finish within the grace. */
	readonly refuseAfterMs: number;
	/** The process ends by then, whatever is open. */
	readonly graceMs: number;
};

const pollIntervalMs = 50;
const lateRequestWaitMs = 100;
/** The process ends this long before it would be killed. */
const graceMarginMs = 250;

/** Derives the times of a planned stop from the time after which the process is killed. */
export function createShutdownTimes(graceMs: number): ShutdownTimes {
	return {rotationDelayMs: 2600, refuseAfterMs: 3000, graceMs: Math.max(0, graceMs - graceMarginMs)};
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
		return this.#startedAt !== undefined && this.#clock.now() - this.#startedAt >= this.#times.refuseAfterMs;
	}

	/** Waits a moment, and for requests that came in meanwhile, within the grace. */
	async waitForLateRequests(): Promise<void> {
		const startedAt = this.#startedAt ?? this.#clock.now();
		for (let waitedMs = 0; waitedMs < lateRequestWaitMs || this.#openRequests() > 0; waitedMs += pollIntervalMs) {
			if (this.#clock.now() - startedAt >= this.#times.graceMs) {
				return;
			}

			await delay(pollIntervalMs);
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
			const isIdle = this.#openRequests() === 0 && passedMs >= this.#times.rotationDelayMs;
			if (isIdle || passedMs >= this.#times.graceMs) {
				this.#log.write('process.stopped', {openRequests: this.#openRequests(), passedMs: Math.round(passedMs)});
				return;
			}

			await delay(pollIntervalMs);
		}
	}
}
