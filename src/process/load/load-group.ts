import {ejectOutliers, median} from './outliers.ts';
import type {UpstreamLoad} from './upstream-load.ts';

/** Length of work; long work gets its own upstreams. */
export type WorkLength = 'short' | 'long';

const refreshIntervalMs = 200;
/** Time constant of the smoothed fraction of long work. */
const longWorkFractionTimeConstantMs = 20_000;
/** Smallest fraction of the upstreams that long work uses; those of them that are not reserved for it also get short work. */
const minLongPoolFraction = 0.2;
/** Fraction of the work from which upstreams are reserved for long work. */
const minLongWorkFraction = 0.02;
/** Ratio of the fraction of upstreams reserved for long work to its fraction of the work; below 1 because long work also uses waiting time. */
const longWorkFractionFactor = 0.8;
const maxReservedLongFraction = 0.5;
/** Weight of a new observation in the smoothed time to the first token. */
const firstTokenSmoothingFactor = 0.02;
/** Waits are capped at this multiple of the smoothed one, so that a single straggler does not shift it. */
const maxFirstTokenRatio = 5;
const initialFirstTokenMs = 200;

type UpstreamsByWorkLength = Readonly<Record<WorkLength, readonly UpstreamLoad[]>>;

/** Upstreams of one model or service, partitioned by availability zone and between short and long work. */
export class LoadGroup {
	/** Upstreams in an order that is the same at every daemon. */
	readonly all: readonly UpstreamLoad[];
	readonly #availabilityZone: string;
	/** Smoothed fraction of long work in the demand at all daemons. */
	#longWorkFraction = 0;
	#longWorkFractionUpdatedAt: number | undefined;
	#local: UpstreamsByWorkLength = {short: [], long: []};
	#remote: UpstreamsByWorkLength = {short: [], long: []};
	#longCount = 0;
	#medianPeerTokens = 0;
	#medianMsPerToken: number | undefined;
	#smoothedFirstTokenMs = initialFirstTokenMs;
	#refreshedAt = -Infinity;

	constructor(loads: readonly UpstreamLoad[], availabilityZone: string, previous?: LoadGroup) {
		this.all = loads.toSorted((a, b) => a.upstream.id < b.upstream.id ? -1 : 1);
		this.#availabilityZone = availabilityZone;
		this.#longWorkFraction = previous?.longWorkFraction ?? 0;
		this.#smoothedFirstTokenMs = previous?.smoothedFirstTokenMs ?? initialFirstTokenMs;
		this.#partition(0);
	}

	/** Smoothed fraction of long work in the demand at all daemons. */
	get longWorkFraction(): number {
		return this.#longWorkFraction;
	}

	/** Median over the upstreams of the outstanding tokens of other daemons. */
	get medianPeerTokens(): number {
		return this.#medianPeerTokens;
	}

	/** Median time per generated token in milliseconds; undefined until the first observation. */
	get medianMsPerToken(): number | undefined {
		return this.#medianMsPerToken;
	}

	/** Smoothed time to the first token, in milliseconds. */
	get smoothedFirstTokenMs(): number {
		return this.#smoothedFirstTokenMs;
	}

	/** Upstreams of the daemon's own availability zone for work of a length. */
	local(preference: WorkLength): readonly UpstreamLoad[] {
		return this.#local[preference];
	}

	/** Upstreams of the other availability zones for work of a length. */
	remote(preference: WorkLength): readonly UpstreamLoad[] {
		return this.#remote[preference];
	}

	/** Updates the fraction of long work in the demand at all daemons, by which the upstreams are partitioned. */
	updateLongWorkFraction(now: number, fraction: number): void {
		const weight = Math.min(1, (now - (this.#longWorkFractionUpdatedAt ?? now)) / longWorkFractionTimeConstantMs);
		this.#longWorkFraction += (fraction - this.#longWorkFraction) * weight;
		this.#longWorkFractionUpdatedAt = now;
	}

	/** Records a time to the first token. */
	observeFirstToken(waitedMs: number): void {
		const smoothed = this.#smoothedFirstTokenMs;
		this.#smoothedFirstTokenMs += (Math.min(waitedMs, smoothed * maxFirstTokenRatio) - smoothed) * firstTokenSmoothingFactor;
	}

	/** Recomputes the values that depend on all upstreams, at most every 200 ms, so that the cost of a decision does not grow with their number. */
	refresh(now: number): void {
		if (now - this.#refreshedAt < refreshIntervalMs) {
			return;
		}

		this.#refreshedAt = now;
		ejectOutliers(now, this.all);
		// The median is insensitive to the few upstreams that process long prompts.
		this.#medianPeerTokens = median(this.all.map(({peerTokens}) => peerTokens)) ?? 0;
		this.#medianMsPerToken = median(this.all.flatMap(({msPerToken}) => msPerToken ?? []));
		const wantedCount = this.#longWorkFraction < minLongWorkFraction ? 0 : Math.max(1, this.all.length * Math.min(maxReservedLongFraction, this.#longWorkFraction * longWorkFractionFactor));
		// Hysteresis: the partition changes only for a difference of more than 0.75 upstreams, so that it does not flap.
		if (Math.abs(wantedCount - this.#longCount) > 0.75) {
			this.#partition(Math.round(wantedCount));
		}
	}

	#partition(longCount: number): void {
		this.#longCount = this.all.length < 2 ? 0 : longCount;
		// All daemons send long work to the same upstreams even before its fraction of the demand is known.
		const longUpstreams = Math.max(this.#longCount, Math.ceil(this.all.length * minLongPoolFraction));
		const isLong = (_load: UpstreamLoad, index: number) => index < longUpstreams;
		const isShort = (_load: UpstreamLoad, index: number) => index >= this.#longCount;
		const isLocal = (load: UpstreamLoad) => load.upstream.availabilityZone === this.#availabilityZone;
		const long = this.all.filter((load, index) => isLong(load, index));
		const short = this.all.filter((load, index) => isShort(load, index));
		this.#local = {short: short.filter(load => isLocal(load)), long: long.filter(load => isLocal(load))};
		this.#remote = {short: short.filter(load => !isLocal(load)), long: long.filter(load => !isLocal(load))};
	}
}
