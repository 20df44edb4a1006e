import type {Upstream} from '../../ports/upstream.ts';
import type {PlacementDemand, PlacementResult} from '../../request/delivery/upstream-scheduler.ts';
import type {PromptPart} from '../../request/delivery/route-request.ts';
import type {EngineProfile, Service} from '../../version/routes/route-configuration.ts';
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
import {countTokens} from './prompt-cache.ts';
import {
	isLatePrompt, decidePlacement, orderPrompts, predictCompletion, rankAtUpstream, type WaitingPrompt,
} from './prefill-queue.ts';
import type {UpstreamState} from './upstream-state.ts';
import type {UpstreamStates} from './upstream-states.ts';

/** What the prompt scheduler needs. */
export type PrefillSchedulerOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly log: DecisionLog;
	readonly states: UpstreamStates;
	readonly placements: Placements;
	readonly peerLoads: PeerLoadTracker;
	/** Tells the other daemons that an engine begins to read a prompt. */
	readonly announcePrefill: (reading: PeerPrefill) => void;
	readonly availabilityZone: string;
	/** Services in force, by name. */
	readonly services: () => ReadonlyMap<string, Service>;
};

/** A prompt in the queue with what is needed to place it. */
type QueuedPrompt = WaitingPrompt & {
	readonly demand: PlacementDemand;
	readonly engine: EngineProfile;
	readonly parts: readonly PromptPart[];
	readonly settle: (result: PlacementResult) => void;
};

/** What the engines keep of a prompt. */
type PrefixMatch = {
	readonly totalTokens: number;
	/** Upstream that keeps the most of it. */
	readonly bestUpstream: UpstreamState | undefined;
	/** Tokens that the keeper has to read. */
	readonly bestMissingTokens: number;
};

/** A prompt that is to be read. */
type PrefillInput = PrefixMatch & {
	readonly parts: readonly PromptPart[];
	readonly engine: EngineProfile;
	readonly priority: number;
};

/** Parts of fewer tokens are read again rather than fetched. */
const minFetchTokens = 1024;
/** Time to set up a transfer between engines, in milliseconds. */
const transferSetupMs = 6;
const bitsPerByte = 8;
const megabit = 1_000_000;
/** A request is refused when this much of its time would be left after the prompt is read, in milliseconds. */
const minRemainingMs = 60;
/** Time from the end of reading to the first event: the transfer and the first step, in milliseconds. */
const firstEventDelayMs = 60;
/** Callers give up a stream without events after this time, or after these multiples of the route's targets. */
const minCallerPatienceMs = 2000;
const patienceLatencyMultiple = 4;
const patienceGapMultiple = 8;
/** Prompts that are looked at once no upstream has room; others behind them may fit elsewhere. */
const maxBlockedPrompts = 6;
const placementIntervalMs = 10;
/** Part of the less urgent work that is done before a more urgent prompt. */
const startedWorkFraction = 0.3;
/** Less urgent work holds a more urgent prompt up for some steps at most. */
const maxStartedWorkTokens = 4096;

/** Chooses the engines that read prompts, and lets prompts wait here while no engine would begin with them soon. */
export class PrefillScheduler {
	readonly #options: PrefillSchedulerOptions;
	readonly #queue = new Set<QueuedPrompt>();
	readonly #rankLatencyRatios = new RankLatencyRatios();
	#isPlacementScheduled = false;

	constructor(options: PrefillSchedulerOptions) {
		this.#options = options;
	}

	/** Places the reading of a prompt; waits for room. */
	async place(demand: PlacementDemand): Promise<PlacementResult> {
		const engine = this.#options.services().get(demand.service)?.engine;
		const {prompt} = demand.request;
		if (engine === undefined || prompt === undefined || this.#prefillUpstreams(demand).length === 0) {
			return this.#options.placements.refuse(demand, 'noUpstream');
		}

		// A prompt that no engine could go on with is not worth reading.
		if (this.#options.states.usable(demand.service, 'decode', demand.tried).length === 0) {
			return this.#options.placements.refuse(demand, 'noUpstream');
		}

		const now = this.#options.clock.now();
		const parts = prompt.parts.length === 0 ? [{id: demand.request.id, tokens: prompt.tokens}] : prompt.parts;
		const {promise, resolve} = Promise.withResolvers<PlacementResult>();
		const waiting: QueuedPrompt = {
			demand,
			engine,
			parts,
			settle: resolve,
			id: demand.request.id,
			priority: demand.route.priority,
			tokens: this.#minWeightedTokens(demand, parts),
			targetAt: demand.arrivedAt + demand.route.targetLatencyMs - firstEventDelayMs,
			giveUpAt: Math.min(demand.deadlineAt, demand.arrivedAt + callerPatienceMs(demand.route)) - minRemainingMs,
		};
		const expectedMs = this.#predictCompletion(waiting, now);
		if (now + expectedMs > waiting.giveUpAt) {
			return this.#options.placements.refuse(demand, 'overloaded', expectedMs);
		}

		const cancel = () => {
			this.#leaveQueue(waiting, {reason: 'cancelled', retryAfterMs: 0});
		};

		demand.signal.addEventListener('abort', cancel, {once: true});
		this.#queue.add(waiting);
		this.placeQueued();
		if (this.#queue.has(waiting)) {
			this.#options.log.write('queued', {
				request: waiting.id, service: demand.service, waiting: this.#queue.size, expectedMs: Math.round(expectedMs), tokens: Math.round(waiting.tokens),
			});
		}

		const result = await promise;
		demand.signal.removeEventListener('abort', cancel);
		return result;
	}

	/** Places waiting prompts as far as upstreams would begin with them soon. */
	placeQueued(): void {
		if (this.#queue.size === 0) {
			return;
		}

		const now = this.#options.clock.now();
		let blocked = 0;
		for (const prompt of orderPrompts([...this.#queue], now, prefillRate.fixedMs)) {
			if (blocked >= maxBlockedPrompts) {
				break;
			}

			blocked += this.#tryPlace(prompt as QueuedPrompt, now) ? 0 : 1;
		}

		if (this.#queue.size > 0 && !this.#isPlacementScheduled) {
			this.#isPlacementScheduled = true;
			setTimeout(() => {
				this.#isPlacementScheduled = false;
				this.placeQueued();
			}, placementIntervalMs);
		}
	}

	/** Prompt tokens that wait at this daemon, by priority. */
	queuedTokens(): ReadonlyMap<number, number> {
		const tokens = new Map<number, number>();
		for (const waiting of this.#queue) {
			tokens.set(waiting.priority, (tokens.get(waiting.priority) ?? 0) + waiting.tokens);
		}

		return tokens;
	}

	/** Time that the engines of a service need for the prompts that they have to read, on average, in milliseconds. */
	meanBacklogMs(service: string, now: number): number {
		const states = this.#options.states.usable(service, 'prefill', new Set());
		const tokens = states.reduce((sum, state) => sum + this.#sumBacklog(state, Number.POSITIVE_INFINITY, now), 0);
		return tokens / (prefillRate.tokensPerMs * Math.max(1, states.length));
	}

	/** Returns true when the prompt waits no longer. */
	#tryPlace(waiting: QueuedPrompt, now: number): boolean {
		const {demand, parts, priority} = waiting;
		const prefillers = this.#prefillUpstreams(demand);
		const kept = this.#findPrefixMatch(parts, demand.service);
		const {bestUpstream: keeper} = kept;
		const sample = sampleCandidates(prefillers, this.#options.availabilityZone, this.#options.random);
		const states = keeper !== undefined && prefillers.includes(keeper) && !sample.includes(keeper) ? [...sample, keeper] : sample;
		const timely = this.#choosePrefill(waiting, states, kept, rankAtUpstream(priority, false));
		const isLate = timely === undefined || isLatePrompt(waiting, timely.predictedMs, now);
		const rank = rankAtUpstream(priority, isLate);
		const choice = isLate ? this.#choosePrefill(waiting, states, kept, rank) : timely;
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
				const state = this.#options.states.get(candidate.id)!;
				const finish = state.beginPrefill(weighTokens(candidate.missingTokens, candidate.cachedTokens), rank, predictedMs);
				state.cache.touch(parts);
				this.#options.announcePrefill({upstream: candidate.id, parts});
				this.#leaveQueue(waiting, this.#options.placements.create(state, {
					predictedMs, rank, fetchFrom: candidate.fetchMs > 0 ? keeper?.upstream : undefined,
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

	#choosePrefill({parts, engine}: QueuedPrompt, states: readonly UpstreamState[], kept: PrefixMatch, rank: number): PrefillChoice | undefined {
		return choosePrefill(states.map(state => this.#createCandidate(state, {
			...kept, parts, engine, priority: rank,
		})), prefillRate);
	}

	#leaveQueue(waiting: QueuedPrompt, result: PlacementResult): void {
		if (this.#queue.delete(waiting)) {
			waiting.settle(result);
		}
	}

	/** Time until a prompt that arrives now has been read, with what waits at all daemons and upstreams before it. */
	#predictCompletion({demand, tokens, priority}: QueuedPrompt, now: number): number {
		const {peerLoads: board} = this.#options;
		const states = this.#prefillUpstreams(demand);
		let tokensAhead = sumTokensUpTo(this.queuedTokens(), priority) + board.queuedTokensUpTo(priority, now);
		let tokensPerMs = 0;
		for (const state of states) {
			tokensAhead += this.#sumBacklog(state, priority, now);
			tokensPerMs += prefillRate.tokensPerMs / (state.latencyRatio * state.slowness(now));
		}

		return predictCompletion(tokens, {tokensAhead, tokensPerMs}, tokensPerMs / Math.max(1, states.length), prefillRate.fixedMs);
	}

	/** Tokens to read where the most of a prompt is kept. */
	#minWeightedTokens(demand: PlacementDemand, parts: readonly PromptPart[]): number {
		const {totalTokens, bestMissingTokens: keeperMissing} = this.#findPrefixMatch(parts, demand.service);
		return weighTokens(keeperMissing, totalTokens - keeperMissing);
	}

	#prefillUpstreams({service, tried}: PlacementDemand): readonly UpstreamState[] {
		return this.#options.states.usable(service, 'prefill', tried);
	}

	/** Finds the upstream that keeps the most tokens of a prompt from its start. */
	#findPrefixMatch(parts: readonly PromptPart[], service: string): PrefixMatch {
		const totalTokens = countTokens(parts);
		let keeper: UpstreamState | undefined;
		let keeperMissing = totalTokens;
		for (const state of this.#options.states.reachable(service)) {
			const tokens = state.cache.missingTokens(parts);
			if (keeper === undefined || tokens < keeperMissing) {
				keeper = state;
				keeperMissing = tokens;
			}
		}

		return {totalTokens, bestUpstream: keeper, bestMissingTokens: keeperMissing};
	}

	#createCandidate(state: UpstreamState, {parts, totalTokens, bestUpstream: keeper, bestMissingTokens: keeperMissing, engine, priority}: PrefillInput): PrefillCandidate {
		const now = this.#options.clock.now();
		const {upstream} = state;
		const ownMissing = state.cache.missingTokens(parts);
		const fetches = keeper !== undefined && keeper !== state && ownMissing - keeperMissing >= minFetchTokens;
		const missingTokens = fetches ? keeperMissing : ownMissing;
		return {
			id: upstream.id,
			backlogTokens: this.#sumBacklog(state, priority, now),
			missingTokens,
			cachedTokens: totalTokens - missingTokens,
			fetchMs: fetches ? this.#transferMs(ownMissing - keeperMissing, upstream, keeper.upstream, engine) : 0,
			isLocal: upstream.availabilityZone === this.#options.availabilityZone,
			latencyRatio: state.latencyRatio * state.slowness(now),
			rankLatencyRatio: this.#rankLatencyRatios.of(priority),
			failureShare: state.failureShare,
		};
	}

	/** Tokens that are read before a prompt of a priority; less urgent ones that have begun take part of the time. */
	#sumBacklog(state: UpstreamState, priority: number, now: number): number {
		const {peerLoads: board} = this.#options;
		const sum = (limit: number) => sumTokensUpTo(state.tokensByPriority, limit) + board.tokensUpTo(state.upstream.id, limit, now);
		const urgent = sum(priority);
		return urgent + Math.min(maxStartedWorkTokens, (sum(Number.POSITIVE_INFINITY) - urgent) * startedWorkFraction);
	}

	#transferMs(tokens: number, target: Upstream, source: Upstream, {bytesPerToken: tokenBytes, linkMbps}: EngineProfile): number {
		const ms = (tokens * tokenBytes * bitsPerByte) / (Math.max(1, linkMbps) * megabit / 1000);
		return transferSetupMs + (ms * (target.availabilityZone === source.availabilityZone ? 1 : 2));
	}
}

/** Time for which a caller waits for the first event of a stream. */
function callerPatienceMs({targetLatencyMs, targetGapMs}: PlacementDemand['route']): number {
	return Math.max(minCallerPatienceMs, targetLatencyMs * patienceLatencyMultiple, (targetGapMs ?? 0) * patienceGapMultiple);
}
