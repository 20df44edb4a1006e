import {setTimeout as delay} from 'node:timers/promises';
import type {Clock} from '../clock.ts';
import type {DecisionLog} from './decision-log.ts';

/** Timing of a graceful shutdown, in milliseconds from its start. */
export type ShutdownTimes = {
	/** Time that the load balancer needs to take the daemon out of rotation: it checks readiness once a second and needs two failures. */
	readonly rotationDelayMs: number;
	/** Time after which new requests are refused; earlier ones may finish within the grace period. */
	readonly refuseAfterMs: number;
	/** Time after which the process exits even with requests in flight. */
	readonly graceMs: number;
};

const pollIntervalMs = 50;
/** Shortest wait for requests that were in transit when the listener closed. */
const lateRequestWaitMs = 100;
/** The process exits this long before it would be killed. */
const graceMarginMs = 250;

/** Derives the shutdown times from the time after which the process is killed, in milliseconds. */
export function createShutdownTimes(graceMs: number): ShutdownTimes {
	return {rotationDelayMs: 2600, refuseAfterMs: 3000, graceMs: Math.max(0, graceMs - graceMarginMs)};
}

/** Graceful shutdown: leaves the rotation, then refuses new requests, then ends once no request is in flight. */
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

	/** True from the first stop signal on. */
	get hasStarted(): boolean {
		return this.#startedAt !== undefined;
	}

	/** True once new requests are refused. */
	get isClosing(): boolean {
		return this.#startedAt !== undefined && this.#clock.now() - this.#startedAt >= this.#times.refuseAfterMs;
	}

	/** Waits for requests that were in transit when the listener closed, within the grace period. */
	async waitForLateRequests(): Promise<void> {
		const startedAt = this.#startedAt ?? this.#clock.now();
		for (let waitedMs = 0; waitedMs < lateRequestWaitMs || this.#openRequests() > 0; waitedMs += pollIntervalMs) {
			if (this.#clock.now() - startedAt >= this.#times.graceMs) {
				return;
			}

			await delay(pollIntervalMs);
		}
	}

	/** Starts the shutdown and resolves when the process may exit; resolves at once if it has already started. */
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
