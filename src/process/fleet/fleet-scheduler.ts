import type {Upstream} from '../../ports/upstream.ts';
import {
	UpstreamScheduler, type PlacementDemand, type Placement, type PlacementResult,
} from '../../request/delivery/upstream-scheduler.ts';
import type {Service} from '../../version/routes/route-configuration.ts';
import type {Clock} from '../clock.ts';
import type {PeerLoadTracker} from '../peers/peer-load-tracker.ts';
import type {PeerLoad, PeerPrefill} from '../peers/peer-message.ts';
import type {Random} from '../random.ts';
import type {StageDemand} from '../stages/stage-sizer.ts';
import type {DecisionLog} from './decision-log.ts';
import {sampleCandidates} from './candidate-sample.ts';
import {chooseLeastLoaded} from './placement-score.ts';
import {Placements} from './placements.ts';
import {PrefillScheduler} from './prefill-scheduler.ts';
import type {UpstreamRegistry} from './upstream-registry.ts';
import type {UpstreamState} from './upstream-state.ts';
import {UpstreamStates} from './upstream-states.ts';

/** The other daemons, as the scheduler hears from them and tells them. */
export type SchedulerPeers = {
	readonly peerLoads: PeerLoadTracker;
	/** Notes that this daemon's load on an upstream has changed. */
	readonly markLoadChanged: (upstream: string) => void;
	readonly announcePrefill: (reading: PeerPrefill) => void;
};

/** What the scheduler needs. */
export type FleetSchedulerOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly log: DecisionLog;
	readonly registry: UpstreamRegistry;
	readonly peers: SchedulerPeers;
	readonly availabilityZone: string;
	/** Services in force, by name. */
	readonly services: () => ReadonlyMap<string, Service>;
	/** Told when an upstream refuses connections. */
	readonly onUpstreamDown: (upstream: string) => void;
};

/** Chooses upstreams by this daemon's own sends, the load that upstreams state, what the other daemons tell, and the prompt parts that engines keep. */
export class FleetScheduler extends UpstreamScheduler {
	readonly #options: FleetSchedulerOptions;
	readonly #states: UpstreamStates;
	readonly #placements: Placements;
	readonly #prefills: PrefillScheduler;

	constructor(options: FleetSchedulerOptions) {
		super();
		this.#options = options;
		const {peers, onUpstreamDown: onDown} = options;
		this.#states = new UpstreamStates({...options, peerLoads: peers.peerLoads});
		this.#placements = new Placements({
			...options,
			onLoadChanged: peers.markLoadChanged,
			onUpstreamDown: onDown,
			onReleased: () => {
				this.placeQueued();
			},
		});
		this.#prefills = new PrefillScheduler({
			...options, states: this.#states, placements: this.#placements, peerLoads: peers.peerLoads, announcePrefill: peers.announcePrefill,
		});
	}

	/** Takes a change of an upstream's entry. */
	update(upstream: Upstream): void {
		this.#states.update(upstream);
	}

	/** Forgets an upstream that is gone. */
	forget(id: string): void {
		this.#states.forget(id);
	}

	/** This daemon's own load on all upstreams with work. */
	loads(): readonly PeerLoad[] {
		return this.#states.loads();
	}

	/** Prompt tokens that wait at this daemon, by priority. */
	queuedTokens(): ReadonlyMap<number, number> {
		return this.#prefills.queuedTokens();
	}

	/** Takes the prompts that upstreams read for the other daemons. */
	acceptPrefills(readings: readonly PeerPrefill[]): void {
		this.#states.acceptPrefills(readings);
	}

	/** Places waiting prompts as far as upstreams would begin with them soon. */
	placeQueued(): void {
		this.#prefills.placeQueued();
	}

	/** Load of a service's engines of either stage, by what this daemon knows. */
	measureDemand(service: string, slots: number): StageDemand {
		const now = this.#options.clock.now();
		let runs = 0;
		for (const state of this.#states.reachable(service).filter(({upstream}) => upstream.stage === 'decode')) {
			runs += state.runs + this.#states.peerRuns(state, now);
		}

		return {runs, slots, backlogMs: this.#prefills.meanBacklogMs(service, now)};
	}

	isModelService(service: string): boolean {
		return this.#options.services().get(service)?.engine !== undefined;
	}

	hasUntriedUpstream({service, tried}: PlacementDemand): boolean {
		const now = this.#options.clock.now();
		const stage = this.isModelService(service) ? 'decode' : undefined;
		return this.#states.usable(service, stage, tried).some(state => !state.isAvoided(now));
	}

	async placePlain(demand: PlacementDemand): Promise<PlacementResult> {
		const state = this.#chooseLeastLoaded(this.#states.usable(demand.service, undefined, demand.tried), undefined);
		return state === undefined ? this.#placements.refuse(demand, 'noUpstream') : this.#beginRun(state);
	}

	async placePrefill(demand: PlacementDemand): Promise<PlacementResult> {
		return this.#prefills.place(demand);
	}

	placeDecode(demand: PlacementDemand, source: Upstream | undefined): PlacementResult {
		const states = this.#states.usable(demand.service, 'decode', demand.tried);
		const state = this.#chooseLeastLoaded(states, source?.availabilityZone);
		if (state === undefined) {
			return this.#placements.refuse(demand, 'noUpstream');
		}

		const parts = demand.request.prompt?.parts ?? [];
		if (parts.length > 0) {
			// The engine keeps what it fetches like its own.
			state.cache.touch(parts);
			this.#options.peers.announcePrefill({upstream: state.upstream.id, parts});
		}

		return this.#beginRun(state);
	}

	#chooseLeastLoaded(states: readonly UpstreamState[], promptZone: string | undefined): UpstreamState | undefined {
		const now = this.#options.clock.now();
		const {availabilityZone, random} = this.#options;
		const choice = chooseLeastLoaded(sampleCandidates(states, availabilityZone, random).map(state => ({
			id: state.upstream.id,
			runs: state.runs + this.#states.peerRuns(state, now),
			slots: state.upstream.slots,
			isLocal: state.upstream.availabilityZone === availabilityZone,
			isNearPrompt: promptZone === undefined || state.upstream.availabilityZone === promptZone,
			slowness: state.slowness(now),
			failureShare: state.failureShare,
		})), random.next());
		return choice === undefined ? undefined : this.#states.get(choice.id);
	}

	#beginRun(state: UpstreamState): Placement {
		return this.#placements.create(state, {predictedMs: 0, rank: undefined, fetchFrom: undefined}, state.beginRun(0));
	}
}
