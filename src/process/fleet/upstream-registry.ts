import type {Upstream} from '../../ports/upstream.ts';

/** Time after the store's return within which entries that lapsed meanwhile are back, in milliseconds. */
export const returnMs = 2000;

const rememberedGone = 1000;

/** What a change of the registry means for work in flight. */
export type RegistryEvent = {
	readonly kind: 'appeared' | 'changed' | 'restarted' | 'leaving' | 'gone' | 'lapsed';
	readonly upstream: Upstream;
};

type Entry = {
	readonly upstream: Upstream;
	/** Set while the entry is missing and may come back; the time until which it is used. */
	readonly lapsesAt: number | undefined;
};

/** Upstreams as the platform lists them; one that was seen leaving takes no new work under that start again. */
export class UpstreamRegistry {
	readonly #entries = new Map<string, Entry>();
	readonly #services = new Map<string, readonly Upstream[]>();
	/** Last entry of each upstream that is gone, so that a late entry does not bring it back. */
	readonly #gone = new Map<string, Upstream>();
	#isStoreLost = false;
	#returnedAt = Number.NEGATIVE_INFINITY;

	/** Number of upstreams that take work. */
	get size(): number {
		return [...this.#entries.values()].filter(({upstream}) => !upstream.isDraining).length;
	}

	/** Notes that the store cannot be read; the entries stay as they are. */
	storeLost(): void {
		this.#isStoreLost = true;
	}

	/** Notes that the store can be read again; entries that lapsed meanwhile have a short time to come back. */
	storeReturned(now: number): void {
		if (this.#isStoreLost) {
			this.#isStoreLost = false;
			this.#returnedAt = now;
		}
	}

	/** Upstreams of a service that take work. */
	serving(service: string): readonly Upstream[] {
		const known = this.#services.get(service);
		if (known !== undefined) {
			return known;
		}

		const serving = [...this.#entries.values()].map(({upstream}) => upstream).filter(upstream => upstream.service === service && !upstream.isDraining);
		this.#services.set(service, serving);
		return serving;
	}

	/** Returns the upstream while it takes work. */
	get(id: string): Upstream | undefined {
		const entry = this.#entries.get(id);
		return entry === undefined || entry.upstream.isDraining ? undefined : entry.upstream;
	}

	/** Takes the whole list; entries that are missing from it are removed. */
	replace(upstreams: readonly Upstream[], now: number): readonly RegistryEvent[] {
		const listed = new Set(upstreams.map(({id}) => id));
		const missing = [...this.#entries.keys()].filter(id => !listed.has(id));
		return [
			...upstreams.flatMap(upstream => this.set(upstream)),
			...missing.flatMap(id => this.remove(id, now)),
		];
	}

	/** Takes one entry; entries may arrive out of order, and leaving is final for one start. */
	set(entry: Upstream): readonly RegistryEvent[] {
		const {id} = entry;
		const last = this.#entries.get(id)?.upstream;
		const earlier = last ?? this.#gone.get(id);
		const isSameStart = earlier !== undefined && earlier.startedAt === entry.startedAt;
		if (isSameStart && (entry.heartbeat < earlier.heartbeat || (last === undefined && (earlier.isDraining || entry.heartbeat === earlier.heartbeat)))) {
			return [];
		}

		const upstream = isSameStart && earlier.isDraining ? {...entry, isDraining: true} : entry;
		this.#entries.set(id, {upstream, lapsesAt: undefined});
		this.#gone.delete(id);
		this.#services.clear();
		if (last === undefined) {
			return [{kind: 'appeared', upstream}];
		}

		if (upstream.isDraining && !last.isDraining) {
			return [{kind: 'leaving', upstream}];
		}

		if (last.startedAt !== upstream.startedAt) {
			return [{kind: 'restarted', upstream}];
		}

		const isSame = last.stage === upstream.stage && last.address === upstream.address && last.isDraining === upstream.isDraining;
		return isSame ? [] : [{kind: 'changed', upstream}];
	}

	/** Takes the removal of an entry; right after an outage of the store it may only have lapsed. */
	remove(id: string, now: number): readonly RegistryEvent[] {
		const entry = this.#entries.get(id);
		if (entry === undefined) {
			return [];
		}

		const lapsesAt = this.#returnedAt + returnMs;
		if (now < lapsesAt && !entry.upstream.isDraining) {
			this.#entries.set(id, {upstream: entry.upstream, lapsesAt});
			return [{kind: 'lapsed', upstream: entry.upstream}];
		}

		return this.#drop(entry.upstream);
	}

	/** Removes entries that have not come back in time. */
	expire(now: number): readonly RegistryEvent[] {
		return [...this.#entries.values()].flatMap(({upstream, lapsesAt}) => lapsesAt !== undefined && now >= lapsesAt ? this.#drop(upstream) : []);
	}

	#drop(upstream: Upstream): readonly RegistryEvent[] {
		this.#entries.delete(upstream.id);
		this.#services.clear();
		this.#gone.set(upstream.id, upstream);
		const [oldest] = this.#gone.keys();
		if (this.#gone.size > rememberedGone && oldest !== undefined) {
			this.#gone.delete(oldest);
		}

		return [{kind: 'gone', upstream}];
	}
}
