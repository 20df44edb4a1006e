import {Phase} from '../../generated/peer_pb.js';
import type {
	Digest, Heartbeat, Member, MemberCondition, MembershipEvent,
} from './member.ts';
import {hash32, rankByRendezvous} from './rendezvous.ts';

/** Silence after which a member of the own availability zone is suspect and gets direct heartbeats, in milliseconds. */
export const suspectAfterMs = 3000;
/** Silence after which a member of the own availability zone is dead, in milliseconds. */
export const deadAfterMs = 6000;
/** Silence of all members of another zone after which the whole zone counts as dead, in milliseconds. */
const zoneDeadAfterMs = 9000;
/** Silence after which one member of another zone is dead, in milliseconds. Its death usually arrives earlier as news; this limit applies when the news is lost. */
const remoteDeadAfterMs = 60_000;
const remoteSuspectAfterMs = 30_000;
const gatewaysPerZone = 2;
const maxMembers = 2048;
const maxLocalDigestEntries = 48;
const maxRemoteDigestEntriesWithinZone = 28;
const maxRemoteDigestEntriesAcrossZones = 8;

type MemberRecord = {-readonly [Key in keyof Member]: Member[Key]} & {
	readonly hash: number;
	isListed: boolean;
};

/** A member as listed in the host list. */
export type ListedMember = Pick<Member, 'id' | 'availabilityZone' | 'peerUrl'>;

/** Members other than this daemon, with the evidence that they are alive. */
export class MemberTable {
	readonly #zone: string;
	readonly #onEvent: (event: MembershipEvent) => void;
	readonly #records = new Map<string, MemberRecord>();
	/** `undefined` marks a hash that two ids share; digest entries with that hash are ignored. */
	readonly #byHash = new Map<number, MemberRecord | undefined>();
	readonly #gatewayCache = new Map<string, readonly string[]>();
	#otherZonesCache: readonly string[] | undefined;
	#digestOffset = 0;

	constructor(zone: string, onEvent: (event: MembershipEvent) => void) {
		this.#zone = zone;
		this.#onEvent = onEvent;
	}

	/** Members in no particular order. */
	get members(): readonly Member[] {
		return [...this.#records.values()];
	}

	/** Names of the other availability zones that have members. */
	get otherZones(): readonly string[] {
		this.#otherZonesCache ??= [...new Set(this.members.map(member => member.availabilityZone))].filter(zone => zone !== this.#zone);
		return this.#otherZonesCache;
	}

	/** Member with an id; `undefined` when it is not known. */
	get(id: string): Member | undefined {
		return this.#records.get(id);
	}

	/** Returns the members of a zone that are not dead, or all its members when all are dead. */
	reachable(zone: string): readonly Member[] {
		const members = this.members.filter(member => member.availabilityZone === zone);
		const liveMembers = members.filter(member => member.condition !== 'dead');
		return liveMembers.length > 0 ? liveMembers : members;
	}

	/** Returns the ids of the gateways of a zone. `self` is the id of this daemon, given for its own zone so that it can be a gateway. */
	gateways(zone: string, self?: string): readonly string[] {
		const cached = this.#gatewayCache.get(zone);
		if (cached !== undefined) {
			return cached;
		}

		const ids = this.reachable(zone).filter(member => self === undefined || member.condition !== 'dead').map(member => member.id);
		const gateways = rankByRendezvous(`gateway ${zone}`, self === undefined ? ids : [...ids, self]).slice(0, gatewaysPerZone);
		this.#gatewayCache.set(zone, gateways);
		return gateways;
	}

	/** Updates the table with the daemons of a host list; members that are dead and no longer listed are removed. */
	updateListed(listed: readonly ListedMember[], now: number): void {
		const ids = new Set(listed.map(member => member.id));
		for (const record of this.#records.values()) {
			record.isListed = ids.has(record.id);
			if (!record.isListed && record.condition === 'dead') {
				this.#remove(record);
			}
		}

		for (const member of listed) {
			const record = this.#records.get(member.id) ?? this.#add(member, now);
			if (record?.incarnation === 0) {
				record.peerUrl = member.peerUrl;
			}

			if (record !== undefined) {
				record.isListed = true;
			}
		}
	}

	/** Records a heartbeat received from the member itself. Returns false for one of an earlier incarnation, and for a new member when the table is full. */
	recordHeartbeat(heartbeat: Heartbeat, now: number): boolean {
		const known = this.#records.get(heartbeat.daemonId) ?? this.#add({
			id: heartbeat.daemonId, availabilityZone: heartbeat.availabilityZone, peerUrl: heartbeat.peerUrl,
		}, now);
		if (known === undefined || heartbeat.incarnation < known.incarnation) {
			return false;
		}

		const isNewVersion = heartbeat.configurationVersion > known.configurationVersion;
		known.incarnation = heartbeat.incarnation;
		known.peerUrl = heartbeat.peerUrl;
		known.phase = heartbeat.phase;
		known.configurationVersion = Math.max(known.configurationVersion, heartbeat.configurationVersion);
		known.sequence = Math.max(known.sequence, heartbeat.sequence);
		known.evidenceAt = now;
		this.#setCondition(known, 'alive');
		if (isNewVersion) {
			this.#onEvent({kind: 'version', member: {...known}});
		}

		return true;
	}

	/** Records a sequence of a member that was learned through another member. */
	recordIndirectEvidence(id: string, sequence: number, now: number): void {
		const record = this.#records.get(id);
		if (record !== undefined) {
			this.#advanceSequence(record, sequence, now);
		}
	}

	/** Updates sequences with those of a digest; the entry of this daemon itself is ignored, because the table does not contain it. */
	mergeDigest(digest: Digest, now: number): void {
		for (const [index, hash] of digest.members.entries()) {
			const record = this.#byHash.get(hash);
			const sequence = digest.sequences[index];
			if (record !== undefined && sequence !== undefined) {
				this.#advanceSequence(record, sequence, now);
			}
		}
	}

	/** Applies news of a member's state. News of a death is ignored when a higher sequence is known, or while a member of the own zone has not been silent for `suspectAfterMs`. */
	applyMemberState(state: {readonly id: string; readonly sequence: number; readonly alive: boolean; readonly phase: Phase}, now: number): void {
		const record = this.#records.get(state.id);
		if (record === undefined || state.sequence < record.sequence) {
			return;
		}

		if (state.alive) {
			record.phase = state.phase;
			this.#advanceSequence(record, state.sequence, now);
		} else if (record.availabilityZone !== this.#zone || now - record.evidenceAt >= suspectAfterMs) {
			record.sequence = state.sequence;
			this.#setCondition(record, 'dead');
		}
	}

	/** Marks members that have been silent for too long as suspect or dead. */
	expire(now: number): void {
		const zoneEvidence = new Map<string, number>();
		for (const {availabilityZone, evidenceAt} of this.#records.values()) {
			zoneEvidence.set(availabilityZone, Math.max(evidenceAt, zoneEvidence.get(availabilityZone) ?? evidenceAt));
		}

		for (const record of this.#records.values()) {
			const isLocal = record.availabilityZone === this.#zone;
			const silence = now - record.evidenceAt;
			const isCutOff = !isLocal && now - zoneEvidence.get(record.availabilityZone)! >= zoneDeadAfterMs;
			if (isCutOff || silence >= (isLocal ? deadAfterMs : remoteDeadAfterMs)) {
				this.#setCondition(record, 'dead');
			} else if (silence >= (isLocal ? suspectAfterMs : remoteSuspectAfterMs) && record.condition === 'alive') {
				this.#setCondition(record, 'suspect');
			}
		}
	}

	/** Excludes a pause of this daemon itself from the silence of the other members. */
	compensateForPause(pausedMs: number): void {
		for (const record of this.#records.values()) {
			if (record.condition !== 'dead') {
				record.evidenceAt += pausedMs;
			}
		}
	}

	/** Creates the digest for one message: members of the own zone and a rotating selection of those of the other zones. */
	digest(targetZone: string): Digest {
		const maxRemoteEntries = targetZone === this.#zone ? maxRemoteDigestEntriesWithinZone : maxRemoteDigestEntriesAcrossZones;
		const living = this.members.filter(member => member.sequence > 0 && member.condition !== 'dead');
		const local = living.filter(member => member.availabilityZone === this.#zone);
		const remote = living.filter(member => member.availabilityZone !== this.#zone);
		const chosen = [...this.#takeRotating(local, maxLocalDigestEntries), ...this.#takeRotating(remote, maxRemoteEntries)];
		this.#digestOffset += maxRemoteEntries;
		return {
			members: chosen.map(member => (member as MemberRecord).hash),
			sequences: chosen.map(member => member.sequence),
		};
	}

	#takeRotating(members: readonly Member[], limit: number): readonly Member[] {
		if (members.length <= limit) {
			return members;
		}

		const start = this.#digestOffset % members.length;
		return [...members.slice(start), ...members.slice(0, start)].slice(0, limit);
	}

	#advanceSequence(record: MemberRecord, sequence: number, now: number): void {
		if (sequence > record.sequence) {
			record.sequence = sequence;
			record.evidenceAt = now;
			this.#setCondition(record, 'alive');
		}
	}

	#setCondition(record: MemberRecord, condition: MemberCondition): void {
		if (record.condition !== condition) {
			const previous = record.condition;
			record.condition = condition;
			this.#gatewayCache.delete(record.availabilityZone);
			this.#onEvent({kind: 'member', member: {...record}, previous});
		}
	}

	#add(member: ListedMember, now: number): MemberRecord | undefined {
		if (this.#records.size >= maxMembers) {
			return undefined;
		}

		const hash = hash32(member.id);
		const record: MemberRecord = {
			...member,
			hash,
			incarnation: 0,
			sequence: 0,
			phase: Phase.UNSPECIFIED,
			configurationVersion: 0,
			condition: 'alive',
			evidenceAt: now,
			isListed: false,
		};
		this.#records.set(member.id, record);
		this.#gatewayCache.delete(member.availabilityZone);
		this.#otherZonesCache = undefined;
		this.#byHash.set(hash, this.#byHash.has(hash) ? undefined : record);
		this.#onEvent({kind: 'member', member: {...record}, previous: undefined});
		return record;
	}

	#remove(record: MemberRecord): void {
		this.#records.delete(record.id);
		this.#gatewayCache.delete(record.availabilityZone);
		this.#otherZonesCache = undefined;
		this.#byHash.delete(record.hash);
	}
}
