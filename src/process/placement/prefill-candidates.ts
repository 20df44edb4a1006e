import type {Upstream} from '../../ports/upstream.ts';
import type {PromptPart} from '../../request/delivery/route-request.ts';
import type {PlacementDemand} from '../../request/delivery/upstream-scheduler.ts';
import type {EngineProfile} from '../../version/routes/route-configuration.ts';
import type {Clock} from '../clock.ts';
import {RankLatencyRatios} from '../fleet/latency-ratio.ts';
import {choosePrefill, type PrefillCandidate, type PrefillChoice} from '../fleet/placement-score.ts';
import {countTokens} from '../fleet/prompt-cache.ts';
import type {UpstreamState} from '../fleet/upstream-state.ts';
import type {UpstreamStates} from '../fleet/upstream-states.ts';
import {sumTokensUpTo, type PeerLoadTracker} from '../peers/peer-load-tracker.ts';
import type {ServiceSpeeds} from './service-speeds.ts';

/** Dependencies of the candidates for a prefill. */
export type PrefillCandidatesOptions = {
	readonly clock: Clock;
	readonly states: UpstreamStates;
	readonly peerLoads: PeerLoadTracker;
	readonly speeds: ServiceSpeeds;
	readonly availabilityZone: string;
	/** Returns the time in which the other daemons hear of a send, in milliseconds. */
	readonly newsDelayMs: () => number;
};

/** Longest prefix of a prompt that an engine has cached. */
export type PrefixMatch = {
	readonly totalTokens: number;
	/** Upstream with the longest cached prefix. */
	readonly bestUpstream: UpstreamState | undefined;
	/** Tokens that this upstream would have to prefill. */
	readonly bestMissingTokens: number;
};

/** Properties of a prompt that the prediction for an upstream depends on. */
export type PrefillInput = PrefixMatch & {
	readonly service: string;
	readonly parts: readonly PromptPart[];
	readonly engine: EngineProfile;
	/** Rank among the work of an engine. */
	readonly priority: number;
};

/** Fewer cached tokens than this are prefilled again rather than fetched from another engine. */
const minFetchTokens = 1024;
/** Time to set up a KV cache transfer between engines, in milliseconds. */
const transferSetupMs = 6;
const bitsPerByte = 8;
const megabit = 1_000_000;
/** Fraction of an upstream's less urgent work that is expected to run before a more urgent prompt, because it has started. */
const startedWorkFraction = 0.3;
/** Upper bound on that work: less urgent work delays a more urgent prompt by a few steps at most. */
const maxStartedWorkTokens = 4096;

/** What each engine would have to do for a prompt, and what it still has to do before. */
export class PrefillCandidates {
	readonly rankLatencyRatios = new RankLatencyRatios();
	readonly #options: PrefillCandidatesOptions;

	constructor(options: PrefillCandidatesOptions) {
		this.#options = options;
	}

	/** Finds the upstream with the longest cached prefix of a prompt. */
	findPrefixMatch(parts: readonly PromptPart[], service: string): PrefixMatch {
		const totalTokens = countTokens(parts);
		const bestUpstream = this.#options.states.longestHolder(service, parts);
		return {totalTokens, bestUpstream, bestMissingTokens: bestUpstream?.cache.missingTokens(parts) ?? totalTokens};
	}

	/** Chooses the engine that is predicted to complete the prefill first. */
	choose(states: readonly UpstreamState[], input: PrefillInput): PrefillChoice | undefined {
		return choosePrefill(states.map(state => this.#createCandidate(state, input)), this.#options.speeds.of(input.service).prefill);
	}

	/** Weighted tokens that run before a prompt of a priority at an upstream, with a fraction of less urgent work that has started. */
	sumBacklog(state: UpstreamState, priority: number, now: number): number {
		const {peerLoads} = this.#options;
		const sum = (limit: number) => sumTokensUpTo(state.tokensByPriority, limit) + peerLoads.tokensUpTo(state.upstream.id, limit, now);
		const urgent = sum(priority);
		return urgent + Math.min(maxStartedWorkTokens, (sum(Number.POSITIVE_INFINITY) - urgent) * startedWorkFraction);
	}

	#createCandidate(state: UpstreamState, {parts, totalTokens, bestUpstream, bestMissingTokens, engine, priority}: PrefillInput): PrefillCandidate {
		const now = this.#options.clock.now();
		const {upstream} = state;
		const ownMissing = state.cache.missingTokens(parts);
		const isFetched = bestUpstream !== undefined && bestUpstream !== state && ownMissing - bestMissingTokens >= minFetchTokens;
		const missingTokens = isFetched ? bestMissingTokens : ownMissing;
		return {
			id: upstream.id,
			backlogTokens: this.sumBacklog(state, priority, now),
			unreportedTokens: state.arrivals.unreportedTokens(this.#options.newsDelayMs(), now),
			missingTokens,
			cachedTokens: totalTokens - missingTokens,
			fetchMs: isFetched ? transferMs(ownMissing - bestMissingTokens, upstream, bestUpstream.upstream, engine) : 0,
			isLocal: upstream.availabilityZone === this.#options.availabilityZone,
			latencyRatio: state.latencyRatio * state.slowness(now),
			rankLatencyRatio: this.rankLatencyRatios.of(priority),
			failureFraction: state.failureFraction,
		};
	}
}

function transferMs(tokens: number, target: Upstream, source: Upstream, {bytesPerToken, linkMbps}: EngineProfile): number {
	const ms = (tokens * bytesPerToken * bitsPerByte) / (Math.max(1, linkMbps) * megabit / 1000);
	return transferSetupMs + (ms * (target.availabilityZone === source.availabilityZone ? 1 : 2));
}

/** Parts of the demand's prompt; a prompt without parts is one part of its own. */
export function promptParts({request: {id, prompt}}: PlacementDemand): readonly PromptPart[] {
	return prompt === undefined || prompt.parts.length === 0 ? [{id, tokens: prompt?.tokens ?? 0}] : prompt.parts;
}
