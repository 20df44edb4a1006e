import type {Host, HostState} from '../ports/host-list.ts';
import type {Call} from '../request/call.ts';

/** An upstream with the state that this daemon knows, which is newer than the listed one. */
export type Upstream = Host & {
	/** `leaving` as soon as any daemon has seen a sign of it. */
	readonly state: HostState;
};

/** What the directory reads from the rest of the daemon. */
export type UpstreamDirectoryOptions = {
	/** Hosts of the last list read. */
	readonly hosts: () => readonly Host[];
	/** True while the newest sign says that the upstream leaves. */
	readonly isLeaving: (upstream: string) => boolean;
	/** Raised by each change of what `isLeaving` returns. */
	readonly leavingVersion: () => number;
	/** True when all members of an availability zone are dead. */
	readonly isZoneDead: (zone: string) => boolean;
};

/** Upstreams by model or plain service, with their availability zone and present state. */
export class UpstreamDirectory {
	readonly #options: UpstreamDirectoryOptions;
	#indexed: readonly Host[] = [];
	#indexedVersion = -1;
	#liveByService: ReadonlyMap<string, readonly Upstream[]> = new Map();
	/** Zones to which the last connection failed. */
	readonly #unreachableZones = new Set<string>();
	#byOrigin: ReadonlyMap<string, Host> = new Map();

	constructor(options: UpstreamDirectoryOptions) {
		this.#options = options;
	}

	/** All upstreams, live and leaving. */
	get upstreams(): readonly Upstream[] {
		return this.#options.hosts().filter(host => host.kind !== 'daemon').map(host => this.#withCurrentState(host));
	}

	/** Models that some live engine serves, in order. */
	get models(): readonly string[] {
		const engines = this.upstreams.filter(upstream => upstream.kind === 'engine' && upstream.state === 'live');
		return [...new Set(engines.map(engine => engine.serves))].toSorted();
	}

	/** Upstreams that may get new work for a call; those of a zone that is cut off come into play when there are no others. */
	eligibleUpstreams(call: Call): readonly Upstream[] {
		this.#updateIndex();
		const live = this.#liveByService.get(toServiceKey(call)) ?? [];
		const cutOff = [...this.#unreachableZones].filter(zone => this.#options.isZoneDead(zone));
		if (cutOff.length === 0) {
			return live;
		}

		const reached = live.filter(upstream => !cutOff.includes(upstream.availabilityZone));
		return reached.length > 0 ? reached : live;
	}

	/** Takes in whether a connection to an upstream was established; the last one counts for its zone. */
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

	/** Upstream at a base URL. */
	findByOrigin(origin: string): Host | undefined {
		this.#updateIndex();
		return this.#byOrigin.get(origin);
	}

	/** A mark decides alone: a listed state has been taken in as a sign, and older than a newer sign it has no say. */
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
