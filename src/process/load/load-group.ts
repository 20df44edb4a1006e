import {Rate} from '../rate.ts';
import {ejectOutliers, median} from './outliers.ts';
import type {UpstreamLoad} from './upstream-load.ts';

/** Kind of work for which upstreams are kept apart. */
export type Preference = 'short' | 'long';

const refreshMs = 200;
const workTimeConstantMs = 20_000;
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
	readonly #shortWork: Rate;
	readonly #longWork: Rate;
	#local: Pool = {short: [], long: []};
	#remote: Pool = {short: [], long: []};
	#longCount = 0;
	#meanForeign = 0;
	#usualMsPerToken: number | undefined;
	#usualFirstTokenMs = firstUsualFirstTokenMs;
	#refreshedAt = -Infinity;

	constructor(loads: readonly UpstreamLoad[], availabilityZone: string, previous?: LoadGroup) {
		this.all = loads.toSorted((a, b) => a.upstream.id < b.upstream.id ? -1 : 1);
		this.#availabilityZone = availabilityZone;
		this.#shortWork = previous?.shortWork ?? new Rate(workTimeConstantMs);
		this.#longWork = previous?.longWork ?? new Rate(workTimeConstantMs);
		this.#usualFirstTokenMs = previous?.usualFirstTokenMs ?? firstUsualFirstTokenMs;
		this.#divide(0);
	}

	get shortWork(): Rate {
		return this.#shortWork;
	}

	get longWork(): Rate {
		return this.#longWork;
	}

	/** Mean of the outstanding tokens of other daemons. */
	get meanForeign(): number {
		return this.#meanForeign;
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

	/** Counts work, to divide the upstreams. */
	countWork(now: number, tokens: number, isLong: boolean): void {
		(isLong ? this.#longWork : this.#shortWork).add(now, tokens);
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
		let foreign = 0;
		for (const {foreignTokens} of this.all) {
			foreign += foreignTokens;
		}

		this.#meanForeign = foreign / this.all.length;
		this.#usualMsPerToken = median(this.all.flatMap(({msPerToken}) => msPerToken ?? []));
		const long = this.#longWork.perMs(now);
		const part = long / Math.max(long + this.#shortWork.perMs(now), 1e-9);
		const wanted = part < leastLongPart ? 0 : this.all.length * Math.min(mostLongPart, part * longScale);
		// Half an upstream of difference is needed for a change, so that the division does not flap.
		if (Math.abs(wanted - this.#longCount) > 0.75) {
			this.#divide(Math.round(wanted));
		}
	}

	#divide(longCount: number): void {
		this.#longCount = this.all.length < 2 ? 0 : longCount;
		const isLong = (_load: UpstreamLoad, index: number) => this.#longCount === 0 || index < this.#longCount;
		const isShort = (_load: UpstreamLoad, index: number) => index >= this.#longCount;
		const isLocal = (load: UpstreamLoad) => load.upstream.availabilityZone === this.#availabilityZone;
		const long = this.all.filter((load, index) => isLong(load, index));
		const short = this.all.filter((load, index) => isShort(load, index));
		this.#local = {short: short.filter(load => isLocal(load)), long: long.filter(load => isLocal(load))};
		this.#remote = {short: short.filter(load => !isLocal(load)), long: long.filter(load => !isLocal(load))};
	}
}
