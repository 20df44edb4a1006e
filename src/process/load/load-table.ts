import type {TypicalLatency} from '../admission/concurrency-limit.ts';
import type {Random} from '../random.ts';
import {LoadGroup, type WorkLength} from './load-group.ts';
import {countEjectable} from './outliers.ts';
import {PrefixResidency, type CacheEventBatch} from './prefix-residency.ts';
import {
	UpstreamLoad, type LoadReport, type RequestSize, type Upstream,
} from './upstream-load.ts';

/** Properties of a request that routing depends on. */
export type RoutedRequest = RequestSize & {
	/** Model or plain service whose upstreams can run the request. */
	readonly group: string;
	/** True for long work, which is kept apart from short live work. @default false */
	readonly isLong?: boolean;
	/** Identifies the prompt prefix that may be cached. */
	readonly prefix?: string;
	/** Prompt tokens that a cached prefix saves. @default 0 */
	readonly prefixTokens?: number;
	/** Upstreams that must not be chosen, such as those of earlier attempts. */
	readonly excluded?: ReadonlySet<string>;
};

/** Options of a load table. */
export type LoadTableOptions = {
	readonly availabilityZone: string;
	readonly random: Random;
	/** Upstreams drawn at random and compared for each decision. @default 2 */
	readonly choices?: number;
	/** Load in tokens above which upstreams of other zones are considered. @default 1000 */
	readonly spillTokens?: number;
	/** Load in tokens that choosing another zone must save. @default 100 */
	readonly spillPenaltyTokens?: number;
};

type Choice = {
	readonly load: UpstreamLoad;
	readonly score: number;
};

/** Number of upstreams up to which all are compared, because two draws from so few often hit the same loaded ones. */
const maxFullComparisonSize = 4;
/** Exponent of the relative latency in the score; recent latency reflects the batch size of an upstream, which delayed reports do not. */
const latencyExponent = 2;
/** Wait for a first token, as a multiple of the smoothed one, from which the upstream's score gets worse. */
const overdueRatio = 3;
/** Shortest wait for a first token from which the upstream's score gets worse. */
const minOverdueMs = 100;

/** Load of the upstreams as known to one daemon, and routing decisions based on it; `now` is in milliseconds. */
export class LoadTable {
	readonly #options: Required<LoadTableOptions>;
	readonly #loads = new Map<string, UpstreamLoad>();
	readonly #groups = new Map<string, LoadGroup>();
	readonly #residency = new PrefixResidency();

	constructor(options: LoadTableOptions) {
		this.#options = {
			choices: 2, spillTokens: 1000, spillPenaltyTokens: 100, ...options,
		};
	}

	/** Replaces the list of upstreams; new and returned ones begin with a slow start unless the table was empty. */
	setUpstreams(now: number, upstreams: readonly Upstream[]): void {
		const isFirst = this.#loads.size === 0;
		const ids = new Set(upstreams.map(({id}) => id));
		for (const id of this.#loads.keys()) {
			if (!ids.has(id)) {
				this.#loads.delete(id);
				this.#residency.forget(id);
			}
		}

		for (const upstream of upstreams) {
			if (this.#loads.get(upstream.id)?.upstream.group !== upstream.group) {
				this.#loads.set(upstream.id, new UpstreamLoad(upstream, isFirst ? -Infinity : now));
			}
		}

		const byGroup = Map.groupBy(this.#loads.values(), ({upstream}) => upstream.group);
		for (const name of this.#groups.keys()) {
			if (!byGroup.has(name)) {
				this.#groups.delete(name);
			}
		}

		for (const [name, loads] of byGroup) {
			this.#groups.set(name, new LoadGroup(loads, this.#options.availabilityZone, this.#groups.get(name)));
		}
	}

	/** Chooses an upstream; undefined if all are excluded or the group is unknown. */
	choose(now: number, request: RoutedRequest): string | undefined {
		const group = this.#groups.get(request.group);
		if (group === undefined) {
			return undefined;
		}

		group.refresh(now);
		const {isLong = false} = request;
		const best = this.#chooseWithSpill(now, group, request, isLong ? 'long' : 'short');
		return (best ?? this.#chooseAny(group, request))?.upstream.id;
	}

	/** Typical latencies of the upstreams of a model. */
	typicalLatency(group: string): TypicalLatency {
		const known = this.#groups.get(group);
		return {msPerToken: known?.medianMsPerToken, firstTokenMs: known?.smoothedFirstTokenMs ?? 0};
	}

	/** Records the start of an attempt at an upstream. */
	start(now: number, attempt: string, upstream: string, request: RoutedRequest): void {
		this.#loads.get(upstream)?.start(now, attempt, request);
		if (request.prefix !== undefined) {
			this.#residency.recordSend(request.prefix, upstream);
		}
	}

	/** Records the first token of an attempt, `waitedMs` after its start. */
	firstToken(now: number, attempt: string, upstream: string, waitedMs: number): void {
		const load = this.#loads.get(upstream);
		load?.firstToken(now, attempt);
		this.#groups.get(load?.upstream.group ?? '')?.observeFirstToken(waitedMs);
	}

	/** Records the end of an attempt. */
	finish(now: number, attempt: string, upstream: string): void {
		this.#loads.get(upstream)?.finish(now, attempt);
	}

	/** Records the number of tokens received by this daemon's streams from an upstream and the total duration of the streams. */
	observe(now: number, upstream: string, tokens: number, streamMs: number): void {
		this.#loads.get(upstream)?.observe(now, tokens, streamMs);
	}

	/** Updates the fraction of long work in the demand for a model at all daemons. */
	updateLongWorkFraction(now: number, group: string, fraction: number): void {
		this.#groups.get(group)?.updateLongWorkFraction(now, fraction);
	}

	/** Applies a load report, which may be delayed. */
	applyReport(upstream: string, report: LoadReport): void {
		this.#loads.get(upstream)?.applyReport(report);
	}

	/** Applies cache events, which may be delayed and have gaps. */
	applyCacheEvents(upstream: string, batch: CacheEventBatch): void {
		this.#residency.applyEvents(upstream, batch);
	}

	/** Sequence number of the last cache event applied for an upstream; reading continues after it. */
	lastCacheSequence(upstream: string): number {
		return this.#residency.lastSequence(upstream);
	}

	/** Ejects an upstream that answered with something that cannot be relayed, unless too many of its group are ejected already. */
	reject(now: number, upstream: string): void {
		const load = this.#loads.get(upstream);
		const group = this.#groups.get(load?.upstream.group ?? '');
		if (load !== undefined && group !== undefined && !load.isEjected(now) && countEjectable(now, group.all) > 0) {
			load.eject(now);
		}
	}

	/** True while an upstream is ejected from routing because of its latency or its answers. */
	isEjected(now: number, upstream: string): boolean {
		return this.#loads.get(upstream)?.isEjected(now) ?? false;
	}

	/** Chooses the best upstream of the own zone, or of another zone if the own one exceeds the spill limit and another is better. */
	#chooseWithSpill(now: number, group: LoadGroup, request: RoutedRequest, preferred: WorkLength): UpstreamLoad | undefined {
		const {spillTokens, spillPenaltyTokens} = this.#options;
		const local = this.#chooseBest(now, group, group.local(preferred), request);
		if (local !== undefined && local.score <= spillTokens) {
			return local.load;
		}

		const other = this.#chooseBest(now, group, group.remote(preferred), request);
		const spills = other !== undefined && (local === undefined || other.score + spillPenaltyTokens < local.score);
		return (spills ? other : local)?.load;
	}

	#chooseBest(now: number, group: LoadGroup, from: readonly UpstreamLoad[], request: RoutedRequest): Choice | undefined {
		let best: Choice | undefined;
		const consider = (load: UpstreamLoad | undefined, saved: number) => {
			if (load === undefined || request.excluded?.has(load.upstream.id) === true) {
				return;
			}

			const score = this.#score(now, group, load, request.promptTokens - saved);
			if (score < (best?.score ?? Infinity)) {
				best = {load, score};
			}
		};

		const {choices, random} = this.#options;
		const draws = from.length <= maxFullComparisonSize ? from.length : choices;
		const first = random.integer(from.length);
		const stride = draws === from.length ? 1 : 1 + random.integer(from.length - 1);
		for (let draw = 0; draw < draws; draw += 1) {
			consider(from[(first + (draw * stride)) % from.length], 0);
		}

		const likelyCached = request.prefix === undefined ? [] : this.#residency.upstreams(request.prefix);
		for (const id of likelyCached) {
			const load = this.#loads.get(id);
			if (load !== undefined && from.includes(load)) {
				consider(load, request.prefixTokens ?? 0);
				break;
			}
		}

		return best;
	}

	/** Score of an upstream, lower is better: outstanding tokens, scaled up by high latency and by slow start; infinite while ejected. */
	#score(now: number, group: LoadGroup, load: UpstreamLoad, tokens: number): number {
		const readiness = load.readiness(now);
		if (readiness === 0) {
			return Infinity;
		}

		const medianMsPerToken = group.medianMsPerToken ?? 1;
		const slowness = (load.msPerToken === undefined ? 1 : load.msPerToken / medianMsPerToken) ** latencyExponent;
		const overdueMs = Math.max(minOverdueMs, group.smoothedFirstTokenMs * overdueRatio);
		const overdue = Math.max(1, load.oldestFirstTokenWaitMs(now) / overdueMs);
		return (load.tokens(now, group.medianPeerTokens) + tokens) * slowness * overdue * overdue / readiness;
	}

	/** Fallback when no compared upstream can be chosen: draws any that is not excluded, even if ejected. */
	#chooseAny(group: LoadGroup, request: RoutedRequest): UpstreamLoad | undefined {
		const allowed = group.all.filter(({upstream}) => request.excluded?.has(upstream.id) !== true);
		return allowed[this.#options.random.integer(allowed.length)];
	}
}
