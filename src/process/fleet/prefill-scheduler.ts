import type {Upstream} from '../../ports/upstream.ts';
import {callerPatienceMs} from '../../request/delivery/caller-patience.ts';
import type {PlacementDemand, PlacementResult} from '../../request/delivery/upstream-scheduler.ts';
import type {PromptPart} from '../../request/delivery/route-request.ts';
import type {EngineProfile, Service} from '../../version/routes/route-configuration.ts';
import type {AccountUsage} from '../accounts/account-usage.ts';
import {promptWork} from '../accounts/request-work.ts';
import {SharedPrompts, type ServiceLoad, type SharedPrompt} from '../accounts/shared-prompts.ts';
import type {UpstreamBackpressure} from '../backpressure/upstream-backpressure.ts';
import type {Clock} from '../clock.ts';
import {sumTokensUpTo, type PeerLoadTracker} from '../peers/peer-load-tracker.ts';
import type {PeerPrefill} from '../peers/peer-message.ts';
import type {Random} from '../random.ts';
import type {DecisionLog} from './decision-log.ts';
import {sampleCandidates} from './candidate-sample.ts';
import {RankLatencyRatios} from './latency-ratio.ts';
import {
	choosePrefill, prefillRate, weighTokens, type PrefillCandidate, type PrefillChoice,
} from './placement-score.ts';
import type {Placements} from './placements.ts';
import {chooseWhole, type WholeChoice} from './prompt-path.ts';
import {countTokens} from './prompt-cache.ts';
import {
	isLatePrompt, decidePlacement, predictCompletion, rankAtUpstream,
} from './prefill-queue.ts';
import type {RunQueue} from './run-queue.ts';
import type {UpstreamState} from './upstream-state.ts';
import type {UpstreamStates} from './upstream-states.ts';

/** Dependencies of the prefill scheduler. */
export type PrefillSchedulerOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly log: DecisionLog;
	readonly states: UpstreamStates;
	readonly placements: Placements;
	readonly runQueue: RunQueue;
	readonly backpressure: UpstreamBackpressure;
	readonly peerLoads: PeerLoadTracker;
	readonly accountUsage: AccountUsage;
	/** Announces to the other daemons that an engine starts the prefill of a prompt. */
	readonly announcePrefill: (prefill: PeerPrefill) => void;
	readonly availabilityZone: string;
	/** Services of the active configuration, by name. */
	readonly services: () => ReadonlyMap<string, Service>;
};

/** A queued prompt with the data needed to place it. */
type QueuedPrompt = SharedPrompt & {
	readonly demand: PlacementDemand;
	readonly engine: EngineProfile;
	readonly parts: readonly PromptPart[];
	readonly settle: (result: PlacementResult) => void;
};

/** Longest prefix of a prompt that an engine has cached. */
type PrefixMatch = {
	readonly totalTokens: number;
	/** Upstream with the longest cached prefix. */
	readonly bestUpstream: UpstreamState | undefined;
	/** Tokens that this upstream would have to prefill. */
	readonly bestMissingTokens: number;
};

/** Properties of a prompt that the prediction for an upstream depends on. */
type PrefillInput = PrefixMatch & {
	readonly parts: readonly PromptPart[];
	readonly engine: EngineProfile;
	readonly priority: number;
};

/** Fewer cached tokens than this are prefilled again rather than fetched from another engine. */
const minFetchTokens = 1024;
/** Time to set up a KV cache transfer between engines, in milliseconds. */
const transferSetupMs = 6;
const bitsPerByte = 8;
const megabit = 1_000_000;
const millisecondsPerSecond = 1000;
/** A request is refused if less than this remains of the caller's waiting time after the prefill, in milliseconds. */
const minRemainingMs = 60;
/** Time from the end of the prefill to the first event: the KV cache transfer and the first decode step, in milliseconds. */
const firstEventDelayMs = 60;
/** Prompts that may fail to be placed before a pass over the queue ends; a prompt behind a blocked one may still fit elsewhere. */
const maxBlockedPrompts = 6;
const placementIntervalMs = 10;
/** Fraction of an upstream's less urgent work that is expected to run before a more urgent prompt, because it has started. */
const startedWorkFraction = 0.3;
/** Upper bound on that work: less urgent work delays a more urgent prompt by a few steps at most. */
const maxStartedWorkTokens = 4096;

/** Chooses the engine for each prefill, and queues prompts at the daemon while no engine would start them soon. */
export class PrefillScheduler {
	readonly #options: PrefillSchedulerOptions;
	readonly #queue = new Set<QueuedPrompt>();
	readonly #rankLatencyRatios = new RankLatencyRatios();
	readonly #shared: SharedPrompts;
	#isPlacementScheduled = false;

	constructor(options: PrefillSchedulerOptions) {
		this.#options = options;
		this.#shared = new SharedPrompts(options.accountUsage, options.peerLoads);
	}

	/** Chooses the decode engine for a whole request; undefined if a separate prefill is expected to answer sooner. */
	chooseWhole(demand: PlacementDemand): WholeChoice | undefined {
		const {prompt} = demand.request;
		const {clock, states, availabilityZone, random, peerLoads} = this.#options;
		const engine = this.#options.services().get(demand.service)?.engine;
		if (engine === undefined || prompt === undefined) {
			return undefined;
		}

		const now = clock.now();
		const parts = promptParts(demand);
		const totalTokens = countTokens(parts);
		const open = this.#withRoom(states.usable(demand.service, 'decode', demand.triedUpstreams));
		const candidates = sampleCandidates(open, availabilityZone, random).map(state => {
			const missingTokens = state.cache.missingTokens(parts);
			return {
				id: state.upstream.id,
				runs: state.runs + states.peerRuns(state, now),
				slots: state.upstream.slots,
				backlogTokens: sumTokensUpTo(state.tokensByPriority, Number.POSITIVE_INFINITY) + peerLoads.tokensUpTo(state.upstream.id, Number.POSITIVE_INFINITY, now),
				missingTokens,
				cachedTokens: totalTokens - missingTokens,
				isLocal: state.upstream.availabilityZone === availabilityZone,
				latencyRatio: state.latencyRatio * state.slowness(now),
				failureFraction: state.failureFraction,
			};
		});
		const choice = chooseWhole(candidates, prefillRate);
		return choice !== undefined && choice.costMs <= this.#predictApart(demand, parts, engine) ? choice : undefined;
	}

	/** Places a prefill; waits in the queue until an upstream can start it soon. */
	async place(demand: PlacementDemand): Promise<PlacementResult> {
		if (demand.signal.aborted) {
			return {reason: 'cancelled', retryAfterMs: 0};
		}

		const engine = this.#options.services().get(demand.service)?.engine;
		const {prompt} = demand.request;
		if (engine === undefined || prompt === undefined || this.#prefillUpstreams(demand).length === 0) {
			return this.#options.placements.refuse(demand, 'noUpstream');
		}

		// Without a decode engine to continue with the prompt, the prefill would be wasted.
		if (this.#options.states.usable(demand.service, 'decode', demand.triedUpstreams).length === 0) {
			return this.#options.placements.refuse(demand, 'noUpstream');
		}

		const now = this.#options.clock.now();
		const parts = promptParts(demand);
		const {promise, resolve} = Promise.withResolvers<PlacementResult>();
		const tokens = this.#minWeightedTokens(demand, parts);
		const {service, account} = demand;
		const waiting: QueuedPrompt = {
			service,
			account,
			work: promptWork(tokens, prompt),
			demand,
			engine,
			parts,
			settle: resolve,
			id: demand.request.id,
			priority: demand.route.priority,
			tokens,
			targetAt: demand.arrivedAt + demand.route.targetLatencyMs - firstEventDelayMs,
			giveUpAt: callerGivesUpAt(demand) - minRemainingMs,
		};
		this.#shared.recordAsked(waiting, now);
		const expectedMs = this.#predictCompletion(waiting, now) + this.#options.runQueue.predictWaitMs({demand, stage: 'decode'});
		if (now + expectedMs > waiting.giveUpAt) {
			return this.#options.placements.refuse(demand, 'overloaded', expectedMs);
		}

		const cancel = () => {
			this.#leaveQueue(waiting, {reason: 'cancelled', retryAfterMs: 0});
		};

		demand.signal.addEventListener('abort', cancel, {once: true});
		this.#queue.add(waiting);
		this.#refuseOvertaken(now);
		this.placeQueued();
		if (this.#queue.has(waiting)) {
			this.#options.log.write('queued', {
				request: waiting.id, service: demand.service, account: waiting.account, waiting: this.#queue.size, expectedMs: Math.round(expectedMs), tokens: Math.round(waiting.tokens),
			});
		}

		const result = await promise;
		demand.signal.removeEventListener('abort', cancel);
		return result;
	}

	/** Places the queued prompts that an upstream would start soon. */
	placeQueued(): void {
		if (this.#queue.size === 0) {
			return;
		}

		const now = this.#options.clock.now();
		let blocked = 0;
		for (const prompt of this.#shared.order(this.#queue, now, prefillRate.fixedMs)) {
			if (blocked >= maxBlockedPrompts) {
				break;
			}

			blocked += this.#tryPlace(prompt, now) ? 0 : 1;
		}

		if (this.#queue.size > 0 && !this.#isPlacementScheduled) {
			this.#isPlacementScheduled = true;
			setTimeout(() => {
				this.#isPlacementScheduled = false;
				this.placeQueued();
			}, placementIntervalMs);
		}
	}

	/** Weighted prompt tokens queued at this daemon, by priority. */
	queuedTokens(): ReadonlyMap<number, number> {
		const tokens = new Map<number, number>();
		for (const waiting of this.#queue) {
			tokens.set(waiting.priority, (tokens.get(waiting.priority) ?? 0) + waiting.tokens);
		}

		return tokens;
	}

	/** The part of these tokens that belongs to client accounts beyond their share. */
	excessTokens(): ReadonlyMap<number, number> {
		return this.#shared.excessTokens(this.#queue, this.#options.clock.now());
	}

	/** Mean time that the prefill engines of a service need for their backlog, in milliseconds. */
	meanBacklogMs(service: string, now: number): number {
		const states = this.#options.states.usable(service, 'prefill', new Set());
		const tokens = states.reduce((sum, state) => sum + this.#sumBacklog(state, Number.POSITIVE_INFINITY, now), 0);
		return tokens / (prefillRate.tokensPerMs * Math.max(1, states.length));
	}

	/** Predicts the time until the first event if the prompt is prefilled apart, in milliseconds. */
	#predictApart(demand: PlacementDemand, parts: readonly PromptPart[], engine: EngineProfile): number {
		const {states, availabilityZone, random} = this.#options;
		const {priority} = demand.route;
		const sample = sampleCandidates(this.#prefillUpstreams(demand), availabilityZone, random);
		const prefixMatch = this.#findPrefixMatch(parts, demand.service);
		const choice = choosePrefill(sample.map(state => this.#createCandidate(state, {
			...prefixMatch, parts, engine, priority: rankAtUpstream(priority, false),
		})), prefillRate);
		return choice === undefined || states.usable(demand.service, 'decode', demand.triedUpstreams).length === 0
			? Number.POSITIVE_INFINITY
			: choice.predictedMs + firstEventDelayMs;
	}

	/** Places or refuses a queued prompt; returns false if it has to keep waiting. */
	#tryPlace(waiting: QueuedPrompt, now: number): boolean {
		const {demand, parts, priority} = waiting;
		const usable = this.#prefillUpstreams(demand);
		const prefillUpstreams = this.#withRoom(usable);
		if (prefillUpstreams.length === 0 && usable.length > 0) {
			return this.#waitForLimit(waiting, usable, now);
		}

		const prefixMatch = this.#findPrefixMatch(parts, demand.service);
		const {bestUpstream} = prefixMatch;
		const sample = sampleCandidates(prefillUpstreams, this.#options.availabilityZone, this.#options.random);
		const states = bestUpstream !== undefined && prefillUpstreams.includes(bestUpstream) && !sample.includes(bestUpstream) ? [...sample, bestUpstream] : sample;
		const onTimeChoice = this.#choosePrefill(waiting, states, prefixMatch, rankAtUpstream(priority, false));
		const isLate = onTimeChoice === undefined || isLatePrompt(waiting, onTimeChoice.predictedMs, now);
		const rank = rankAtUpstream(priority, isLate);
		const choice = isLate ? this.#choosePrefill(waiting, states, prefixMatch, rank) : onTimeChoice;
		if (choice === undefined) {
			this.#leaveQueue(waiting, this.#options.placements.refuse(demand, 'noUpstream'));
			return true;
		}

		const {candidate, predictedMs, waitMs} = choice;
		switch (decidePlacement(waiting, {finishMs: predictedMs, waitMs}, isLate, now)) {
			case 'wait': {
				return false;
			}

			case 'giveUp': {
				this.#leaveQueue(waiting, this.#options.placements.refuse(demand, 'overloaded', predictedMs));
				return true;
			}

			case 'place': {
				if (!this.#options.backpressure.take(candidate.id)) {
					return false;
				}

				this.#shared.recordPlaced(waiting, now);
				const state = this.#options.states.get(candidate.id)!;
				const finish = state.beginPrefill(weighTokens(candidate.missingTokens, candidate.cachedTokens), rank, predictedMs);
				state.cache.touch(parts);
				this.#options.announcePrefill({upstream: candidate.id, parts});
				this.#leaveQueue(waiting, this.#options.placements.create(state, {
					predictedMs, rank, fetchFrom: candidate.fetchMs > 0 ? bestUpstream?.upstream : undefined,
				}, (end, endedAt) => {
					if (end.kind === 'served') {
						this.#rankLatencyRatios.observe(rank, end.elapsedMs, predictedMs);
					}

					finish(end, endedAt);
				}));
				return true;
			}
		}
	}

	/** Keeps a prompt waiting while all its upstreams have reached the limits that they named; gives it up when no caller waits for it any more. */
	#waitForLimit(waiting: QueuedPrompt, usable: readonly UpstreamState[], now: number): boolean {
		const {backpressure, placements} = this.#options;
		const waitMs = backpressure.predictWaitMs(usable.map(({upstream}) => upstream.id), 0);
		if (now + waitMs <= waiting.giveUpAt) {
			return false;
		}

		this.#leaveQueue(waiting, placements.refuse(waiting.demand, 'overloaded', waitMs));
		return true;
	}

	/** Upstreams that take a request now. */
	#withRoom(states: readonly UpstreamState[]): readonly UpstreamState[] {
		return states.filter(({upstream}) => this.#options.backpressure.hasRoom(upstream.id));
	}

	#choosePrefill({parts, engine}: QueuedPrompt, states: readonly UpstreamState[], prefixMatch: PrefixMatch, rank: number): PrefillChoice | undefined {
		return choosePrefill(states.map(state => this.#createCandidate(state, {
			...prefixMatch, parts, engine, priority: rank,
		})), prefillRate);
	}

	#leaveQueue(waiting: QueuedPrompt, result: PlacementResult): void {
		if (this.#queue.delete(waiting)) {
			waiting.settle(result);
		}
	}

	/** Predicts the time until the prefill of a prompt that arrives now is complete, behind the queues of all daemons and upstreams. */
	#predictCompletion(waiting: QueuedPrompt, now: number): number {
		const queuedAhead = this.#shared.tokensAhead(waiting, this.#queue, this.queuedTokens(), now);
		const {backlogTokens, tokensPerMs} = this.#measureLoad(waiting, now);
		const upstreams = Math.max(1, this.#prefillUpstreams(waiting.demand).length);
		return predictCompletion(waiting.tokens, {tokensAhead: queuedAhead + backlogTokens, tokensPerMs}, tokensPerMs / upstreams, prefillRate.fixedMs);
	}

	#measureLoad({demand, tokens, priority}: QueuedPrompt, now: number): ServiceLoad {
		const {backpressure} = this.#options;
		let backlogTokens = 0;
		let tokensPerMs = 0;
		for (const state of this.#prefillUpstreams(demand)) {
			backlogTokens += this.#sumBacklog(state, priority, now);
			const limitedTokensPerMs = (backpressure.requestsPerSecond(state.upstream.id) * Math.max(1, tokens)) / millisecondsPerSecond;
			tokensPerMs += Math.min(prefillRate.tokensPerMs / (state.latencyRatio * state.slowness(now)), limitedTokensPerMs);
		}

		return {backlogTokens, tokensPerMs};
	}

	/** Refuses queued prompts as soon as others have overtaken them for too long, so that their callers need not wait for the refusal. */
	#refuseOvertaken(now: number): void {
		for (const waiting of this.#shared.findOvertaken(this.#queue, now, prefillRate.fixedMs, prompt => this.#measureLoad(prompt, now))) {
			this.#leaveQueue(waiting, this.#options.placements.refuse(waiting.demand, 'overloaded', waiting.giveUpAt - now));
		}
	}

	/** Weighted tokens to prefill at the upstream with the longest cached prefix. */
	#minWeightedTokens(demand: PlacementDemand, parts: readonly PromptPart[]): number {
		const {totalTokens, bestMissingTokens} = this.#findPrefixMatch(parts, demand.service);
		return weighTokens(bestMissingTokens, totalTokens - bestMissingTokens);
	}

	#prefillUpstreams({service, triedUpstreams: tried}: PlacementDemand): readonly UpstreamState[] {
		return this.#options.states.usable(service, 'prefill', tried);
	}

	/** Finds the upstream with the longest cached prefix of a prompt. */
	#findPrefixMatch(parts: readonly PromptPart[], service: string): PrefixMatch {
		const totalTokens = countTokens(parts);
		const bestUpstream = this.#options.states.longestHolder(service, parts);
		return {totalTokens, bestUpstream, bestMissingTokens: bestUpstream?.cache.missingTokens(parts) ?? totalTokens};
	}

	#createCandidate(state: UpstreamState, {parts, totalTokens, bestUpstream, bestMissingTokens, engine, priority}: PrefillInput): PrefillCandidate {
		const now = this.#options.clock.now();
		const {upstream} = state;
		const ownMissing = state.cache.missingTokens(parts);
		const isFetched = bestUpstream !== undefined && bestUpstream !== state && ownMissing - bestMissingTokens >= minFetchTokens;
		const missingTokens = isFetched ? bestMissingTokens : ownMissing;
		return {
			id: upstream.id,
			backlogTokens: this.#sumBacklog(state, priority, now),
			missingTokens,
			cachedTokens: totalTokens - missingTokens,
			fetchMs: isFetched ? this.#transferMs(ownMissing - bestMissingTokens, upstream, bestUpstream.upstream, engine) : 0,
			isLocal: upstream.availabilityZone === this.#options.availabilityZone,
			latencyRatio: state.latencyRatio * state.slowness(now),
			rankLatencyRatio: this.#rankLatencyRatios.of(priority),
			failureFraction: state.failureFraction,
		};
	}

	/** Weighted tokens that run before a prompt of a priority at an upstream, with a fraction of less urgent work that has started. */
	#sumBacklog(state: UpstreamState, priority: number, now: number): number {
		const {peerLoads} = this.#options;
		const sum = (limit: number) => sumTokensUpTo(state.tokensByPriority, limit) + peerLoads.tokensUpTo(state.upstream.id, limit, now);
		const urgent = sum(priority);
		return urgent + Math.min(maxStartedWorkTokens, (sum(Number.POSITIVE_INFINITY) - urgent) * startedWorkFraction);
	}

	#transferMs(tokens: number, target: Upstream, source: Upstream, {bytesPerToken, linkMbps}: EngineProfile): number {
		const ms = (tokens * bytesPerToken * bitsPerByte) / (Math.max(1, linkMbps) * megabit / 1000);
		return transferSetupMs + (ms * (target.availabilityZone === source.availabilityZone ? 1 : 2));
	}
}

/** Parts of the demand's prompt; a prompt without parts is one part of its own. */
function promptParts({request: {id, prompt}}: PlacementDemand): readonly PromptPart[] {
	return prompt === undefined || prompt.parts.length === 0 ? [{id, tokens: prompt?.tokens ?? 0}] : prompt.parts;
}

/** Time at which the caller is assumed to abandon a stream without events, at the latest its deadline; in milliseconds. */
export function callerGivesUpAt({deadlineAt, arrivedAt, route}: PlacementDemand): number {
	return Math.min(deadlineAt, arrivedAt + callerPatienceMs(route));
}
