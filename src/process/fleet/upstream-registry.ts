import type {Upstream} from '../../ports/upstream.ts';

/** Time after a store outage within which upstreams restore the entries that expired during it, in milliseconds. */
export const storeRecoveryGraceMs = 2000;

/** Time after which an entry that a restored copy lists belongs to a live upstream, in milliseconds: the store removes one that has not written for three heartbeats. */
export const restoredEntryHoldMs = 6000;
/** Removed upstreams that are remembered to detect late entries. */
const maxRemovedUpstreams = 1000;

/** Removed upstreams that a daemon tells others of when they start; the latest ones. */
const maxPastEntries = 100;

/** Last entry of an upstream that is leaving or gone, as far as it tells later entries from earlier ones. */
export type PastEntry = {
	readonly id: string;
	readonly startedAt: number | undefined;
	readonly heartbeatCount: number;
	readonly isDraining: boolean;
	/** True if the entry was removed. */
	readonly isGone: boolean;
};

/** Effect of a registry change on one upstream. */
export type RegistryEvent = {
	readonly kind: 'appeared' | 'changed' | 'restarted' | 'leaving' | 'gone' | 'lapsed';
	readonly upstream: Upstream;
};

type Entry = {
	readonly upstream: Upstream;
	/** Set while the entry is missing after a store outage: the time until which the upstream is still used. */
	readonly expiresAt: number | undefined;
};

/** Upstreams registered on the platform; once an upstream has been seen draining, it gets no new work until it restarts. */
export class UpstreamRegistry {
	readonly #entries = new Map<string, Entry>();
	readonly #servingByService = new Map<string, readonly Upstream[]>();
	/** Last entry of each removed upstream, so that a late entry does not restore it. */
	readonly #removed = new Map<string, Pick<Upstream, 'id' | 'startedAt' | 'heartbeatCount' | 'isDraining'>>();
	/** Highest heartbeat of the entries that were ignored as late since the last one that was applied. */
	readonly #lateHeartbeats = new Map<string, number>();
	/** Entries of removed upstreams that the copy of a restored store lists. */
	readonly #heldBack = new Map<string, Upstream>();
	#isStoreLost = false;
	#storeRecoveredAt = Number.NEGATIVE_INFINITY;
	#storeRestoredAt = Number.NEGATIVE_INFINITY;
	/** Time since which entries of removed upstreams are held back: that of a restore, or of what other daemons told at the start. */
	#heldBackSince = Number.NEGATIVE_INFINITY;

	/** Number of upstreams that accept work. */
	get size(): number {
		return [...this.#entries.values()].filter(({upstream}) => !upstream.isDraining).length;
	}

	/** Records that the store cannot be read; the entries stay unchanged. */
	markStoreLost(): void {
		this.#isStoreLost = true;
	}

	/** Records that the store can be read again; entries that expired during the outage get a grace period in which to return. */
	markStoreRecovered(now: number): void {
		if (this.#isStoreLost) {
			this.#isStoreLost = false;
			this.#startGracePeriod(now);
		}
	}

	/** Records that the store was restored from an older copy; entries that the copy lacks get a grace period, as after an outage. */
	markStoreRestored(now: number): void {
		this.#isStoreLost = false;
		this.#startGracePeriod(now);
		this.#storeRestoredAt = now;
		this.#heldBackSince = now;
		this.#heldBack.clear();
		// The copy holds one older entry of each upstream, as a late page does.
		this.#lateHeartbeats.clear();
	}

	/** Upstreams of a service that accept work. */
	serving(service: string): readonly Upstream[] {
		const known = this.#servingByService.get(service);
		if (known !== undefined) {
			return known;
		}

		const serving = [...this.#entries.values()].map(({upstream}) => upstream).filter(upstream => upstream.service === service && !upstream.isDraining);
		this.#servingByService.set(service, serving);
		return serving;
	}

	/** Returns the upstream if it accepts work. */
	get(id: string): Upstream | undefined {
		const entry = this.#entries.get(id);
		return entry === undefined || entry.upstream.isDraining ? undefined : entry.upstream;
	}

	/** Applies a snapshot of the whole list; entries that are missing from it are removed. */
	replace(upstreams: readonly Upstream[], now: number): readonly RegistryEvent[] {
		const listed = new Set(upstreams.map(({id}) => id));
		const missing = [...this.#entries.keys()].filter(id => !listed.has(id));
		for (const id of [...this.#heldBack.keys()].filter(held => !listed.has(held))) {
			this.#heldBack.delete(id);
		}

		if (now - this.#heldBackSince < storeRecoveryGraceMs) {
			this.#holdBack(upstreams);
		}

		return [
			...upstreams.filter(upstream => !this.#isOfEarlierStart(upstream, now)).flatMap(upstream => this.set(upstream)),
			...missing.flatMap(id => this.remove(id, now)),
		];
	}

	/** Applies one entry; entries may arrive out of order, and draining is final until the upstream restarts. */
	set(entry: Upstream): readonly RegistryEvent[] {
		const {id} = entry;
		const current = this.#entries.get(id)?.upstream;
		const lastSeen = current ?? this.#removed.get(id);
		const isSameStart = lastSeen !== undefined && lastSeen.startedAt === entry.startedAt;
		if (isSameStart && ((current === undefined && (lastSeen.isDraining || entry.heartbeatCount === lastSeen.heartbeatCount)) || this.#isLate(entry, lastSeen))) {
			return [];
		}

		this.#lateHeartbeats.delete(id);
		this.#heldBack.delete(id);

		const upstream = isSameStart && lastSeen.isDraining ? {...entry, isDraining: true} : entry;
		this.#entries.set(id, {upstream, expiresAt: undefined});
		this.#removed.delete(id);
		this.#servingByService.clear();
		if (current === undefined) {
			return [{kind: 'appeared', upstream}];
		}

		if (upstream.isDraining && !current.isDraining) {
			return [{kind: 'leaving', upstream}];
		}

		if (current.startedAt !== upstream.startedAt) {
			return [{kind: 'restarted', upstream}];
		}

		const isSame = current.stage === upstream.stage && current.address === upstream.address && current.isDraining === upstream.isDraining;
		return isSame ? [] : [{kind: 'changed', upstream}];
	}

	/** Upstreams that are still listed and accept no new work. */
	leaving(): readonly Upstream[] {
		return [...this.#entries.values()].map(({upstream}) => upstream).filter(({isDraining}) => isDraining);
	}

	/** Upstreams of a service that are listed, with those that are leaving. */
	listed(service: string): readonly Upstream[] {
		return [...this.#entries.values()].map(({upstream}) => upstream).filter(upstream => upstream.service === service);
	}

	/** Last entries of the upstreams that are leaving or gone. */
	pastEntries(): readonly PastEntry[] {
		const toEntry = ({id, startedAt, heartbeatCount, isDraining}: Omit<PastEntry, 'isGone'>, isGone: boolean): PastEntry => ({
			id, startedAt, heartbeatCount, isDraining, isGone,
		});
		return [
			...this.leaving().map(upstream => toEntry(upstream, false)),
			...[...this.#removed.values()].slice(-maxPastEntries).map(removed => toEntry(removed, true)),
		];
	}

	/** Applies what another daemon knows of upstreams that are leaving or gone, which the list of a restored store may show as serving. */
	inherit(entries: readonly PastEntry[], now: number): readonly RegistryEvent[] {
		this.#heldBackSince = Math.max(this.#heldBackSince, now);
		return entries.flatMap(entry => {
			const {isGone, ...last} = entry;
			const current = this.#entries.get(last.id)?.upstream;
			if (current === undefined) {
				this.#removed.set(last.id, this.#removed.get(last.id) ?? last);
				return [];
			}

			if (!isGone) {
				return this.markLeaving(last.id, last.startedAt);
			}

			if (current.startedAt !== last.startedAt || current.heartbeatCount > last.heartbeatCount) {
				return [];
			}

			this.#heldBack.set(last.id, current);
			return this.#removeNow(current);
		});
	}

	/** Records that an upstream has said that it is leaving, whatever its entry says; news about an earlier start of it is ignored. */
	markLeaving(id: string, startedAt: number | undefined): readonly RegistryEvent[] {
		const entry = this.#entries.get(id);
		if (entry === undefined || entry.upstream.isDraining || entry.upstream.startedAt !== startedAt) {
			return [];
		}

		const upstream = {...entry.upstream, isDraining: true};
		this.#entries.set(id, {...entry, upstream});
		this.#servingByService.clear();
		return [{kind: 'leaving', upstream}];
	}

	/** Applies the removal of an entry; just after a store outage the upstream may be alive although its entry expired. */
	remove(id: string, now: number): readonly RegistryEvent[] {
		this.#heldBack.delete(id);
		const entry = this.#entries.get(id);
		if (entry === undefined) {
			return [];
		}

		const expiresAt = this.#storeRecoveredAt + storeRecoveryGraceMs;
		if (now < expiresAt && !entry.upstream.isDraining) {
			this.#entries.set(id, {upstream: entry.upstream, expiresAt});
			return [{kind: 'lapsed', upstream: entry.upstream}];
		}

		return this.#removeNow(entry.upstream);
	}

	/** Removes entries that have not returned within the grace period, and uses those of removed upstreams that a restored store still lists after a while; neither while the store cannot be read. */
	expire(now: number): readonly RegistryEvent[] {
		if (this.#isStoreLost) {
			return [];
		}

		return [
			...[...this.#entries.values()].flatMap(({upstream, expiresAt}) => expiresAt !== undefined && now >= expiresAt ? this.#removeNow(upstream) : []),
			...now - this.#heldBackSince >= restoredEntryHoldMs ? this.#releaseHeldBack() : [],
		];
	}

	#startGracePeriod(now: number): void {
		this.#storeRecoveredAt = now;
		for (const [id, {upstream, expiresAt}] of this.#entries) {
			if (expiresAt !== undefined) {
				this.#entries.set(id, {upstream, expiresAt: now + storeRecoveryGraceMs});
			}
		}
	}

	#isJustRestored(now: number): boolean {
		return now - this.#storeRestoredAt < storeRecoveryGraceMs;
	}

	/** Remembers the entries of removed upstreams: the copy may be older than the removal, or the upstream may live and have no reason to change its entry. */
	#holdBack(upstreams: readonly Upstream[]): void {
		for (const upstream of upstreams) {
			const removed = this.#entries.has(upstream.id) ? undefined : this.#removed.get(upstream.id);
			if (removed?.isDraining === false && removed.startedAt === upstream.startedAt) {
				this.#heldBack.set(upstream.id, upstream);
			}
		}
	}

	#releaseHeldBack(): readonly RegistryEvent[] {
		const entries = [...this.#heldBack.values()];
		for (const {id} of entries) {
			this.#removed.delete(id);
		}

		return entries.flatMap(entry => this.set(entry));
	}

	/**
	Returns true for an entry that is older than the last one of the same start.

	A page of the list that arrives late holds one entry of each upstream, so an upstream whose heartbeats go on below the last one
	writes now, and the last one came from another writer.
	*/
	#isLate({id, heartbeatCount}: Upstream, lastSeen: Pick<Upstream, 'heartbeatCount'>): boolean {
		const latest = this.#lateHeartbeats.get(id);
		if (heartbeatCount >= lastSeen.heartbeatCount || (latest !== undefined && heartbeatCount > latest)) {
			return false;
		}

		this.#lateHeartbeats.set(id, latest ?? heartbeatCount);
		return true;
	}

	/** Returns true for an entry from the copy of a store that was just restored, if the upstream has been seen to start again since. */
	#isOfEarlierStart({id, startedAt}: Upstream, now: number): boolean {
		const lastSeen = this.#entries.get(id)?.upstream ?? this.#removed.get(id);
		return this.#isJustRestored(now)
			&& startedAt !== undefined && lastSeen?.startedAt !== undefined && startedAt < lastSeen.startedAt;
	}

	#removeNow(upstream: Upstream): readonly RegistryEvent[] {
		this.#entries.delete(upstream.id);
		this.#servingByService.clear();
		this.#removed.set(upstream.id, upstream);
		const [oldest] = this.#removed.keys();
		if (this.#removed.size > maxRemovedUpstreams && oldest !== undefined) {
			this.#removed.delete(oldest);
			this.#lateHeartbeats.delete(oldest);
		}

		return [{kind: 'gone', upstream}];
	}
}
