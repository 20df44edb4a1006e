import type {Stage, Upstream} from '../../ports/upstream.ts';
import type {PromptPart} from '../../request/delivery/route-request.ts';
import type {Service} from '../../version/routes/route-configuration.ts';
import type {Clock} from '../clock.ts';
import type {PeerLoadTracker} from '../peers/peer-load-tracker.ts';
import type {PeerLoad, PeerPrefill} from '../peers/peer-message.ts';
import type {PrefillObservation, ServiceSpeeds} from '../placement/service-speeds.ts';
import type {UpstreamRegistry} from './upstream-registry.ts';
import {weighTokens} from './placement-score.ts';
import {countTokens} from './prompt-cache.ts';
import {PromptHolders} from './prompt-holders.ts';
import {UpstreamState} from './upstream-state.ts';

/** Dependencies of the upstream states. */
export type UpstreamStatesOptions = {
	readonly clock: Clock;
	readonly registry: UpstreamRegistry;
	/** Load reported by the other daemons. */
	readonly peerLoads: PeerLoadTracker;
	readonly speeds: ServiceSpeeds;
	/** Services of the active configuration, by name. */
	readonly services: () => ReadonlyMap<string, Service>;
};

/** Fraction of an engine's KV cache memory that is available for cached prompt parts. */
const cacheMemoryFraction = 0.8;

/** Time for which the list of reachable upstreams is kept, in milliseconds; each placement needs it several times. */
const reachableCacheMs = 20;

/** State of all registered upstreams, as known to this daemon. */
export class UpstreamStates {
	readonly #options: UpstreamStatesOptions;
	readonly #states = new Map<string, UpstreamState>();
	readonly #holders = new PromptHolders();
	/** Reachable upstreams by service, until a state changes or the time is over. */
	readonly #reachable = new Map<string, {readonly states: readonly UpstreamState[]; readonly serving: readonly Upstream[]; readonly until: number}>();

	constructor(options: UpstreamStatesOptions) {
		this.#options = options;
	}

	/** Applies a changed registry entry of an upstream. */
	update(upstream: Upstream): void {
		this.#states.get(upstream.id)?.update(upstream);
		this.invalidate();
	}

	/** Drops the state of an upstream that has left the registry. */
	forget(id: string): void {
		this.#states.get(id)?.cache.clear();
		this.#states.delete(id);
		this.invalidate();
	}

	/** Returns the state of an upstream; undefined if none has been created. */
	get(id: string): UpstreamState | undefined {
		return this.#states.get(id);
	}

	/** Upstreams of a service, without those whose address refuses connections or belongs to another upstream. */
	reachable(service: string): readonly UpstreamState[] {
		const now = this.#options.clock.now();
		const serving = this.#options.registry.serving(service);
		const known = this.#reachable.get(service);
		if (known?.serving === serving && now < known.until) {
			return known.states;
		}

		const states = serving.map(upstream => this.#getOrCreate(upstream)).filter(state => !state.isUnreachable(now));
		this.#reachable.set(service, {states, serving, until: now + reachableCacheMs});
		return states;
	}

	/** Drops what was derived from the states, after an outcome that may have changed them. */
	invalidate(): void {
		this.#reachable.clear();
	}

	/** Returns the reachable upstream of a service, and of a stage if one is given, with the longest cached prefix of a prompt, by looking only at those that have one of its parts. */
	longestHolder(service: string, parts: readonly PromptPart[], stage?: Stage): UpstreamState | undefined {
		const now = this.#options.clock.now();
		for (let {length} = parts; length > 0; length -= 1) {
			const prefix = parts.slice(0, length);
			const {id: last} = prefix.at(-1)!;
			for (const id of this.#holders.of(last)) {
				const upstream = this.#options.registry.get(id);
				const isServing = upstream?.service === service && (stage === undefined || upstream.stage === stage);
				const state = this.#states.get(id);
				if (isServing && state !== undefined && !state.isUnreachable(now) && state.cache.missingTokens(prefix) === 0) {
					return state;
				}
			}
		}

		return undefined;
	}

	/** Untried upstreams of a service in a stage; upstreams to avoid are included only if there are no others. */
	usable(service: string, stage: Stage | undefined, tried: ReadonlySet<string>): readonly UpstreamState[] {
		const now = this.#options.clock.now();
		const all = this.reachable(service).filter(({upstream}) => upstream.stage === stage && !tried.has(upstream.id));
		const healthy = all.filter(state => !state.isAvoided(now));
		return healthy.length > 0 ? healthy : all;
	}

	/** Requests of the other daemons at an upstream: the larger of what the daemons and the upstream report, because either may be out of date. */
	peerRuns(state: UpstreamState, now: number): number {
		return Math.max(this.#options.peerLoads.runs(state.upstream.id, now), state.peerRuns(now));
	}

	/** This daemon's own load on each upstream that has work from it. */
	loads(): readonly PeerLoad[] {
		return [...this.#states.values()].flatMap(({upstream, runs, tokensByPriority}) =>
			runs === 0 && tokensByPriority.size === 0 ? [] : [{upstream: upstream.id, runs, tokensByPriority}]);
	}

	/** Applies the prefills that the other daemons announced. */
	acceptPrefills(prefills: readonly PeerPrefill[]): void {
		const now = this.#options.clock.now();
		for (const {upstream: id, parts, observation, eventMs, unavailableMs} of prefills) {
			const upstream = this.#options.registry.get(id);
			if (upstream === undefined) {
				continue;
			}

			const state = this.#getOrCreate(upstream);
			if (parts.length > 0) {
				const missingTokens = state.cache.missingTokens(parts);
				state.arrivals.record(weighTokens(missingTokens, countTokens(parts) - missingTokens), now);
				state.cache.touch(parts);
			}

			if (observation !== undefined) {
				this.#learnSpeed(state, observation, now);
			}

			if (eventMs !== undefined) {
				this.learnStep(state, eventMs, now);
			}

			if (unavailableMs !== undefined) {
				state.avoidFor(unavailableMs, now);
			}
		}
	}

	/** Learns the decode speed of an upstream and of its service from the time between the events of an answer. */
	learnStep(state: UpstreamState, eventMs: number, now: number): void {
		const {speeds} = this.#options;
		const {service} = state.upstream;
		if (eventMs > 0) {
			state.learnStep(eventMs, speeds.of(service).eventMs);
			speeds.observeEvents(service, eventMs, now);
		}
	}

	/** Applies the duration of a prefill that another daemon has seen end. */
	#learnSpeed(state: UpstreamState, observation: PrefillObservation, now: number): void {
		const {service, stage} = state.upstream;
		const {tokens, elapsedMs} = observation;
		const {speeds} = this.#options;
		const {tokensPerMs, fixedMs} = stage === 'decode' ? speeds.of(service).whole : speeds.of(service).prefill;
		if (tokens < 0 || elapsedMs <= 0) {
			return;
		}

		state.learnSpeed(elapsedMs, (tokens / tokensPerMs * state.latencyRatio) + fixedMs);
		if (stage === 'decode') {
			speeds.observeWhole(service, observation, now);
		} else {
			speeds.observePrefill(service, observation, now);
		}
	}

	#getOrCreate(upstream: Upstream): UpstreamState {
		const known = this.#states.get(upstream.id);
		if (known !== undefined) {
			known.update(upstream);
			return known;
		}

		const engine = this.#options.services().get(upstream.service)?.engine;
		const state = new UpstreamState(upstream, (engine?.memoryCapacityTokens ?? 0) * cacheMemoryFraction, this.#holders.listener(upstream.id));
		this.#states.set(upstream.id, state);
		return state;
	}
}
