import type {PeerEntry, PeerScope} from './peer-message.ts';

/** Up to so many daemons tell each other directly; beyond, the cost would grow with the square of their number. */
export const maxDirectDaemons = 12;
/** A relay that was used for so long without being heard is passed over, in milliseconds; a relay sends each 100 ms. */
const relayTimeoutMs = 400;
const minSuspicionMs = 2000;
const maxSuspicionMs = 8000;
/** A daemon is a relay while others used it as one within this time, in milliseconds. */
const relayActiveMs = 1000;
/** Daemons that were not heard for so long are forgotten, in milliseconds. */
const forgetAfterMs = 10_000;

/** A daemon with the way to reach it. */
export type PeerMember = PeerEntry & {
	readonly daemon: string;
};

type KnownPeer = {
	member: PeerMember;
	/** Last message of the daemon, by whatever way. */
	lastHeardAt: number;
	/** Last datagram that the daemon itself sent. */
	lastDirectAt: number;
	/** Last datagram that it sent as the relay of its availability zone. */
	lastRelayedAt: number;
	usedAsRelaySince: number | undefined;
	suspectUntil: number;
	suspicionDurationMs: number;
};

const never = Number.NEGATIVE_INFINITY;

/**
Decides which daemons a message goes to.

Answers the load of many small hosts: each daemon tells the relay of its availability zone, the host with the widest link; relays
gather what they hear and tell the daemons of their zone and each other. Any daemon that is told as a relay acts as one, so that
daemons need no agreement, and each passes over a relay that it does not hear.
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

	/** Daemons that were ever known, this one included; it bounds the number of those that share a budget. */
	get knownDaemons(): number {
		return this.#everKnown.size;
	}

	/** Notes a daemon from the table or from its own message. */
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

	/** Notes that a message of a daemon came in. */
	recordMessage(daemon: string, now: number): void {
		const known = this.#peers.get(daemon);
		if (known !== undefined) {
			known.lastHeardAt = now;
		}
	}

	/** Notes that a daemon itself sent a datagram. */
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

	/** Forgets daemons that have been silent for long, and returns them with the time of their silence in milliseconds. */
	forgetSilent(now: number): ReadonlyArray<{readonly daemon: string; readonly silentMs: number}> {
		const lost = [...this.#peers].filter(([, {lastHeardAt}]) => now - lastHeardAt > forgetAfterMs).map(([daemon, {lastHeardAt}]) => ({daemon, silentMs: now - lastHeardAt}));
		for (const {daemon} of lost) {
			this.#peers.delete(daemon);
		}

		return lost;
	}

	/** True while daemons tell each other directly. */
	get isDirect(): boolean {
		return this.#peers.size < maxDirectDaemons;
	}

	/** True while others use this daemon as a relay, or it would use itself. */
	isRelay(now: number): boolean {
		return now - this.#usedAsRelayAt < relayActiveMs || (!this.isDirect && this.#chooseRelay(this.#self.availabilityZone, now) === undefined);
	}

	/** True when what comes with this scope is passed on to the own availability zone. */
	forwardsWithinZone(scope: PeerScope): boolean {
		return scope === 'zones' || this.forwardsToOtherZones(scope);
	}

	/** True when what comes with this scope is passed on to the other availability zones; a daemon that tells others directly may know fewer than this one. */
	forwardsToOtherZones(scope: PeerScope): boolean {
		return scope === 'own' || (scope === 'direct' && !this.isDirect);
	}

	/** Daemons to which this one tells its own load: all, or the relay of its availability zone; none if it is the relay. */
	ownTargets(now: number): readonly PeerMember[] {
		if (this.isDirect) {
			return [...this.#peers.values()].map(({member}) => member);
		}

		const relay = this.#chooseRelay(this.#self.availabilityZone, now);
		return relay === undefined ? [] : [relay];
	}

	/** Relay that was passed over and would be used otherwise; it is still told now and then, so that it is heard once it returns. */
	suspectedRelay(now: number): PeerMember | undefined {
		const [first] = this.#inZone(this.#self.availabilityZone);
		return first !== undefined && now < first.suspectUntil && this.#isPreferredRelay(first.member, this.#self) ? first.member : undefined;
	}

	/** Daemons of the own availability zone, to which a relay passes on what it hears. */
	zoneTargets(): readonly PeerMember[] {
		return this.#inZone(this.#self.availabilityZone).map(({member}) => member);
	}

	/** Relays of the other availability zones: those that were heard as such lately, or the one that would be used. */
	otherRelays(now: number): readonly PeerMember[] {
		const zones = new Set([...this.#peers.values()].map(({member}) => member.availabilityZone));
		zones.delete(this.#self.availabilityZone);
		return [...zones].flatMap(zone => {
			const heard = this.#inZone(zone).filter(({lastRelayedAt}) => now - lastRelayedAt < relayActiveMs).map(({member}) => member);
			return heard.length > 0 ? heard : [this.#chooseRelay(zone, now)].filter(member => member !== undefined);
		});
	}

	/** Place of this daemon among those that were heard lately, in the order in which they would be relays; the first is 0. */
	relayRank(now: number): number {
		return [...this.#peers.values()].filter(({lastHeardAt, member}) => now - lastHeardAt < relayActiveMs && this.#isPreferredRelay(member, this.#self)).length;
	}

	/** The first daemon of an availability zone that is not suspected; undefined stands for this daemon itself, or for none. */
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
