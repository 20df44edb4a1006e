import type {Backpressure} from '../../ports/upstream-protocol.ts';
import type {PeerLimit} from '../peers/peer-message.ts';
import {UpstreamLimits, type UpstreamLimitsOptions} from './upstream-limits.ts';

/** Dependencies of the backpressure. */
export type UpstreamBackpressureOptions = UpstreamLimitsOptions & {
	/** Called with each answer of an upstream that says that it is leaving; the list of upstreams keeps that. */
	readonly onLeaving: (upstream: string) => void;
};

/** Longest pause that is kept to, in milliseconds. */
const maxPauseMs = 300_000;
/** Malformed values that are logged for each upstream; further ones change nothing either. */
const maxMalformedReports = 3;

/**
What upstreams ask for in their answers: to be left alone by this daemon for a while, to get no more than so many requests per
second from all daemons, or to get no new work because they leave.

Everything that sends to an upstream asks here first.
*/
export class UpstreamBackpressure {
	readonly #options: UpstreamBackpressureOptions;
	readonly #limits: UpstreamLimits;
	/** Ends of the pauses that upstreams asked of this daemon. */
	readonly #pausedUntil = new Map<string, number>();
	readonly #malformedReports = new Map<string, number>();

	constructor(options: UpstreamBackpressureOptions) {
		this.#options = options;
		this.#limits = new UpstreamLimits(options);
	}

	/** Number of upstreams that name a limit. */
	get limitCount(): number {
		return this.#limits.size;
	}

	/** Number of upstreams that this daemon leaves alone for a while. */
	get pauseCount(): number {
		const now = this.#options.clock.now();
		return [...this.#pausedUntil.values()].filter(until => now < until).length;
	}

	/** Applies what an upstream asked for in an answer to a request that was sent at `sentAt`. */
	hear(upstream: string, backpressure: Backpressure, sentAt: number): void {
		const {isLeaving, pauseMs, malformedHeaders} = backpressure;
		if (malformedHeaders.length > 0) {
			this.#reportMalformed(upstream, malformedHeaders);
		}

		this.#limits.hear(upstream, backpressure, sentAt);
		if (isLeaving) {
			this.#options.onLeaving(upstream);
		}

		if (pauseMs !== undefined) {
			this.#pause(upstream, pauseMs);
		}
	}

	/** Applies the limits that another daemon told of. */
	applyPeer(daemon: string, limits: readonly PeerLimit[]): void {
		this.#limits.applyPeer(daemon, limits);
	}

	/** Limits, and those that ended recently, for the other daemons. */
	announcements(): readonly PeerLimit[] {
		return this.#limits.announcements();
	}

	/** True while the upstream wants nothing from this daemon. */
	isPaused(upstream: string): boolean {
		return this.#pauseMs(upstream) > 0;
	}

	/** True if the upstream takes a request now. */
	hasRoom(upstream: string): boolean {
		return !this.isPaused(upstream) && this.#limits.hasRoom(upstream);
	}

	/** Asks for a send to an upstream, and counts it if the upstream takes it. */
	take(upstream: string): boolean {
		return !this.isPaused(upstream) && this.#limits.take(upstream);
	}

	/** Counts a send that cannot be put off, such as one that ends work at the upstream. */
	count(upstream: string): void {
		this.#limits.count(upstream);
	}

	/** Time until one of these upstreams takes a request behind `ahead` others of this daemon, in milliseconds. */
	predictWaitMs(upstreams: readonly string[], ahead: number): number {
		const available = upstreams.filter(upstream => !this.isPaused(upstream));
		return available.length > 0 || upstreams.length === 0
			? this.#limits.predictWaitMs(available, ahead)
			: Math.min(...upstreams.map(upstream => this.#pauseMs(upstream)));
	}

	/** Requests per second that an upstream takes from all daemons together; infinite without a limit. */
	requestsPerSecond(upstream: string): number {
		return this.#limits.requestsPerSecond(upstream);
	}

	/** Drops what an upstream asked for that has gone or restarted. */
	forget(upstream: string): void {
		this.#limits.forget(upstream);
		this.#pausedUntil.delete(upstream);
		this.#malformedReports.delete(upstream);
	}

	#pauseMs(upstream: string): number {
		return (this.#pausedUntil.get(upstream) ?? Number.NEGATIVE_INFINITY) - this.#options.clock.now();
	}

	#pause(upstream: string, pauseMs: number): void {
		const {clock, report} = this.#options;
		const until = clock.now() + Math.min(maxPauseMs, pauseMs);
		const isNew = !this.isPaused(upstream);
		// A request that was on its way may be answered with a shorter pause; the longest one holds.
		this.#pausedUntil.set(upstream, Math.max(until, this.#pausedUntil.get(upstream) ?? 0));
		if (isNew) {
			report('upstream.paused', {upstream, pauseMs: Math.min(maxPauseMs, pauseMs), source: 'answer'});
		}
	}

	#reportMalformed(upstream: string, headers: readonly string[]): void {
		const count = (this.#malformedReports.get(upstream) ?? 0) + 1;
		this.#malformedReports.set(upstream, count);
		if (count <= maxMalformedReports) {
			this.#options.report('upstream.malformedHeader', {upstream, headers, count});
		}
	}
}
