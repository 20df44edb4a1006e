import {ejectOutliers, median} from './outliers.ts';
import type {UpstreamLoad} from './upstream-load.ts';

/** Kind of work for which upstreams are kept apart. */
export type WorkLength = 'short' | 'long';

const refreshIntervalMs = 200;
const longWorkFractionTimeConstantMs = 20_000;
const minLongPoolFraction = 0.2;
/** Part of the work from which long work gets its own upstreams. */
const minLongWorkFraction = 0.02;
/** Upstreams kept for long work, relative to its part of the work; below 1 because long work also uses waiting time. */
const longWorkFractionFactor = 0.8;
const maxReservedLongFraction = 0.5;
const firstTokenSmoothingFactor = 0.02;
/** Longer waits count as this multiple of the usual one, so that one straggler does not change what is usual. */
const maxFirstTokenRatio = 5;
const initialFirstTokenMs = 200;

type UpstreamsByWorkLength = Readonly<Record<WorkLength, readonly UpstreamLoad[]>>;

/** Upstreams of one model or service, divided by zone and between short and long work. */
export class LoadGroup {
	/** Upstreams in an order that is the same at every daemon. */
	readonly all: readonly UpstreamLoad[];
	readonly #availabilityZone: string;
	/** Smoothed part of long work in the demand at all daemons. */
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

	/** Smoothed part of long work in the demand at all daemons. */
	get longWorkFraction(): number {
		return this.#longWorkFraction;
	}

	/** Median of the outstanding tokens of other daemons. */
	get medianPeerTokens(): number {
		return this.#medianPeerTokens;
	}

	/** Median time per generated token; undefined until one was seen. */
	get medianMsPerToken(): number | undefined {
		return this.#medianMsPerToken;
	}

	/** Smoothed time to the first token. */
	get smoothedFirstTokenMs(): number {
		return this.#smoothedFirstTokenMs;
	}

	/** Upstreams of the own zone for a kind of work. */
	local(preference: WorkLength): readonly UpstreamLoad[] {
		return this.#local[preference];
	}

	/** Upstreams of other zones for a kind of work. */
	remote(preference: WorkLength): readonly UpstreamLoad[] {
		return this.#remote[preference];
	}

	/** Takes the part of long work in the demand at all daemons, to divide the upstreams. */
	updateLongWorkFraction(now: number, part: number): void {
		const weight = Math.min(1, (now - (this.#longWorkFractionUpdatedAt ?? now)) / longWorkFractionTimeConstantMs);
		this.#longWorkFraction += (part - this.#longWorkFraction) * weight;
		this.#longWorkFractionUpdatedAt = now;
	}

	/** Takes the wait for a first token. */
	observeFirstToken(waitedMs: number): void {
		const usual = this.#smoothedFirstTokenMs;
		this.#smoothedFirstTokenMs += (Math.min(waitedMs, usual * maxFirstTokenRatio) - usual) * firstTokenSmoothingFactor;
	}

	/** Computes what holds for all upstreams, at most every 200 ms, so that a decision does not grow with their number. */
	refresh(now: number): void {
		if (now - this.#refreshedAt < refreshIntervalMs) {
			return;
		}

		this.#refreshedAt = now;
		ejectOutliers(now, this.all);
		// The median is not moved by the few upstreams that process long prompts.
		this.#medianPeerTokens = median(this.all.map(({peerTokens: foreignTokens}) => foreignTokens)) ?? 0;
		this.#medianMsPerToken = median(this.all.flatMap(({msPerToken}) => msPerToken ?? []));
		const wanted = this.#longWorkFraction < minLongWorkFraction ? 0 : Math.max(1, this.all.length * Math.min(maxReservedLongFraction, this.#longWorkFraction * longWorkFractionFactor));
		// A difference of 0.75 upstreams is needed for a change, so that the division does not flap.
		if (Math.abs(wanted - this.#longCount) > 0.75) {
			this.#partition(Math.round(wanted));
		}
	}

	#partition(longCount: number): void {
		this.#longCount = this.all.length < 2 ? 0 : longCount;
		// Long work goes to the same upstreams at every daemon even before its part of the demand is known.
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
