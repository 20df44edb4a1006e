import type {PromptPart} from '../../request/delivery/route-request.ts';
import type {PlacementDemand} from '../../request/delivery/upstream-scheduler.ts';
import type {EngineProfile, Service} from '../../version/routes/route-configuration.ts';
import type {UpstreamBackpressure} from '../backpressure/upstream-backpressure.ts';
import type {Clock} from '../clock.ts';
import {sampleCandidates} from '../fleet/candidate-sample.ts';
import {rankAtUpstream} from '../fleet/prefill-queue.ts';
import {
	chooseWhole, defaultWholeModel, type WholeCandidate, type WholeChoice,
} from '../fleet/prompt-path.ts';
import {countTokens} from '../fleet/prompt-cache.ts';
import type {UpstreamState} from '../fleet/upstream-state.ts';
import type {UpstreamStates} from '../fleet/upstream-states.ts';
import {sumTokensUpTo, type PeerLoadTracker} from '../peers/peer-load-tracker.ts';
import type {Random} from '../random.ts';
import {assessGapRisk, predictGapMs} from './event-gap.ts';
import {promptParts, type PrefillCandidates} from './prefill-candidates.ts';
import type {ServiceSpeeds} from './service-speeds.ts';

/** Dependencies of the whole scheduler. */
export type WholeSchedulerOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly states: UpstreamStates;
	readonly peerLoads: PeerLoadTracker;
	readonly backpressure: UpstreamBackpressure;
	readonly candidates: PrefillCandidates;
	readonly speeds: ServiceSpeeds;
	readonly availabilityZone: string;
	/** Services of the active configuration, by name. */
	readonly services: () => ReadonlyMap<string, Service>;
	/** Predicts the time until the prefill of a prompt that would be placed apart is complete, behind all queues; in milliseconds. */
	readonly predictQueuedMs: (demand: PlacementDemand, parts: readonly PromptPart[]) => number;
};

/** Chooses the decode engine for a whole request, if its first event is expected there sooner than with a separate prefill. */
export class WholeScheduler {
	readonly #options: WholeSchedulerOptions;

	constructor(options: WholeSchedulerOptions) {
		this.#options = options;
	}

	/** Chooses the decode engine for a whole request; undefined if a separate prefill is expected to answer sooner. */
	choose(demand: PlacementDemand): WholeChoice | undefined {
		const {prompt} = demand.request;
		const {clock, speeds, services} = this.#options;
		const engine = services().get(demand.service)?.engine;
		if (engine === undefined || prompt === undefined) {
			return undefined;
		}

		const parts = promptParts(demand);
		const {prefill, whole, eventMs} = speeds.of(demand.service);
		const candidates = this.#createCandidates(demand, parts);
		const apartMs = this.#predictApart(demand, parts, engine);
		const remainingMs = demand.arrivedAt + demand.route.targetLatencyMs - clock.now();
		const model = {...defaultWholeModel, prefillSpeed: whole.tokensPerMs / prefill.tokensPerMs, firstStepMs: whole.fixedMs};
		const usual = chooseWhole(candidates, prefill, model);
		if (usual !== undefined && usual.costMs <= apartMs) {
			return usual;
		}

		if (apartMs <= remainingMs) {
			return undefined;
		}

		// A decode engine that would be on time is worth a longer prefill between the tokens of its running requests.
		const {targetGapMs = Number.POSITIVE_INFINITY} = demand.route;
		const undisturbed = candidates.filter(({runs, slowness}) => runs < 1 || predictGapMs({eventMs, prefillMs: Number.POSITIVE_INFINITY, slowness}) <= targetGapMs);
		const longer = chooseWhole(undisturbed, prefill, {...model, maxPrefillMs: remainingMs, maxBacklogMs: remainingMs});
		return longer !== undefined && longer.predictedMs <= remainingMs && longer.costMs <= apartMs ? longer : undefined;
	}

	#createCandidates(demand: PlacementDemand, parts: readonly PromptPart[]): ReadonlyArray<WholeCandidate & {readonly slowness: number}> {
		const {clock, states, availabilityZone, peerLoads, backpressure, speeds} = this.#options;
		const {eventMs, whole} = speeds.of(demand.service);
		const now = clock.now();
		const totalTokens = countTokens(parts);
		const open = states.usable(demand.service, 'decode', demand.triedUpstreams).filter(({upstream}) => backpressure.hasRoom(upstream.id));
		return this.#sampleWithHolder(open, parts, demand.service).map(state => {
			const {upstream} = state;
			const missingTokens = state.cache.missingTokens(parts);
			const backlogTokens = sumTokensUpTo(state.tokensByPriority, Number.POSITIVE_INFINITY) + peerLoads.tokensUpTo(upstream.id, Number.POSITIVE_INFINITY, now);
			const slowness = state.slowness(now) * state.stepRatio;
			return {
				id: upstream.id,
				slowness,
				gapRisk: assessGapRisk({eventMs, prefillMs: backlogTokens / whole.tokensPerMs, slowness}, demand.route.targetGapMs),
				runs: state.runs + states.peerRuns(state, now),
				slots: upstream.slots,
				backlogTokens,
				missingTokens,
				cachedTokens: totalTokens - missingTokens,
				isLocal: upstream.availabilityZone === availabilityZone,
				latencyRatio: state.latencyRatio * state.slowness(now),
				failureFraction: state.failureFraction,
			};
		});
	}

	/** Draws a sample of decode engines, with the one that has the longest prefix of the prompt cached. */
	#sampleWithHolder(open: readonly UpstreamState[], parts: readonly PromptPart[], service: string): readonly UpstreamState[] {
		const {availabilityZone, random, states} = this.#options;
		const sample = sampleCandidates(open, availabilityZone, random);
		const holder = states.longestHolder(service, parts, 'decode');
		return holder !== undefined && open.includes(holder) && !sample.includes(holder) ? [...sample, holder] : sample;
	}

	/** Predicts the time until the first event if the prompt is prefilled apart, in milliseconds. */
	#predictApart(demand: PlacementDemand, parts: readonly PromptPart[], engine: EngineProfile): number {
		const {states, availabilityZone, random, candidates, speeds, predictQueuedMs} = this.#options;
		const {service, triedUpstreams} = demand;
		if (states.usable(service, 'decode', triedUpstreams).length === 0) {
			return Number.POSITIVE_INFINITY;
		}

		const sample = sampleCandidates(states.usable(service, 'prefill', triedUpstreams), availabilityZone, random);
		const choice = candidates.choose(sample, {
			...candidates.findPrefixMatch(parts, service), service, parts, engine, priority: rankAtUpstream(demand.route.priority, false),
		});
		return choice === undefined
			? Number.POSITIVE_INFINITY
			: Math.max(choice.predictedMs, predictQueuedMs(demand, parts)) + speeds.of(service).firstEventDelayMs;
	}
}
