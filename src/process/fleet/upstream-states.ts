import type {Stage, Upstream} from '../../ports/upstream.ts';
import type {Service} from '../../version/routes/route-configuration.ts';
import type {Clock} from '../clock.ts';
import type {PeerLoadTracker} from '../peers/peer-load-tracker.ts';
import type {PeerLoad, PeerPrefill} from '../peers/peer-message.ts';
import type {UpstreamRegistry} from './upstream-registry.ts';
import {UpstreamState} from './upstream-state.ts';

/** What the states of upstreams need. */
export type UpstreamStatesOptions = {
	readonly clock: Clock;
	readonly registry: UpstreamRegistry;
	/** What the other daemons tell. */
	readonly peerLoads: PeerLoadTracker;
	/** Services in force, by name. */
	readonly services: () => ReadonlyMap<string, Service>;
};

/** Part of an engine's memory that shared prompt parts can keep. */
const cacheMemoryFraction = 0.8;

/** What this daemon knows of all upstreams that are listed. */
export class UpstreamStates {
	readonly #options: UpstreamStatesOptions;
	readonly #states = new Map<string, UpstreamState>();

	constructor(options: UpstreamStatesOptions) {
		this.#options = options;
	}

	/** Takes a change of an upstream's entry. */
	update(upstream: Upstream): void {
		this.#states.get(upstream.id)?.update(upstream);
	}

	/** Forgets an upstream that is gone. */
	forget(id: string): void {
		this.#states.delete(id);
	}

	/** Returns the state of an upstream that is known. */
	get(id: string): UpstreamState | undefined {
		return this.#states.get(id);
	}

	/** Upstreams of a service, without those whose address is refused or belongs to another one. */
	reachable(service: string): readonly UpstreamState[] {
		return this.#options.registry.serving(service).map(upstream => this.#getOrCreate(upstream)).filter(state => !state.isUnreachable);
	}

	/** Upstreams of a service in a stage that were not tried, without those to avoid unless there is no other one in that stage. */
	usable(service: string, stage: Stage | undefined, tried: ReadonlySet<string>): readonly UpstreamState[] {
		const now = this.#options.clock.now();
		const all = this.reachable(service).filter(({upstream}) => upstream.stage === stage && !tried.has(upstream.id));
		const healthy = all.filter(state => !state.isAvoided(now));
		return healthy.length > 0 ? healthy : all;
	}

	/** Requests of the other daemons at an upstream: the larger of what they tell and what it stated, since either may be out of date. */
	peerRuns(state: UpstreamState, now: number): number {
		return Math.max(this.#options.peerLoads.runs(state.upstream.id, now), state.peerRuns(now));
	}

	/** This daemon's own load on all upstreams with work. */
	loads(): readonly PeerLoad[] {
		return [...this.#states.values()].flatMap(({upstream, runs, tokensByPriority}) =>
			runs === 0 && tokensByPriority.size === 0 ? [] : [{upstream: upstream.id, runs, tokensByPriority}]);
	}

	/** Takes the prompts that upstreams read for the other daemons. */
	acceptPrefills(readings: readonly PeerPrefill[]): void {
		for (const {upstream: id, parts} of readings) {
			const upstream = this.#options.registry.get(id);
			if (upstream !== undefined) {
				this.#getOrCreate(upstream).cache.touch(parts);
			}
		}
	}

	#getOrCreate(upstream: Upstream): UpstreamState {
		const known = this.#states.get(upstream.id);
		if (known !== undefined) {
			known.update(upstream);
			return known;
		}

		const engine = this.#options.services().get(upstream.service)?.engine;
		const state = new UpstreamState(upstream, (engine?.memoryCapacityTokens ?? 0) * cacheMemoryFraction);
		this.#states.set(upstream.id, state);
		return state;
	}
}
