import {ejectOutliers, median} from './outliers.ts';
import type {UpstreamLoad} from './upstream-load.ts';

/** Kind of work for which upstreams are kept apart. */
export type Preference = 'short' | 'long';

const refreshMs = 200;
const longPartMs = 20_000;
const firstLongPart = 0.2;
/** Part of the work from which long work gets its own upstreams. */
const leastLongPart = 0.02;
/** Upstreams kept for long work, relative to its part of the work; below 1 because long work also uses waiting time. */
const longScale = 0.8;
const mostLongPart = 0.5;
const usualFirstTokenWeight = 0.02;
/** Longer waits count as this multiple of the usual one, so that one straggler does not change what is usual. */
const mostUsualRatio = 5;
const firstUsualFirstTokenMs = 200;

type Pool = Readonly<Record<Preference, readonly UpstreamLoad[]>>;

/** Upstreams of one model or service, divided by zone and between short and long work. */
export class LoadGroup {
	/** Upstreams in an order that is the same at every daemon. */
	readonly all: readonly UpstreamLoad[];
	readonly #availabilityZone: string;
	/** Smoothed part of long work in the demand at all daemons. */
	#longPart = 0;
	#longPartAt: number | undefined;
	#local: Pool = {short: [], long: []};
	#remote: Pool = {short: [], long: []};
	#longCount = 0;
	#usualForeign = 0;
	#usualMsPerToken: number | undefined;
	#usualFirstTokenMs = firstUsualFirstTokenMs;
	#refreshedAt = -Infinity;

	constructor(loads: readonly UpstreamLoad[], availabilityZone: string, previous?: LoadGroup) {
		this.all = loads.toSorted((a, b) => a.upstream.id < b.upstream.id ? -1 : 1);
		this.#availabilityZone = availabilityZone;
		this.#longPart = previous?.longPart ?? 0;
		this.#usualFirstTokenMs = previous?.usualFirstTokenMs ?? firstUsualFirstTokenMs;
		this.#divide(0);
	}

	/** Smoothed part of long work in the demand at all daemons. */
	get longPart(): number {
		return this.#longPart;
	}

	/** Median of the outstanding tokens of other daemons. */
	get usualForeign(): number {
		return this.#usualForeign;
	}

	/** Median time per generated token; undefined until one was seen. */
	get usualMsPerToken(): number | undefined {
		return this.#usualMsPerToken;
	}

	/** Smoothed time to the first token. */
	get usualFirstTokenMs(): number {
		return this.#usualFirstTokenMs;
	}

	/** Upstreams of the own zone for a kind of work. */
	local(preference: Preference): readonly UpstreamLoad[] {
		return this.#local[preference];
	}

	/** Upstreams of other zones for a kind of work. */
	remote(preference: Preference): readonly UpstreamLoad[] {
		return this.#remote[preference];
	}

	/** Takes the part of long work in the demand at all daemons, to divide the upstreams. */
	setLongPart(now: number, part: number): void {
		const weight = Math.min(1, (now - (this.#longPartAt ?? now)) / longPartMs);
		this.#longPart += (part - this.#longPart) * weight;
		this.#longPartAt = now;
	}

	/** Takes the wait for a first token. */
	observeFirstToken(waitedMs: number): void {
		const usual = this.#usualFirstTokenMs;
		this.#usualFirstTokenMs += (Math.min(waitedMs, usual * mostUsualRatio) - usual) * usualFirstTokenWeight;
	}

	/** Computes what holds for all upstreams, at most every 200 ms, so that a decision does not grow with their number. */
	refresh(now: number): void {
		if (now - this.#refreshedAt < refreshMs) {
			return;
		}

		this.#refreshedAt = now;
		ejectOutliers(now, this.all);
		// The median is not moved by the few upstreams that process long prompts.
		this.#usualForeign = median(this.all.map(({foreignTokens}) => foreignTokens)) ?? 0;
		this.#usualMsPerToken = median(this.all.flatMap(({msPerToken}) => msPerToken ?? []));
		const wanted = this.#longPart < leastLongPart ? 0 : Math.max(1, this.all.length * Math.min(mostLongPart, this.#longPart * longScale));
		// A difference of 0.75 upstreams is needed for a change, so that the division does not flap.
		if (Math.abs(wanted - this.#longCount) > 0.75) {
			this.#divide(Math.round(wanted));
		}
	}

	#divide(longCount: number): void {
		this.#longCount = this.all.length < 2 ? 0 : longCount;
		// Long work goes to the same upstreams at every daemon even before its part of the demand is known.
		const longUpstreams = Math.max(this.#longCount, Math.ceil(this.all.length * firstLongPart));
		const isLong = (_load: UpstreamLoad, index: number) => index < longUpstreams;
		const isShort = (_load: UpstreamLoad, index: number) => index >= this.#longCount;
		const isLocal = (load: UpstreamLoad) => load.upstream.availabilityZone === this.#availabilityZone;
		const long = this.all.filter((load, index) => isLong(load, index));
		const short = this.all.filter((load, index) => isShort(load, index));
		this.#local = {short: short.filter(load => isLocal(load)), long: long.filter(load => isLocal(load))};
		this.#remote = {short: short.filter(load => !isLocal(load)), long: long.filter(load => !isLocal(load))};
	}
}
