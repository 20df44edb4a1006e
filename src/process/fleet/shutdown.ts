import {setTimeout as delay} from 'node:timers/promises';
import type {Clock} from '../clock.ts';
import {readPendingEvents} from '../pending-events.ts';
import type {DecisionLog} from './decision-log.ts';
import {canEndBeforeExit, type RequestTimes, type StopTimes} from './stop-schedule.ts';

/** Requests that a shutdown has ended, by how. */
export type StopCounts = {
	/** Refused as not run without being taken. */
	readonly refusedOnArrival: number;
	/** Refused as not run after they were taken. */
	readonly refused: number;
	/** Failed as perhaps run. */
	readonly failed: number;
	/** Streams that were aborted after they had begun. */
	readonly brokenOff: number;
};

/** Requests of a daemon, as far as its shutdown deals with them. */
export abstract class OpenRequests {
	/** Number of requests in flight. */
	abstract readonly openRequests: number;

	/** Requests that the shutdown has ended so far. */
	abstract readonly stopCounts: StopCounts;

	/** Refuses requests that have not been sent and could not end before the exit. */
	abstract refuseUnsent(): void;

	/** Gives each request in flight its final answer. */
	abstract endAll(): void;
}

const pollIntervalMs = 50;
/** Shortest wait for requests that were in transit when the listener closed. */
const lateRequestWaitMs = 100;

/** Graceful shutdown: leaves the rotation, takes what can still end, ends the rest, and resolves once no request is in flight. */
export class Shutdown {
	readonly #clock: Clock;
	readonly #log: DecisionLog;
	readonly #times: StopTimes;
	readonly #requests: OpenRequests;
	#startedAt: number | undefined;
	#hasEndedRequests = false;

	constructor(clock: Clock, log: DecisionLog, times: StopTimes, requests: OpenRequests) {
		this.#clock = clock;
		this.#log = log;
		this.#times = times;
		this.#requests = requests;
	}

	/** True from the first stop signal on. */
	get hasStarted(): boolean {
		return this.#startedAt !== undefined;
	}

	/** Time at which requests in flight are ended, in milliseconds of the clock; infinite before the shutdown. */
	get endRequestsAt(): number {
		return this.#startedAt === undefined ? Number.POSITIVE_INFINITY : this.#startedAt + this.#times.endRequestsMs;
	}

	/** Time at which the process exits even with requests in flight, in milliseconds of the clock; infinite before the shutdown. */
	get exitAt(): number {
		return this.#startedAt === undefined ? Number.POSITIVE_INFINITY : this.#startedAt + this.#times.exitMs;
	}

	/** True if a request that arrived at the given time and has not been sent can end before the exit. */
	canEnd(request: Omit<RequestTimes, 'arrivedAfterMs'>, arrivedAt: number): boolean {
		const startedAt = this.#startedAt;
		return startedAt === undefined || (!this.#hasEndedRequests && canEndBeforeExit(this.#times, this.#clock.now() - startedAt, {...request, arrivedAfterMs: arrivedAt - startedAt}));
	}

	/** Waits for requests that were in transit when the listener closed, within the grace period; later ones are refused. */
	async waitForLateRequests(): Promise<void> {
		const closedAt = this.#clock.now();
		await this.#waitUntil(() => this.#requests.openRequests === 0 && this.#clock.now() - closedAt >= lateRequestWaitMs);
		this.#hasEndedRequests = true;
	}

	/** Logs how the requests ended; those that are still open are cut by the exit. */
	logEnd(): void {
		const passedMs = this.#clock.now() - (this.#startedAt ?? this.#clock.now());
		this.#log.write('process.stopped', {openRequests: this.#requests.openRequests, ...this.#requests.stopCounts, passedMs: Math.round(passedMs)});
	}

	/** Waits until the last refusals have been handed to the operating system, within the grace period. */
	async waitForRefusals(): Promise<void> {
		await this.#waitUntil(() => this.#requests.openRequests === 0);
	}

	/** Starts the shutdown and resolves when the listener may close; resolves at once if it has already started. */
	async run(): Promise<void> {
		if (this.#startedAt !== undefined) {
			return;
		}

		this.#startedAt = this.#clock.now();
		this.#log.write('process.stopping', {openRequests: this.#requests.openRequests, endRequestsMs: this.#times.endRequestsMs, exitMs: this.#times.exitMs});
		// Callers that keep their connections may go on sending, so that the listener must close while late requests can still be answered.
		await this.#waitUntil(passedMs => passedMs >= this.#times.endRequestsMs || (this.#requests.openRequests === 0 && passedMs >= this.#times.rotationDelayMs));
	}

	/** Waits until a condition is met, at most until the exit, and meanwhile ends requests that have no more time. */
	async #waitUntil(isMet: (passedMs: number) => boolean): Promise<void> {
		const startedAt = this.#startedAt ?? this.#clock.now();
		for (;;) {
			const passedMs = this.#clock.now() - startedAt;
			if (passedMs >= this.#times.endRequestsMs && !this.#hasEndedRequests) {
				this.#hasEndedRequests = true;
				this.#requests.endAll();
			}

			if (isMet(passedMs)) {
				// If the process stood still, requests may wait that have not been read.
				await readPendingEvents(3);
			}

			if (isMet(passedMs) || passedMs >= this.#times.exitMs) {
				return;
			}

			this.#requests.refuseUnsent();
			await delay(pollIntervalMs);
		}
	}
}
