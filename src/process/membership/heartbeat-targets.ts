import type {Random} from '../random.ts';
import type {Member} from './member.ts';
import type {MemberTable} from './member-table.ts';
import {rankByRendezvous} from './rendezvous.ts';

const heartbeatFanout = 3;
const maxSuspectsProbed = 2;
const remoteZonesPerInterval = 2;

type LocalDaemon = {
	readonly id: string;
	readonly availabilityZone: string;
	readonly random: Random;
};

/** Selects the members to which this daemon sends heartbeats. */
export class HeartbeatTargets {
	readonly #self: LocalDaemon;
	readonly #table: MemberTable;

	constructor(self: LocalDaemon, table: MemberTable) {
		this.#self = self;
		this.#table = table;
	}

	/** Ids of the members of the own availability zone that are not dead. */
	get liveMembers(): readonly string[] {
		return this.#localMembers(member => member.condition !== 'dead');
	}

	/** Selects the members that get a heartbeat in this interval. */
	forInterval(): readonly string[] {
		const targets = new Set(this.#pickFanout(this.liveMembers));
		for (const id of this.#pick(this.#localMembers(member => member.condition === 'suspect'), maxSuspectsProbed)) {
			targets.add(id);
		}

		// Two members may each consider the other dead, for instance after a partition; contact resumes only if one of them sends.
		for (const id of this.#pick(this.#localMembers(member => member.condition === 'dead'), 1)) {
			targets.add(id);
		}

		if (this.#isGateway()) {
			for (const zone of this.#pick(this.#table.otherZones, remoteZonesPerInterval)) {
				targets.add(this.#pickRemoteTarget(zone));
			}
		}

		return [...targets];
	}

	/** Selects the members that get urgent news. Gateways also forward news of their own zone to all other zones. */
	forUrgent(isLocalNews: boolean): readonly string[] {
		const {id, availabilityZone} = this.#self;
		const gateways = this.#table.gateways(availabilityZone, id);
		const targets = new Set([...this.#pickFanout(this.liveMembers), ...gateways]);
		if (isLocalNews && gateways.includes(id)) {
			for (const zone of this.#table.otherZones) {
				for (const gateway of this.#table.gateways(zone)) {
					targets.add(gateway);
				}
			}
		}

		return [...targets];
	}

	/** True when this daemon is among the first `count` live members of a zone in the ranking for a topic, or when the zone has no live members. */
	isAmongTopRanked(topic: string, zone: string | undefined, count: number): boolean {
		const {id, availabilityZone} = this.#self;
		const liveMembers = this.#table.members
			.filter(member => member.availabilityZone === zone && member.condition !== 'dead')
			.map(member => member.id);
		const candidates = zone === availabilityZone ? [...liveMembers, id] : liveMembers;
		return candidates.length === 0 || rankByRendezvous(topic, candidates).slice(0, count).includes(id);
	}

	#isGateway(): boolean {
		const {id, availabilityZone} = this.#self;
		return this.#table.gateways(availabilityZone, id).includes(id);
	}

	/** Picks one gateway of a zone; in a quarter of the cases any member, because all gateways may be unreachable. */
	#pickRemoteTarget(zone: string): string {
		const gateways = this.#table.gateways(zone);
		const members = this.#table.members.filter(member => member.availabilityZone === zone).map(member => member.id);
		const candidates = this.#self.random.integer(4) === 0 ? members : gateways;
		return candidates[this.#self.random.integer(candidates.length)]!;
	}

	#localMembers(isWanted: (member: Member) => boolean): readonly string[] {
		const zone = this.#self.availabilityZone;
		return this.#table.members.filter(member => member.availabilityZone === zone && isWanted(member)).map(member => member.id);
	}

	#pickFanout(ids: readonly string[]): readonly string[] {
		return this.#pick(ids, heartbeatFanout);
	}

	#pick(values: readonly string[], count: number): readonly string[] {
		const rest = [...values];
		const picked: string[] = [];
		while (picked.length < count && rest.length > 0) {
			picked.push(...rest.splice(this.#self.random.integer(rest.length), 1));
		}

		return picked;
	}
}
