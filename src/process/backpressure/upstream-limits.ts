import type {Backpressure} from '../../ports/upstream-protocol.ts';
import type {Clock} from '../clock.ts';
import type {PeerLimit} from '../peers/peer-message.ts';
import type {Random} from '../random.ts';
import {SharedRateLimit} from './shared-rate-limit.ts';

/** Dependencies of the limits. */
export type UpstreamLimitsOptions = {
	readonly clock: Clock;
	readonly random: Random;
	/** True for an upstream that is in use; limits of others are not learned from daemons. */
	readonly isServing: (upstream: string) => boolean;
	/** Returns the time until the other daemons have heard of a send, in milliseconds. */
	readonly newsDelayMs: () => number;
	/** Called when the other daemons have to be told of a limit, its end or a send. */
	readonly onChanged: () => void;
	/** Writes a log line. */
	readonly report: (event: string, fields: Readonly<Record<string, unknown>>) => void;
};

/** Limit that an upstream named. */
type NamedLimit = {
	readonly shared: SharedRateLimit;
	/** Time of the latest answer that named it, to any daemon, in milliseconds. */
	heardAt: number;
};

/** Time for which the end of a limit is told and older news about it is ignored, in milliseconds. */
const endedMemoryMs = 10_000;
const millisecondsPerSecond = 1000;

/** Limits on the requests of all daemons together that upstreams name in their answers. */
export class UpstreamLimits {
	readonly #options: UpstreamLimitsOptions;
	readonly #limits = new Map<string, NamedLimit>();
	/** Times at which limits ended or their upstreams restarted. */
	readonly #endedAt = new Map<string, number>();

	constructor(options: UpstreamLimitsOptions) {
		this.#options = options;
	}

	/** Number of upstreams that name a limit. */
	get size(): number {
		return this.#limits.size;
	}

	/** Applies what an upstream asked for in an answer to a request that was sent at `sentAt`. */
	hear(upstream: string, {requestsPerSecond, isConclusive, malformedHeaders}: Backpressure, sentAt: number): void {
		const now = this.#options.clock.now();
		const known = this.#limits.get(upstream);
		if (requestsPerSecond !== undefined) {
			this.#learn(upstream, requestsPerSecond, now, {source: 'answer'});
		} else if (known !== undefined && isConclusive && malformedHeaders.length === 0 && sentAt >= known.heardAt) {
			// Answers may overtake each other: only one to a later request shows that the limit has ended.
			this.#end(upstream, now, {source: 'answer'});
		}
	}

	/** Applies what another daemon told; its answers count by their age. */
	applyPeer(daemon: string, limits: readonly PeerLimit[]): void {
		const {clock, isServing, newsDelayMs} = this.#options;
		const now = clock.now();
		for (const {upstream, requestsPerSecond, ageMs, use} of limits.filter(limit => isServing(limit.upstream))) {
			const heardAt = now - ageMs;
			const known = this.#limits.get(upstream);
			const latest = Math.max(known?.heardAt ?? Number.NEGATIVE_INFINITY, this.#endedAt.get(upstream) ?? Number.NEGATIVE_INFINITY);
			if (heardAt > latest && requestsPerSecond === undefined && known !== undefined) {
				this.#end(upstream, heardAt, {source: daemon, ageMs});
			} else if (heardAt > latest && requestsPerSecond !== undefined) {
				this.#learn(upstream, requestsPerSecond, heardAt, {source: daemon, ageMs});
			}

			this.#limits.get(upstream)?.shared.applyPeer(daemon, use, now, newsDelayMs());
		}
	}

	/** Limits, and those that ended recently, for the other daemons. */
	announcements(): readonly PeerLimit[] {
		const now = this.#options.clock.now();
		this.#dropOldEnds(now);
		const named = [...this.#limits].map(([upstream, {shared, heardAt}]) => ({
			upstream, requestsPerSecond: shared.requestsPerSecond, ageMs: now - heardAt, use: shared.use(now),
		}));
		const ended = [...this.#endedAt].map(([upstream, at]) => ({
			upstream, requestsPerSecond: undefined, ageMs: now - at, use: {sent: 0, askedPerSecond: 0},
		}));
		return [...named, ...ended];
	}

	/** True if the upstream takes a request now. */
	hasRoom(upstream: string): boolean {
		const {clock, newsDelayMs} = this.#options;
		return this.#limits.get(upstream)?.shared.hasRoom(clock.now(), newsDelayMs()) ?? true;
	}

	/** Asks for a send to an upstream, and counts it if its limit allows it. */
	take(upstream: string): boolean {
		const limit = this.#limits.get(upstream);
		if (limit === undefined) {
			return true;
		}

		const {clock, newsDelayMs, random, onChanged} = this.#options;
		const isTaken = limit.shared.take(clock.now(), newsDelayMs(), random.next());
		if (isTaken) {
			onChanged();
		}

		return isTaken;
	}

	/** Counts a send that cannot be put off, such as one that ends work at the upstream. */
	count(upstream: string): void {
		const limit = this.#limits.get(upstream);
		if (limit !== undefined) {
			const {clock, newsDelayMs, onChanged} = this.#options;
			limit.shared.count(clock.now(), newsDelayMs());
			onChanged();
		}
	}

	/** Time until one of these upstreams takes a request behind `ahead` others of this daemon, in milliseconds. */
	predictWaitMs(upstreams: readonly string[], ahead: number): number {
		if (upstreams.length === 0) {
			return 0;
		}

		const {clock, newsDelayMs} = this.#options;
		const now = clock.now();
		let soonestMs = Number.POSITIVE_INFINITY;
		let perSecond = 0;
		for (const upstream of upstreams) {
			const shared = this.#limits.get(upstream)?.shared;
			if (shared === undefined) {
				return 0;
			}

			soonestMs = Math.min(soonestMs, shared.predictWaitMs(now, newsDelayMs()));
			perSecond += shared.ownRequestsPerSecond(now);
		}

		return soonestMs + ((ahead * millisecondsPerSecond) / perSecond);
	}

	/** Requests per second that an upstream takes from all daemons together; infinite without a limit. */
	requestsPerSecond(upstream: string): number {
		return this.#limits.get(upstream)?.shared.requestsPerSecond ?? Number.POSITIVE_INFINITY;
	}

	/** Drops what an upstream asked for that has gone or restarted. */
	forget(upstream: string): void {
		const now = this.#options.clock.now();
		this.#limits.delete(upstream);
		this.#endedAt.set(upstream, now);
	}

	#dropOldEnds(now: number): void {
		for (const [upstream, at] of this.#endedAt) {
			if (now - at >= endedMemoryMs) {
				this.#endedAt.delete(upstream);
			}
		}
	}

	#learn(upstream: string, requestsPerSecond: number, heardAt: number, source: Readonly<Record<string, unknown>>): void {
		const {clock, newsDelayMs, onChanged, report} = this.#options;
		const now = clock.now();
		const known = this.#limits.get(upstream);
		const previous = known?.shared.requestsPerSecond;
		if (known === undefined) {
			this.#limits.set(upstream, {shared: new SharedRateLimit(requestsPerSecond, now), heardAt});
			this.#endedAt.delete(upstream);
		} else {
			known.shared.change(requestsPerSecond, now, newsDelayMs());
			known.heardAt = heardAt;
		}

		if (previous !== requestsPerSecond) {
			report('upstream.limit', {
				upstream, requestsPerSecond, previous, ...source,
			});
			onChanged();
		}
	}

	#end(upstream: string, endedAt: number, source: Readonly<Record<string, unknown>>): void {
		const {onChanged, report} = this.#options;
		const previous = this.#limits.get(upstream)?.shared.requestsPerSecond;
		this.#limits.delete(upstream);
		this.#endedAt.set(upstream, endedAt);
		report('upstream.limitEnded', {upstream, previous, ...source});
		onChanged();
	}
}
