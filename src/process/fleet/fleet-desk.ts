import type {Upstream} from '../../ports/upstream.ts';
import type {StatedLoad} from '../../ports/upstream-protocol.ts';
import {
	UpstreamDesk, type Demand, type Placement, type PlacementResult, type SendEnd,
} from '../../request/delivery/upstream-desk.ts';
import type {PromptPart} from '../../request/delivery/route-request.ts';
import type {EngineProfile, Service} from '../../version/routes/route-configuration.ts';
import type {Clock} from '../clock.ts';
import {rankByRendezvous} from '../membership/rendezvous.ts';
import type {Random} from '../random.ts';
import type {DecisionLog} from './decision-log.ts';
import {
	choosePrefill, chooseRun, prefillRate, weighTokens, type PrefillCandidate,
} from './placement-score.ts';
import type {UpstreamRoster} from './upstream-roster.ts';
import {UpstreamState} from './upstream-state.ts';

/** What the desk needs. */
export type FleetDeskOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly log: DecisionLog;
	readonly roster: UpstreamRoster;
	readonly availabilityZone: string;
	/** Services in force, by name. */
	readonly services: () => ReadonlyMap<string, Service>;
};

/** Part of an engine's memory that shared prompt parts can keep. */
const cachedShare = 0.8;
/** Parts shorter than this are read wherever the prompt goes. */
const homeTokens = 1024;
/** Time to set up a transfer between engines, in milliseconds. */
const transferSetupMs = 6;
const bitsPerByte = 8;
const megabit = 1_000_000;
/** A request is refused when this much of its time would be left after the prompt is read, in milliseconds. */
const shortestAnswerMs = 60;
const retryDelayMs = 400;

/** Chooses upstreams by this daemon's own sends, the load that upstreams state, and the prompt parts that they keep. */
export class FleetDesk extends UpstreamDesk {
	readonly #options: FleetDeskOptions;
	readonly #states = new Map<string, UpstreamState>();

	constructor(options: FleetDeskOptions) {
		super();
		this.#options = options;
	}

	/** Takes a change of an upstream's entry. */
	update(upstream: Upstream): void {
		const state = this.#states.get(upstream.id);
		if (state !== undefined) {
			state.update(upstream);
		}
	}

	/** Forgets an upstream that is gone. */
	forget(id: string): void {
		this.#states.delete(id);
	}

	/** Requests of a service that run or wait, on all its engines that generate. */
	countRuns(service: string): number {
		const now = this.#options.clock.now();
		return this.#options.roster.serving(service).filter(({stage}) => stage === 'decode').reduce((sum, upstream) => {
			const state = this.#state(upstream);
			return sum + state.runs + state.othersRuns(now);
		}, 0);
	}

	isModelService(service: string): boolean {
		return this.#options.services().get(service)?.engine !== undefined;
	}

	async placePlain(demand: Demand): Promise<PlacementResult> {
		const state = this.#chooseRun(this.#usable(demand.service, demand.tried), undefined);
		return state === undefined ? this.#refuse(demand, 'noUpstream') : this.#beginRun(state, 0);
	}

	async placePrefill(demand: Demand): Promise<PlacementResult> {
		const engine = this.#options.services().get(demand.service)?.engine;
		const {prompt} = demand.request;
		const states = this.#usable(demand.service, demand.tried).filter(({upstream}) => upstream.stage === 'prefill');
		if (states.length === 0 || engine === undefined || prompt === undefined) {
			return this.#refuse(demand, 'noUpstream');
		}

		const parts = prompt.parts.length === 0 ? [{id: demand.request.id, tokens: prompt.tokens}] : prompt.parts;
		const homes = this.#findHomes(parts, states);
		const fetchable = homes === undefined ? undefined : states.find(state => state.upstream.id === homes && state.cache.keptParts(parts) > 0);
		const candidates = states.map(state => this.#createCandidate(state, parts, homes, fetchable, engine));
		const choice = choosePrefill(candidates, prefillRate);
		const {remainingMs} = {remainingMs: demand.endAt - this.#options.clock.now()};
		if (choice === undefined) {
			return this.#refuse(demand, 'noUpstream');
		}

		if (choice.predictedMs + shortestAnswerMs > remainingMs) {
			return this.#refuse(demand, 'overloaded', choice.predictedMs);
		}

		const state = this.#states.get(choice.candidate.id)!;
		const fetchFrom = choice.candidate.fetchMs > 0 ? fetchable?.upstream : undefined;
		const tokens = weighTokens(choice.candidate.missingTokens, choice.candidate.keptTokens);
		state.cache.touch(parts);
		return this.#createPlacement(state, choice.predictedMs, fetchFrom, state.beginPrefill(tokens, choice.predictedMs));
	}

	placeDecode(demand: Demand, source: Upstream | undefined): PlacementResult {
		const states = this.#usable(demand.service, demand.tried).filter(({upstream}) => upstream.stage === 'decode');
		const state = this.#chooseRun(states, source?.availabilityZone);
		return state === undefined ? this.#refuse(demand, 'noUpstream') : this.#beginRun(state, 0);
	}

	/** Upstreams of a service, without those to avoid unless there is no other one. */
	#usable(service: string, tried: ReadonlySet<string>): readonly UpstreamState[] {
		const now = this.#options.clock.now();
		const all = this.#options.roster.serving(service).filter(({id}) => !tried.has(id)).map(upstream => this.#state(upstream)).filter(state => !state.isAbsent);
		const healthy = all.filter(state => !state.isAvoided(now));
		return healthy.length > 0 ? healthy : all;
	}

	#state(upstream: Upstream): UpstreamState {
		const known = this.#states.get(upstream.id);
		if (known !== undefined) {
			known.update(upstream);
			return known;
		}

		const engine = this.#options.services().get(upstream.service)?.engine;
		const state = new UpstreamState(upstream, (engine?.memoryTokens ?? 0) * cachedShare);
		this.#states.set(upstream.id, state);
		return state;
	}

	#chooseRun(states: readonly UpstreamState[], promptZone: string | undefined): UpstreamState | undefined {
		const now = this.#options.clock.now();
		const choice = chooseRun(states.map(state => ({
			id: state.upstream.id,
			runs: state.runs + state.othersRuns(now),
			slots: state.upstream.slots,
			isLocal: state.upstream.availabilityZone === this.#options.availabilityZone,
			isNearPrompt: promptZone === undefined || state.upstream.availabilityZone === promptZone,
			slowness: state.slowness(now),
			failureShare: state.failureShare,
		})), this.#options.random.next());
		return choice === undefined ? undefined : this.#states.get(choice.id);
	}

	/** Upstream that all daemons take for the longest shared part, when there is one worth a home. */
	#findHomes(parts: readonly PromptPart[], states: readonly UpstreamState[]): string | undefined {
		const shared = parts.slice(0, -1).filter(({tokens}) => tokens >= homeTokens).at(-1);
		return shared === undefined ? undefined : rankByRendezvous(shared.id, states.map(({upstream}) => upstream.id))[0];
	}

	#createCandidate(
		state: UpstreamState,
		parts: readonly PromptPart[],
		home: string | undefined,
		fetchable: UpstreamState | undefined,
		engine: EngineProfile,
	): PrefillCandidate {
		const now = this.#options.clock.now();
		const total = parts.reduce((sum, {tokens}) => sum + tokens, 0);
		const ownMissing = state.cache.missingTokens(parts);
		const homeMissing = fetchable?.cache.missingTokens(parts) ?? total;
		const fetches = fetchable !== undefined && fetchable !== state && homeMissing < ownMissing;
		const missingTokens = fetches ? homeMissing : (state.upstream.id === home ? Math.min(ownMissing, total) : ownMissing);
		return {
			id: state.upstream.id,
			backlogTokens: state.prefillTokens,
			missingTokens,
			keptTokens: total - missingTokens,
			fetchMs: fetches ? this.#transferMs(ownMissing - homeMissing, state.upstream, fetchable.upstream, engine) : 0,
			isLocal: state.upstream.availabilityZone === this.#options.availabilityZone,
			pace: state.pace * state.slowness(now),
			failureShare: state.failureShare,
		};
	}

	#transferMs(tokens: number, target: Upstream, source: Upstream, {tokenBytes, linkMbps}: EngineProfile): number {
		const ms = (tokens * tokenBytes * bitsPerByte) / (Math.max(1, linkMbps) * megabit / 1000);
		return transferSetupMs + (ms * (target.availabilityZone === source.availabilityZone ? 1 : 2));
	}

	#beginRun(state: UpstreamState, predictedMs: number): Placement {
		return this.#createPlacement(state, predictedMs, undefined, state.beginRun(predictedMs));
	}

	#createPlacement(state: UpstreamState, predictedMs: number, fetchFrom: Upstream | undefined, finish: (end: SendEnd, now: number) => void): Placement {
		const {clock} = this.#options;
		let isReleased = false;
		return {
			upstream: state.upstream,
			predictedMs,
			fetchFrom,
			observe(load: StatedLoad) {
				state.observe(load, clock.now());
			},
			release(end) {
				if (!isReleased) {
					isReleased = true;
					finish(end, clock.now());
				}
			},
		};
	}

	#refuse({request, service}: Demand, reason: 'noUpstream' | 'overloaded', predictedMs = 0): PlacementResult {
		const retryAfterMs = retryDelayMs * (0.5 + this.#options.random.next());
		this.#options.log.write('placement.refused', {
			request: request.id, service, reason, predictedMs: Math.round(predictedMs), retryAfterMs: Math.round(retryAfterMs),
		});
		return {reason, retryAfterMs};
	}
}
