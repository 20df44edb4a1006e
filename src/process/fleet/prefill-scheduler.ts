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
import {PrefillCandidates, promptParts, type PrefixMatch} from '../placement/prefill-candidates.ts';
import type {ServiceSpeeds} from '../placement/service-speeds.ts';
import {WholeScheduler} from '../placement/whole-scheduler.ts';
import type {Random} from '../random.ts';
import type {StageDemand} from '../stages/stage-sizer.ts';
import type {DecisionLog} from './decision-log.ts';
import {sampleCandidates} from './candidate-sample.ts';
import {weighTokens, type PrefillChoice} from './placement-score.ts';
import type {Placements} from './placements.ts';
import type {WholeChoice} from './prompt-path.ts';
import {
	isLatePrompt, decidePlacement, isOnTimeRank, predictCompletion, rankAtUpstream,
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
	readonly speeds: ServiceSpeeds;
	readonly accountUsage: AccountUsage;
	/** Announces to the other daemons that an engine starts the prefill of a prompt. */
	readonly announcePrefill: (prefill: PeerPrefill) => void;
	readonly availabilityZone: string;
	/** Returns the time in which the other daemons hear of a send, in milliseconds. */
	readonly newsDelayMs: () => number;
	/** Called with the duration of a prefill, and the estimate that it was placed with, in milliseconds. */
	readonly onPrefillEnded?: ((work: 'apart', elapsedMs: number, predictedMs: number) => void) | undefined;
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

/** A prompt of which only what its completion is predicted from is known. */
type ArrivingPrompt = Pick<QueuedPrompt, 'demand' | 'tokens' | 'priority' | 'service' | 'account' | 'work'>;

const millisecondsPerSecond = 1000;
/** A request is refused if less than this remains of the caller's waiting time after the prefill, in milliseconds. */
const minRemainingMs = 60;
/** Prompts that may fail to be placed before a pass over the queue ends; a prompt behind a blocked one may still fit elsewhere. */
const maxBlockedPrompts = 6;
const placementIntervalMs = 10;
/** Time in which further engines should work off the queues at the daemons, in milliseconds. */
const queueHorizonMs = 300;

/** Chooses the engine for each prefill, and queues prompts at the daemon while no engine would start them soon. */
export class PrefillScheduler {
	readonly #options: PrefillSchedulerOptions;
	readonly #queue = new Set<QueuedPrompt>();
	readonly #candidates: PrefillCandidates;
	readonly #whole: WholeScheduler;
	readonly #shared: SharedPrompts;
	#isPlacementScheduled = false;

	constructor(options: PrefillSchedulerOptions) {
		this.#options = options;
		this.#candidates = new PrefillCandidates(options);
		this.#shared = new SharedPrompts(options.accountUsage, options.peerLoads);
		this.#whole = new WholeScheduler({
			...options,
			candidates: this.#candidates,
			predictQueuedMs: (demand, parts) => this.#predictQueued(demand, parts),
		});
	}

	/** Chooses the decode engine for a whole request; undefined if a separate prefill is expected to answer sooner. */
	chooseWhole(demand: PlacementDemand): WholeChoice | undefined {
		return this.#whole.choose(demand);
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
		const tokens = this.countMissingTokens(demand, parts);
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
			targetAt: demand.arrivedAt + demand.route.targetLatencyMs - this.#options.speeds.of(demand.service).firstEventDelayMs,
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
		for (const prompt of this.#shared.order(this.#queue, now, this.#fastestPrefillMs())) {
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

	/** Weighted tokens to prefill at the upstream with the longest cached prefix. */
	countMissingTokens(demand: PlacementDemand, parts = promptParts(demand)): number {
		const {totalTokens, bestMissingTokens} = this.#candidates.findPrefixMatch(parts, demand.service);
		return weighTokens(bestMissingTokens, totalTokens - bestMissingTokens);
	}

	/** The part of these tokens that belongs to client accounts beyond their share. */
	excessTokens(): ReadonlyMap<number, number> {
		return this.#shared.excessTokens(this.#queue, this.#options.clock.now());
	}

	/** Load on the prefill engines of a service. */
	measureLoad(service: string, now: number): Pick<StageDemand, 'backlogMs' | 'prefillEngines'> {
		const states = this.#options.states.usable(service, 'prefill', new Set());
		const {tokensPerMs} = this.#options.speeds.of(service).prefill;
		const backlogs = states.map(state => this.#candidates.sumBacklog(state, Number.POSITIVE_INFINITY, now));
		const queuedTokens = sumTokensUpTo(this.queuedTokens(), Number.POSITIVE_INFINITY) + this.#options.peerLoads.queuedTokensUpTo(Number.POSITIVE_INFINITY, now);
		return {
			backlogMs: backlogs.reduce((sum, tokens) => sum + tokens, 0) / (tokensPerMs * Math.max(1, states.length)),
			prefillEngines: backlogs.filter(tokens => tokens > 0).length + (queuedTokens / tokensPerMs / queueHorizonMs),
		};
	}

	/** Places or refuses a queued prompt; returns false if it has to keep waiting. */
	#tryPlace(waiting: QueuedPrompt, now: number): boolean {
		const {demand, parts, priority} = waiting;
		const usable = this.#prefillUpstreams(demand);
		const prefillUpstreams = this.#withRoom(usable);
		if (prefillUpstreams.length === 0 && usable.length > 0) {
			return this.#waitForLimit(waiting, usable, now);
		}

		const prefixMatch = this.#candidates.findPrefixMatch(parts, demand.service);
		const {bestUpstream} = prefixMatch;
		const sample = sampleCandidates(prefillUpstreams, this.#options.availabilityZone, this.#options.random);
		const states = bestUpstream !== undefined && prefillUpstreams.includes(bestUpstream) && !sample.includes(bestUpstream) ? [...sample, bestUpstream] : sample;
		const choose = (rank: number) => this.#candidates.choose(states, {
			...prefixMatch, service: demand.service, parts, engine: waiting.engine, priority: rank,
		});
		const onTimeChoice = choose(rankAtUpstream(priority, false));
		const isLate = onTimeChoice === undefined || isLatePrompt(waiting, onTimeChoice.predictedMs, now);
		const rank = rankAtUpstream(priority, isLate);
		const choice = isLate ? choose(rank) : onTimeChoice;
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
				this.#place(waiting, choice, rank, candidate.fetchMs > 0 ? bestUpstream : undefined);
				return true;
			}
		}
	}

	#place(waiting: QueuedPrompt, {candidate, predictedMs}: PrefillChoice, rank: number, source: UpstreamState | undefined): void {
		const {clock, states, placements, speeds, announcePrefill, onPrefillEnded} = this.#options;
		const {demand: {service}, parts} = waiting;
		const state = states.get(candidate.id)!;
		const weightedTokens = weighTokens(candidate.missingTokens, candidate.cachedTokens);
		// Behind a long backlog, the duration tells less of the engine than of the estimate of the backlog.
		const isInformative = isOnTimeRank(rank) && candidate.backlogTokens <= weightedTokens;
		const tokens = (candidate.backlogTokens + (candidate.unreportedTokens ?? 0) + weightedTokens) * state.slowness(clock.now());
		const finish = state.beginPrefill(weightedTokens, rank, predictedMs);
		state.cache.touch(parts);
		announcePrefill({upstream: candidate.id, parts});
		this.#leaveQueue(waiting, placements.create(state, {predictedMs, rank, fetchFrom: source?.upstream}, (end, endedAt) => {
			if (end.kind === 'served') {
				onPrefillEnded?.('apart', end.elapsedMs, predictedMs);
				this.#candidates.rankLatencyRatios.observe(rank, end.elapsedMs, predictedMs);
				if (isInformative) {
					const observation = {tokens, elapsedMs: end.elapsedMs - candidate.fetchMs};
					speeds.observePrefill(service, observation, endedAt);
					announcePrefill({upstream: candidate.id, parts: [], observation});
				}
			}

			finish(end, endedAt);
		}));
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

	#leaveQueue(waiting: QueuedPrompt, result: PlacementResult): void {
		if (this.#queue.delete(waiting)) {
			waiting.settle(result);
		}
	}

	/** Overhead of a prefill at the fastest service with queued prompts, in milliseconds. */
	#fastestPrefillMs(): number {
		const services = new Set([...this.#queue].map(({demand}) => demand.service));
		return Math.min(...[...services].map(service => this.#options.speeds.of(service).prefill.fixedMs));
	}

	/** Predicts the time until the prefill of a prompt is complete that has to queue behind others, in milliseconds; 0 while none queue. */
	#predictQueued(demand: PlacementDemand, parts: readonly PromptPart[]): number {
		const {clock, peerLoads} = this.#options;
		const now = clock.now();
		const {service, account, route: {priority}, request: {prompt}} = demand;
		if (sumTokensUpTo(this.queuedTokens(), priority) + peerLoads.queuedTokensUpTo(priority, now) === 0) {
			return 0;
		}

		const tokens = this.countMissingTokens(demand, parts);
		return this.#predictCompletion({
			service, account, work: prompt === undefined ? tokens : promptWork(tokens, prompt), demand, tokens, priority,
		}, now);
	}

	/** Predicts the time until the prefill of a prompt that arrives now is complete, behind the queues of all daemons and upstreams. */
	#predictCompletion(waiting: ArrivingPrompt, now: number): number {
		const {demand, tokens} = waiting;
		const queuedAhead = this.#shared.tokensAhead(waiting, this.#queue, this.queuedTokens(), now);
		const {backlogTokens, tokensPerMs} = this.#measureBacklog(waiting, now);
		const upstreams = Math.max(1, this.#prefillUpstreams(demand).length);
		const {fixedMs} = this.#options.speeds.of(demand.service).prefill;
		return predictCompletion(tokens, {tokensAhead: queuedAhead + backlogTokens, tokensPerMs}, tokensPerMs / upstreams, fixedMs);
	}

	/** Backlog of the engines that may prefill a prompt, as far as it goes before that prompt, and their throughput. */
	#measureBacklog({demand, tokens, priority}: Pick<QueuedPrompt, 'demand' | 'tokens' | 'priority'>, now: number): ServiceLoad {
		const {backpressure, speeds} = this.#options;
		const {prefill} = speeds.of(demand.service);
		let backlogTokens = 0;
		let tokensPerMs = 0;
		for (const state of this.#prefillUpstreams(demand)) {
			backlogTokens += this.#candidates.sumBacklog(state, priority, now);
			const limitedTokensPerMs = (backpressure.requestsPerSecond(state.upstream.id) * Math.max(1, tokens)) / millisecondsPerSecond;
			tokensPerMs += Math.min(prefill.tokensPerMs / (state.latencyRatio * state.slowness(now)), limitedTokensPerMs);
		}

		return {backlogTokens, tokensPerMs};
	}

	/** Refuses queued prompts as soon as others have overtaken them for too long, so that their callers need not wait for the refusal. */
	#refuseOvertaken(now: number): void {
		for (const waiting of this.#shared.findOvertaken(this.#queue, now, this.#fastestPrefillMs(), prompt => this.#measureBacklog(prompt, now))) {
			this.#leaveQueue(waiting, this.#options.placements.refuse(waiting.demand, 'overloaded', waiting.giveUpAt - now));
		}
	}

	#prefillUpstreams({service, triedUpstreams: tried}: PlacementDemand): readonly UpstreamState[] {
		return this.#options.states.usable(service, 'prefill', tried);
	}
}

/** Time at which the caller is assumed to abandon a stream without events, at the latest its deadline; in milliseconds. */
export function callerGivesUpAt({deadlineAt, arrivedAt, route}: PlacementDemand): number {
	return Math.min(deadlineAt, arrivedAt + callerPatienceMs(route));
}
