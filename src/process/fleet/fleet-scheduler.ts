import type {Upstream} from '../../ports/upstream.ts';
import {
	UpstreamScheduler, type PlacementDemand, type Placement, type PlacementResult, type SendResult,
} from '../../request/delivery/upstream-scheduler.ts';
import type {PromptPart} from '../../request/delivery/route-request.ts';
import type {Service} from '../../version/routes/route-configuration.ts';
import type {AccountUsage} from '../accounts/account-usage.ts';
import {promptWork} from '../accounts/request-work.ts';
import type {UpstreamBackpressure} from '../backpressure/upstream-backpressure.ts';
import type {Clock} from '../clock.ts';
import type {DownEvidence} from '../crashes/crash-attribution.ts';
import {sumTokensUpTo, type PeerLoadTracker} from '../peers/peer-load-tracker.ts';
import type {PeerLoad, PeerPrefill} from '../peers/peer-message.ts';
import {AnswerLengths, type AnswerKind} from '../placement/answer-lengths.ts';
import {assessGapRisk} from '../placement/event-gap.ts';
import {ServiceSpeeds} from '../placement/service-speeds.ts';
import {WorkCounter, type ServiceWork} from '../pool/service-work.ts';
import type {Random} from '../random.ts';
import type {StageDemand} from '../stages/stage-sizer.ts';
import type {DecisionLog} from './decision-log.ts';
import {sampleCandidates} from './candidate-sample.ts';
import {chooseLeastLoaded, type PrefillRate} from './placement-score.ts';
import {Placements} from './placements.ts';
import {callerGivesUpAt, PrefillScheduler} from './prefill-scheduler.ts';
import {RunQueue} from './run-queue.ts';
import type {UpstreamRegistry} from './upstream-registry.ts';
import type {UpstreamState} from './upstream-state.ts';
import {UpstreamStates} from './upstream-states.ts';

/** Exchange of load information with the other daemons. */
export type SchedulerPeers = {
	readonly peerLoads: PeerLoadTracker;
	/** Marks this daemon's load on an upstream as changed, so that the other daemons are informed. */
	readonly markLoadChanged: (upstream: string) => void;
	/** Announces to the other daemons which prompt parts an upstream will have cached. */
	readonly announcePrefill: (prefill: PeerPrefill) => void;
	/** Returns the time in which the other daemons hear of a send, in milliseconds. */
	readonly newsDelayMs: () => number;
};

/** Dependencies of the scheduler. */
export type FleetSchedulerOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly log: DecisionLog;
	readonly registry: UpstreamRegistry;
	readonly backpressure: UpstreamBackpressure;
	readonly peers: SchedulerPeers;
	/** Work of client accounts, by which the requests that wait are ordered. */
	readonly accountUsage: AccountUsage;
	readonly availabilityZone: string;
	/** Services of the active configuration, by name. */
	readonly services: () => ReadonlyMap<string, Service>;
	/** Called with the duration of a prefill, and the estimate that it was placed with, in milliseconds. */
	readonly onPrefillEnded?: (work: 'apart' | 'whole', elapsedMs: number, predictedMs: number) => void;
	/** Called with the number of events of an answer, and what was expected from the answers before it. */
	readonly onAnswerEnded?: (isHinted: boolean, events: number, expectedEvents: number) => void;
	/** Called when an upstream refuses connections or another one has its address. */
	readonly onUpstreamDown: (upstream: string, evidence: DownEvidence) => void;
};

/** Time after the duration of a stage change by which the registry shows it, in milliseconds; running work ends first. */
const stageChangeMarginMs = 1000;
/** Events of an answer from which the time between them shows the speed of an engine. */
const minObservedEvents = 3;

/** Chooses upstreams by this daemon's own sends, the load that upstreams and the other daemons report, and the prompt parts that engines have cached. */
export class FleetScheduler extends UpstreamScheduler {
	readonly #options: FleetSchedulerOptions;
	readonly #states: UpstreamStates;
	readonly #placements: Placements;
	readonly #runQueue: RunQueue;
	readonly #prefills: PrefillScheduler;
	readonly #work = new WorkCounter();
	readonly #speeds = new ServiceSpeeds();
	readonly #lengths = new AnswerLengths();

	constructor(options: FleetSchedulerOptions) {
		super();
		this.#options = options;
		const {peers, onUpstreamDown} = options;
		this.#states = new UpstreamStates({...options, peerLoads: peers.peerLoads, speeds: this.#speeds});
		this.#placements = new Placements({
			...options,
			onLoadChanged: peers.markLoadChanged,
			onUpstreamDown,
			onRejected(upstream, unavailableMs) {
				peers.announcePrefill({upstream, parts: [], unavailableMs});
			},
			onReleased: () => {
				this.#states.invalidate();
				this.placeQueued();
			},
		});
		this.#runQueue = new RunQueue({...options, states: this.#states, placements: this.#placements});
		this.#prefills = new PrefillScheduler({
			...options, states: this.#states, placements: this.#placements, runQueue: this.#runQueue, peerLoads: peers.peerLoads, announcePrefill: peers.announcePrefill, newsDelayMs: peers.newsDelayMs, speeds: this.#speeds,
		});
	}

	/** Applies a changed registry entry of an upstream. */
	update(upstream: Upstream): void {
		this.#states.update(upstream);
	}

	/** Drops the state of an upstream that has left the registry. */
	forget(id: string): void {
		this.#states.forget(id);
	}

	/** This daemon's own load on each upstream that has work from it. */
	loads(): readonly PeerLoad[] {
		return this.#states.loads();
	}

	/** Weighted prompt tokens queued at this daemon, by priority. */
	queuedTokens(): ReadonlyMap<number, number> {
		return this.#prefills.queuedTokens();
	}

	/** The part of these tokens that belongs to client accounts beyond their share. */
	excessTokens(): ReadonlyMap<number, number> {
		return this.#prefills.excessTokens();
	}

	/** Applies the prefills that the other daemons announced. */
	acceptPrefills(prefills: readonly PeerPrefill[]): void {
		this.#states.acceptPrefills(prefills);
	}

	/** Prefers other upstreams at all daemons while an engine changes its stage and rejects work. */
	stageChangeOrdered(upstream: Upstream): void {
		const changeMs = this.#options.services().get(upstream.service)?.engine?.stageChangeMs ?? 0;
		const news = {upstream: upstream.id, parts: [], unavailableMs: changeMs + stageChangeMarginMs};
		this.#states.acceptPrefills([news]);
		this.#options.peers.announcePrefill(news);
	}

	/** Places the queued prompts that an upstream would start soon. */
	placeQueued(): void {
		this.#prefills.placeQueued();
	}

	/** Work that has arrived here for the services whose number of upstreams is ordered. */
	work(): readonly ServiceWork[] {
		return this.#work.totals([...this.#options.services().values()].filter(({scaling}) => scaling !== undefined).map(({name}) => name));
	}

	/** Learned prefill speed of the engines of a service. */
	prefillRate(service: string): PrefillRate {
		return this.#speeds.of(service).prefill;
	}

	/** Load on the prefill and decode engines of a service, as known to this daemon. */
	measureDemand(service: string, slots: number): StageDemand {
		const now = this.#options.clock.now();
		let runs = 0;
		for (const state of this.#states.reachable(service).filter(({upstream}) => upstream.stage === 'decode')) {
			runs += state.runs + this.#states.peerRuns(state, now);
		}

		const demand = {runs, slots, ...this.#prefills.measureLoad(service, now)};
		return this.#isElastic(service) ? {...demand, isElastic: true} : demand;
	}

	isModelService(service: string): boolean {
		return this.#options.services().get(service)?.engine !== undefined;
	}

	hasUntriedUpstream({service, triedUpstreams: tried}: PlacementDemand): boolean {
		const now = this.#options.clock.now();
		const stage = this.isModelService(service) ? 'decode' : undefined;
		return this.#states.usable(service, stage, tried).some(state => !state.isAvoided(now) && this.#options.backpressure.hasRoom(state.upstream.id));
	}

	async placePlain(demand: PlacementDemand): Promise<PlacementResult> {
		return this.#runQueue.place({
			demand, stage: undefined, giveUpAt: demand.deadlineAt, begin: states => this.#beginAtLeastLoaded(states, demand),
		});
	}

	placeWhole(demand: PlacementDemand): Placement | undefined {
		const choice = this.#prefills.chooseWhole(demand);
		if (choice === undefined) {
			return undefined;
		}

		const {candidate, predictedMs, weightedTokens} = choice;
		if (!this.#options.backpressure.take(candidate.id)) {
			return undefined;
		}

		if (this.#isElastic(demand.service)) {
			this.#work.arrived(demand.service, this.#engineMs(demand.service, weightedTokens));
		}

		this.#recordWhole(demand, weightedTokens);
		const state = this.#states.get(candidate.id)!;
		const parts = demand.request.prompt?.parts ?? [];
		state.cache.touch(parts);
		this.#options.peers.announcePrefill({upstream: candidate.id, parts});
		const {priority} = demand.route;
		const startedAt = this.#options.clock.now();
		const tokens = (candidate.backlogTokens + weightedTokens) * state.slowness(startedAt);
		const {finishPrefill, finish: finishRun} = state.beginWhole(weightedTokens, priority, predictedMs, startedAt);
		const {finish, firstEvent} = this.#observeEvents(state, finishRun, demand);
		return this.#placements.create(state, {predictedMs, rank: priority, fetchFrom: undefined}, finish, now => {
			const observation = {tokens, elapsedMs: now - startedAt};
			this.#options.onPrefillEnded?.('whole', observation.elapsedMs, predictedMs);
			this.#speeds.observeWhole(demand.service, observation, now);
			this.#options.peers.announcePrefill({upstream: candidate.id, parts: [], observation});
			firstEvent(now);
			finishPrefill(now);
		});
	}

	async placePrefill(demand: PlacementDemand): Promise<PlacementResult> {
		const {service} = demand;
		if (!this.#isElastic(service)) {
			return this.#prefills.place(demand);
		}

		const workMs = this.#engineMs(service, this.#prefills.countMissingTokens(demand));
		this.#work.arrived(service, workMs);
		const result = await this.#prefills.place(demand);
		if ('reason' in result && result.reason === 'overloaded') {
			this.#work.refused(service, workMs);
		}

		return result;
	}

	async placeDecode(demand: PlacementDemand, source: Upstream | undefined): Promise<PlacementResult> {
		const isFirst = demand.triedUpstreams.size === 0;
		return this.#runQueue.place({
			demand,
			stage: 'decode',
			giveUpAt: isFirst ? callerGivesUpAt(demand) : demand.deadlineAt,
			begin: states => this.#beginAtLeastLoaded(states, demand, source),
		});
	}

	#isElastic(service: string): boolean {
		return this.#options.services().get(service)?.scaling !== undefined;
	}

	/** Time that an engine needs for prompt tokens, in milliseconds. */
	#engineMs(service: string, weightedTokens: number): number {
		return weightedTokens / this.#speeds.of(service).prefill.tokensPerMs;
	}

	/** Begins a run at the least loaded of these upstreams whose limit allows it; `source` has prefilled the prompt. */
	#beginAtLeastLoaded(states: readonly UpstreamState[], demand: PlacementDemand, source?: Upstream): Placement | undefined {
		const {backpressure, peers} = this.#options;
		const parts = demand.request.prompt?.parts ?? [];
		let open = states;
		let state = this.#chooseLeastLoaded(open, demand, source);
		while (state !== undefined && !backpressure.take(state.upstream.id)) {
			const refusing = state;
			open = open.filter(other => other !== refusing);
			state = this.#chooseLeastLoaded(open, demand, source);
		}

		if (state !== undefined && parts.length > 0) {
			// The engine caches prompt parts that it fetches like those that it has prefilled itself.
			state.cache.touch(parts);
			peers.announcePrefill({upstream: state.upstream.id, parts});
		}

		return state === undefined ? undefined : this.#beginRun(state, demand, source !== undefined);
	}

	#recordWhole({service, account, request: {prompt}}: PlacementDemand, weightedTokens: number): void {
		if (account !== undefined && prompt !== undefined) {
			const now = this.#options.clock.now();
			const work = promptWork(weightedTokens, prompt);
			this.#options.accountUsage.ask(service, account, work, now);
			this.#options.accountUsage.place(service, account, work, now);
		}
	}

	#chooseLeastLoaded(states: readonly UpstreamState[], {service, route: {targetGapMs}}: PlacementDemand, source: Upstream | undefined): UpstreamState | undefined {
		const now = this.#options.clock.now();
		const {availabilityZone, random, peers} = this.#options;
		const {eventMs, whole} = this.#speeds.of(service);
		const choice = chooseLeastLoaded(sampleCandidates(states, availabilityZone, random).map(state => {
			const {id, slots, availabilityZone: zone} = state.upstream;
			const slowness = state.slowness(now) * state.stepRatio;
			const backlogTokens = targetGapMs === undefined ? 0 : sumTokensUpTo(state.tokensByPriority, Number.POSITIVE_INFINITY) + peers.peerLoads.tokensUpTo(id, Number.POSITIVE_INFINITY, now);
			return {
				id,
				runs: state.runs + this.#states.peerRuns(state, now),
				slots,
				isLocal: zone === availabilityZone,
				isInPromptZone: source === undefined || zone === source.availabilityZone,
				slowness,
				gapRisk: assessGapRisk({eventMs, prefillMs: backlogTokens / whole.tokensPerMs, slowness}, targetGapMs),
				failureFraction: state.failureFraction,
			};
		}), random.next());
		return choice === undefined ? undefined : this.#states.get(choice.id);
	}

	/** Begins a run; if it fetches a prefilled prompt, the delay of its first event is learned for its service. */
	#beginRun(state: UpstreamState, demand: PlacementDemand, isFetching: boolean): Placement {
		const startedAt = this.#options.clock.now();
		const {finish, firstEvent} = this.#observeEvents(state, state.beginRun(0), demand);
		return this.#placements.create(state, {predictedMs: 0, rank: undefined, fetchFrom: undefined}, finish, now => {
			firstEvent(now);
			if (isFetching) {
				this.#speeds.observeFirstEvent(state.upstream.service, now - startedAt, now);
			}
		});
	}

	/** Learns the decode speed of an engine from the time between the events of an answer, which the other daemons are told, and the length of the answer. */
	#observeEvents(state: UpstreamState, finish: (end: SendResult, now: number) => void, demand: PlacementDemand): {readonly finish: typeof finish; readonly firstEvent: (now: number) => void} {
		let firstEventAt = Number.NaN;
		const answerKind = toAnswerKind(demand);
		// A run that resumes an answer sends only a part of it.
		const isComplete = demand.triedUpstreams.size === 0 && demand.request.lastEventId === undefined;
		return {
			firstEvent(now) {
				firstEventAt = now;
			},
			finish: (end, now) => {
				const {kind, events = 0} = end;
				const eventMs = (now - firstEventAt) / (events - 1);
				if (kind === 'served' && events >= minObservedEvents && eventMs > 0) {
					this.#states.learnStep(state, eventMs, now);
					this.#options.peers.announcePrefill({upstream: state.upstream.id, parts: [], eventMs});
				}

				if (kind === 'served' && events > 0 && isComplete) {
					this.#recordLength(answerKind, events, now);
				}

				finish(end, now);
			},
		};
	}

	#recordLength(kind: AnswerKind, events: number, now: number): void {
		const expectedEvents = this.#lengths.expect(kind, now);
		this.#lengths.observe(kind, events, now);
		if (expectedEvents !== undefined) {
			this.#options.onAnswerEnded?.(kind.hintedTokens !== undefined, events, expectedEvents);
		}
	}
}

function toAnswerKind({service, route, request}: PlacementDemand): AnswerKind {
	return {service, route: route.name, hintedTokens: request.prompt?.expectedOutputTokens};
}
