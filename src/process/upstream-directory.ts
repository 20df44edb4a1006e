import type {Host, HostState} from '../ports/host-list.ts';
import type {Call} from '../request/call.ts';

/** Upstream with the state that this daemon knows, which may be newer than the listed one. */
export type Upstream = Host & {
	/** `leaving` as soon as any daemon has seen a sign that the upstream is leaving. */
	readonly state: HostState;
};

/** Dependencies of the upstream directory. */
export type UpstreamDirectoryOptions = {
	/** Hosts in the last list that was read. */
	readonly hosts: () => readonly Host[];
	/** True while the newest sign says that the upstream is leaving. */
	readonly isLeaving: (upstream: string) => boolean;
	/** Increases whenever a result of `isLeaving` may have changed. */
	readonly leavingVersion: () => number;
	/** True when all members of an availability zone are dead. */
	readonly isZoneDead: (zone: string) => boolean;
};

/** Index of upstreams by model or plain service, with their current state. */
export class UpstreamDirectory {
	readonly #options: UpstreamDirectoryOptions;
	#indexed: readonly Host[] = [];
	#indexedVersion = -1;
	#liveByService: ReadonlyMap<string, readonly Upstream[]> = new Map();
	/** Availability zones to which the most recent connection attempt failed. */
	readonly #unreachableZones = new Set<string>();
	#byOrigin: ReadonlyMap<string, Host> = new Map();

	constructor(options: UpstreamDirectoryOptions) {
		this.#options = options;
	}

	/** All upstreams, live and leaving. */
	get upstreams(): readonly Upstream[] {
		return this.#options.hosts().filter(host => host.kind !== 'daemon').map(host => this.#withCurrentState(host));
	}

	/** Models served by at least one live engine, sorted. */
	get models(): readonly string[] {
		const engines = this.upstreams.filter(upstream => upstream.kind === 'engine' && upstream.state === 'live');
		return [...new Set(engines.map(engine => engine.serves))].toSorted();
	}

	/**
	Upstreams that may get new work for a call.

	A zone is cut off when the most recent connection attempt to it failed and all its members are dead; its upstreams are returned only if there are no others.
	*/
	eligibleUpstreams(call: Call): readonly Upstream[] {
		this.#updateIndex();
		const live = this.#liveByService.get(toServiceKey(call)) ?? [];
		const cutOff = [...this.#unreachableZones].filter(zone => this.#options.isZoneDead(zone));
		if (cutOff.length === 0) {
			return live;
		}

		const reachable = live.filter(upstream => !cutOff.includes(upstream.availabilityZone));
		return reachable.length > 0 ? reachable : live;
	}

	/** Records whether a connection to an upstream was established; the most recent result counts for the whole zone. */
	recordConnection(origin: string, isReached: boolean): void {
		const zone = this.findByOrigin(origin)?.availabilityZone;
		if (zone !== undefined) {
			if (isReached) {
				this.#unreachableZones.delete(zone);
			} else {
				this.#unreachableZones.add(zone);
			}
		}
	}

	/** Finds the upstream with a base URL. */
	findByOrigin(origin: string): Host | undefined {
		this.#updateIndex();
		return this.#byOrigin.get(origin);
	}

	/** Ignores the listed state: it has already been recorded as a sign and may be older than the newest sign, which alone decides. */
	#withCurrentState(host: Host): Upstream {
		return {...host, state: this.#options.isLeaving(host.id) ? 'leaving' : 'live'};
	}

	#updateIndex(): void {
		const hosts = this.#options.hosts();
		const version = this.#options.leavingVersion();
		if (hosts === this.#indexed && version === this.#indexedVersion) {
			return;
		}

		const {upstreams} = this;
		this.#indexed = hosts;
		this.#indexedVersion = version;
		this.#liveByService = Map.groupBy(upstreams.filter(upstream => upstream.state === 'live'), upstream => `${upstream.kind} ${upstream.serves}`);
		this.#byOrigin = new Map(upstreams.map(host => [`http://${host.address}`, host]));
	}
}

function toServiceKey(call: Call): string {
	return call.kind === 'model' ? `engine ${call.model}` : `service ${call.service}`;
}
