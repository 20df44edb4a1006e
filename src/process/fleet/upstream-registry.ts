import type {Upstream} from '../../ports/upstream.ts';

/** Time after the store's return within which entries that lapsed meanwhile are back, in milliseconds. */
export const storeRecoveryGraceMs = 2000;

const maxRemovedUpstreams = 1000;

/** What a change of the registry means for work in flight. */
export type RegistryEvent = {
	readonly kind: 'appeared' | 'changed' | 'restarted' | 'leaving' | 'gone' | 'lapsed';
	readonly upstream: Upstream;
};

type Entry = {
	readonly upstream: Upstream;
	/** Set while the entry is missing and may come back; the time until which it is used. */
	readonly expiresAt: number | undefined;
};

/** Upstreams as the platform lists them; one that was seen leaving takes no new work under that start again. */
export class UpstreamRegistry {
	readonly #entries = new Map<string, Entry>();
	readonly #servingByService = new Map<string, readonly Upstream[]>();
	/** Last entry of each upstream that is gone, so that a late entry does not bring it back. */
	readonly #removed = new Map<string, Upstream>();
	#isStoreLost = false;
	#storeRecoveredAt = Number.NEGATIVE_INFINITY;

	/** Number of upstreams that take work. */
	get size(): number {
		return [...this.#entries.values()].filter(({upstream}) => !upstream.isDraining).length;
	}

	/** Notes that the store cannot be read; the entries stay as they are. */
	markStoreLost(): void {
		this.#isStoreLost = true;
	}

	/** Notes that the store can be read again; entries that lapsed meanwhile have a short time to come back. */
	markStoreRecovered(now: number): void {
		if (this.#isStoreLost) {
			this.#isStoreLost = false;
			this.#storeRecoveredAt = now;
		}
	}

	/** Upstreams of a service that take work. */
	serving(service: string): readonly Upstream[] {
		const known = this.#servingByService.get(service);
		if (known !== undefined) {
			return known;
		}

		const serving = [...this.#entries.values()].map(({upstream}) => upstream).filter(upstream => upstream.service === service && !upstream.isDraining);
		this.#servingByService.set(service, serving);
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
		const earlier = last ?? this.#removed.get(id);
		const isSameStart = earlier !== undefined && earlier.startedAt === entry.startedAt;
		if (isSameStart && (entry.heartbeatCount < earlier.heartbeatCount || (last === undefined && (earlier.isDraining || entry.heartbeatCount === earlier.heartbeatCount)))) {
			return [];
		}

		const upstream = isSameStart && earlier.isDraining ? {...entry, isDraining: true} : entry;
		this.#entries.set(id, {upstream, expiresAt: undefined});
		this.#removed.delete(id);
		this.#servingByService.clear();
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

		const lapsesAt = this.#storeRecoveredAt + storeRecoveryGraceMs;
		if (now < lapsesAt && !entry.upstream.isDraining) {
			this.#entries.set(id, {upstream: entry.upstream, expiresAt: lapsesAt});
			return [{kind: 'lapsed', upstream: entry.upstream}];
		}

		return this.#removeNow(entry.upstream);
	}

	/** Removes entries that have not come back in time. */
	expire(now: number): readonly RegistryEvent[] {
		return [...this.#entries.values()].flatMap(({upstream, expiresAt: lapsesAt}) => lapsesAt !== undefined && now >= lapsesAt ? this.#removeNow(upstream) : []);
	}

	#removeNow(upstream: Upstream): readonly RegistryEvent[] {
		this.#entries.delete(upstream.id);
		this.#servingByService.clear();
		this.#removed.set(upstream.id, upstream);
		const [oldest] = this.#removed.keys();
		if (this.#removed.size > maxRemovedUpstreams && oldest !== undefined) {
			this.#removed.delete(oldest);
		}

		return [{kind: 'gone', upstream}];
	}
}
