import type {PeerEntry, PeerScope} from './peer-message.ts';

/** Maximum number of daemons that send to each other directly; with more, the cost would grow with the square of their number. */
export const maxDirectDaemons = 12;
/** Silence after which a relay in use is suspected and skipped, in milliseconds. A relay sends every 100 ms. */
const relayTimeoutMs = 400;
/** Time for which a silent relay is skipped, in milliseconds; doubled each time it is suspected again, up to `maxSuspicionMs`. */
const minSuspicionMs = 2000;
const maxSuspicionMs = 8000;
/** A daemon counts as a relay for this time after it was last used as one, in milliseconds. */
const relayActiveMs = 1000;
/** Silence after which a daemon is removed, in milliseconds. */
const forgetAfterMs = 10_000;

/** A daemon with its address. */
export type PeerMember = PeerEntry & {
	readonly daemon: string;
};

type KnownPeer = {
	member: PeerMember;
	/** Time of the last message of the daemon, received directly or through a relay. */
	lastHeardAt: number;
	/** Time of the last datagram that the daemon itself sent. */
	lastDirectAt: number;
	/** Time of the last datagram that the daemon sent as a relay of its availability zone. */
	lastRelayedAt: number;
	usedAsRelaySince: number | undefined;
	suspectUntil: number;
	suspicionDurationMs: number;
};

const never = Number.NEGATIVE_INFINITY;

/**
Decides to which daemons a message is sent.

Relays keep the cost bounded with many small hosts. Each daemon sends to the relay of its availability zone, the host with the
fastest link. Relays collect the messages and forward them to the daemons of their zone and to each other. Any daemon that
receives messages as a relay acts as one, so that no agreement is needed, and each daemon skips a relay from which it hears nothing.
*/
export class PeerTopology {
	readonly #self: PeerMember;
	readonly #peers = new Map<string, KnownPeer>();
	readonly #everKnown = new Set<string>();
	#usedAsRelayAt = never;

	constructor(self: PeerMember) {
		this.#self = self;
		this.#everKnown.add(self.daemon);
	}

	/** Number of daemons that were ever known, including this one; an upper bound of the number of daemons that share a budget. */
	get knownDaemons(): number {
		return this.#everKnown.size;
	}

	/** Adds or updates a daemon found in the table or in its own message. */
	add(member: PeerMember, now: number): void {
		if (member.daemon === this.#self.daemon) {
			return;
		}

		this.#everKnown.add(member.daemon);
		const known = this.#peers.get(member.daemon);
		if (known?.member.address === member.address) {
			known.member = member;
			return;
		}

		this.#peers.set(member.daemon, {
			member, lastHeardAt: now, lastDirectAt: never, lastRelayedAt: never, usedAsRelaySince: undefined, suspectUntil: never, suspicionDurationMs: minSuspicionMs,
		});
	}

	/** Records that a message of a daemon was received, directly or through a relay. */
	recordMessage(daemon: string, now: number): void {
		const known = this.#peers.get(daemon);
		if (known !== undefined) {
			known.lastHeardAt = now;
		}
	}

	/** Records that a datagram was received from a daemon itself. */
	recordDatagram(daemon: string, scope: PeerScope, now: number): void {
		if (this.forwardsWithinZone(scope)) {
			this.#usedAsRelayAt = now;
		}

		const known = this.#peers.get(daemon);
		if (known !== undefined) {
			known.lastDirectAt = now;
			known.lastHeardAt = now;
			known.suspectUntil = never;
			known.suspicionDurationMs = minSuspicionMs;
			known.lastRelayedAt = scope === 'zones' ? now : known.lastRelayedAt;
		}
	}

	/** Removes daemons that have been silent for too long; returns them with the duration of their silence in milliseconds. */
	forgetSilent(now: number): ReadonlyArray<{readonly daemon: string; readonly silentMs: number}> {
		const lost = [...this.#peers].filter(([, {lastHeardAt}]) => now - lastHeardAt > forgetAfterMs).map(([daemon, {lastHeardAt}]) => ({daemon, silentMs: now - lastHeardAt}));
		for (const {daemon} of lost) {
			this.#peers.delete(daemon);
		}

		return lost;
	}

	/** True while daemons send to each other directly. */
	get isDirect(): boolean {
		return this.#peers.size < maxDirectDaemons;
	}

	/** True while other daemons use this one as a relay, or it would choose itself. */
	isRelay(now: number): boolean {
		return now - this.#usedAsRelayAt < relayActiveMs || (!this.isDirect && this.#chooseRelay(this.#self.availabilityZone, now) === undefined);
	}

	/** True when messages with this scope are forwarded within the own availability zone. */
	forwardsWithinZone(scope: PeerScope): boolean {
		return scope === 'zones' || this.forwardsToOtherZones(scope);
	}

	/** True when messages with this scope are forwarded to the other availability zones. This includes direct ones while this daemon uses relays, because their sender may know fewer daemons. */
	forwardsToOtherZones(scope: PeerScope): boolean {
		return scope === 'own' || (scope === 'direct' && !this.isDirect);
	}

	/** Daemons to which this one sends its own load: all, or the relay of its availability zone; none if it is the relay itself. */
	ownTargets(now: number): readonly PeerMember[] {
		if (this.isDirect) {
			return [...this.#peers.values()].map(({member}) => member);
		}

		const relay = this.#chooseRelay(this.#self.availabilityZone, now);
		return relay === undefined ? [] : [relay];
	}

	/** First relay of the zone while it is suspected and therefore skipped. It still gets a message now and then, so that its return is noticed. */
	suspectedRelay(now: number): PeerMember | undefined {
		const [first] = this.#inZone(this.#self.availabilityZone);
		return first !== undefined && now < first.suspectUntil && this.#isPreferredRelay(first.member, this.#self) ? first.member : undefined;
	}

	/** Daemons of the own availability zone, to which a relay forwards messages. */
	zoneTargets(): readonly PeerMember[] {
		return this.#inZone(this.#self.availabilityZone).map(({member}) => member);
	}

	/** Relays of the other availability zones: those that were recently heard as relays, or else the one that would be chosen. */
	otherRelays(now: number): readonly PeerMember[] {
		const zones = new Set([...this.#peers.values()].map(({member}) => member.availabilityZone));
		zones.delete(this.#self.availabilityZone);
		return [...zones].flatMap(zone => {
			const activeRelays = this.#inZone(zone).filter(({lastRelayedAt}) => now - lastRelayedAt < relayActiveMs).map(({member}) => member);
			return activeRelays.length > 0 ? activeRelays : [this.#chooseRelay(zone, now)].filter(member => member !== undefined);
		});
	}

	/** Returns the zero-based rank of this daemon among those that were recently heard, in the order of preference as relays. */
	relayRank(now: number): number {
		return this.#rank(now, () => true);
	}

	/** Returns the rank of this daemon among those of its availability zone in the same way. */
	zoneRank(now: number): number {
		return this.#rank(now, ({availabilityZone}) => availabilityZone === this.#self.availabilityZone);
	}

	/** Number of daemons of the own availability zone, including this one. */
	get zoneSize(): number {
		let size = 1;
		for (const {member} of this.#peers.values()) {
			size += member.availabilityZone === this.#self.availabilityZone ? 1 : 0;
		}

		return size;
	}

	/** The other daemons that have been heard lately. */
	get members(): readonly PeerMember[] {
		return [...this.#peers.values()].map(({member}) => member);
	}

	/** Returns the address of a daemon, if it is known. */
	address(daemon: string): string | undefined {
		return this.#peers.get(daemon)?.member.address;
	}

	#rank(now: number, isRival: (member: PeerMember) => boolean): number {
		let rank = 0;
		for (const {lastHeardAt, member} of this.#peers.values()) {
			rank += now - lastHeardAt < relayActiveMs && isRival(member) && this.#isPreferredRelay(member, this.#self) ? 1 : 0;
		}

		return rank;
	}

	/** Chooses the first daemon of an availability zone that is not suspected; `undefined` means this daemon itself, or none. */
	#chooseRelay(zone: string, now: number): PeerMember | undefined {
		const isOwnZone = zone === this.#self.availabilityZone;
		for (const known of this.#inZone(zone)) {
			if (isOwnZone && this.#isPreferredRelay(this.#self, known.member)) {
				return undefined;
			}

			if (this.#isUsable(known, now)) {
				return known.member;
			}
		}

		return undefined;
	}

	#isUsable(known: KnownPeer, now: number): boolean {
		if (now < known.suspectUntil) {
			return false;
		}

		known.usedAsRelaySince ??= now;
		if (now - Math.max(known.lastDirectAt, known.usedAsRelaySince) <= relayTimeoutMs) {
			return true;
		}

		known.usedAsRelaySince = undefined;
		known.suspectUntil = now + known.suspicionDurationMs;
		known.suspicionDurationMs = Math.min(maxSuspicionMs, known.suspicionDurationMs * 2);
		return false;
	}

	#inZone(zone: string): readonly KnownPeer[] {
		return [...this.#peers.values()].filter(({member}) => member.availabilityZone === zone).toSorted((a, b) => this.#isPreferredRelay(a.member, b.member) ? -1 : 1);
	}

	#isPreferredRelay(a: PeerMember, b: PeerMember): boolean {
		return a.linkMbps === b.linkMbps ? a.daemon < b.daemon : a.linkMbps > b.linkMbps;
	}
}
