import {Phase, type News, type UpstreamLeaving} from '../../generated/peer_pb.js';
import {HeartbeatTargets} from './heartbeat-targets.ts';
import {LeavingMarks, type LeavingSign, type ListedUpstream} from './leaving-marks.ts';
import type {
	Heartbeat, Member, MembershipEvent, MembershipOptions, OutgoingHeartbeat,
} from './member.ts';
import {createMemberStateItem, findSequence} from './member-state.ts';
import {
	deadAfterMs, MemberTable, suspectAfterMs, type ListedMember,
} from './member-table.ts';
import {NewsOutbox} from './news-outbox.ts';
import type {NewsItem} from './news-queue.ts';

/** Interval between heartbeats, in milliseconds. */
export const heartbeatIntervalMs = 1000;
/** Time after its start in which a process may raise its incarnation, in milliseconds. Later on, a higher incarnation is that of a successor with the same id, which must keep precedence. */
const incarnationRaiseWindowMs = 30_000;
/** Time after a pause of this process for which news is discarded, in milliseconds: messages that waited in its sockets carry wrong ages. */
const newsDiscardMs = 500;
const probersPerUpstream = 2;
/** Interval at which deaths are announced again, in milliseconds, for daemons of other zones that started after the first announcement. */
const deathRepeatIntervalMs = 8000;
const maxDeathsRepeated = 16;

/** State machine of the members of the deployment and their news. Its input is messages and monotonic time in milliseconds, its output heartbeats and events. */
export class Membership {
	readonly #options: MembershipOptions;
	readonly #table: MemberTable;
	readonly #targets: HeartbeatTargets;
	readonly #outbox: NewsOutbox;
	readonly #marks = new LeavingMarks();
	#hasNewcomer = false;
	#deathsRepeatedAt = 0;
	#events: MembershipEvent[] = [];
	#incarnation: number;
	#sequence: number;
	#phase = Phase.STARTING;
	#configurationVersion = 0;
	#startedAt: number | undefined;
	#lastTickAt: number | undefined;
	#discardNewsUntil = 0;

	constructor(options: MembershipOptions) {
		this.#options = options;
		this.#table = new MemberTable(options.availabilityZone, event => {
			this.#recordEvent(event);
		});
		this.#targets = new HeartbeatTargets(options, this.#table);
		this.#incarnation = options.incarnation;
		this.#sequence = Math.floor(options.incarnation / heartbeatIntervalMs);
		this.#outbox = new NewsOutbox(options.id, options.incarnation);
	}

	/** Members other than this daemon. */
	get members(): readonly Member[] {
		return this.#table.members;
	}

	/** Returns the member with an id; `undefined` when it is not known. */
	member(id: string): Member | undefined {
		return this.#table.get(id);
	}

	/** Incarnation of this daemon; higher after each start. */
	get incarnation(): number {
		return this.#incarnation;
	}

	/** True when this daemon forwards news to other availability zones. */
	get isGateway(): boolean {
		const {id, availabilityZone} = this.#options;
		return this.#table.gateways(availabilityZone, id).includes(id);
	}

	/** Ids of the members of the own availability zone that are neither dead nor draining. */
	get liveMembersInZone(): readonly string[] {
		return this.#targets.liveMembers.filter(id => this.#table.get(id)?.phase !== Phase.DRAINING);
	}

	/** True when this daemon is among the first `count` live members of its zone in the rendezvous ranking for a topic. */
	isAmongTopRanked(topic: string, count: number): boolean {
		return this.#targets.isAmongTopRanked(topic, this.#options.availabilityZone, count);
	}

	/** Updates the members with the daemons of the host list. An empty list is ignored and the last one stays in use. */
	updateHosts(listed: readonly ListedMember[], now: number): void {
		const others = listed.filter(member => member.id !== this.#options.id);
		if (listed.length > 0) {
			this.#table.updateListed(others, now);
		}
	}

	/** Sets the configuration version that heartbeats carry. */
	setConfigurationVersion(version: number): void {
		this.#configurationVersion = Math.max(this.#configurationVersion, version);
	}

	/** Sets the lifecycle phase and announces it to peers. */
	setPhase(phase: Phase, now: number): void {
		this.#phase = phase;
		this.announce(createMemberStateItem({
			id: this.#options.id, incarnation: this.#incarnation, sequence: this.#sequence, phase, condition: 'alive',
		}), now);
	}

	/** Queues a news item of this daemon. */
	announce(item: NewsItem, now: number): void {
		this.#outbox.announce(item, now);
	}

	/** Updates the leaving marks with the upstreams of the host list. */
	updateUpstreams(upstreams: readonly ListedUpstream[], now: number): void {
		for (const sign of this.#marks.updateListed(upstreams, now)) {
			this.reportLeaving(sign, now);
		}
	}

	/** Applies a sign that this daemon observed itself; a change is announced to all others at once. */
	reportLeaving(sign: LeavingSign, now: number): void {
		if (this.#marks.applySign(sign, true)) {
			this.#announceLeaving(sign, now);
		}
	}

	/** True while an upstream must get no new work. */
	isLeaving(upstream: string): boolean {
		return this.#marks.isLeaving(upstream);
	}

	/** Version that each change of a leaving mark increments. */
	get leavingVersion(): number {
		return this.#marks.version;
	}

	/** Current signs of leaving and returned upstreams. */
	get leavingSigns(): readonly LeavingSign[] {
		return this.#marks.signs;
	}

	/** Returns the leaving upstreams that this daemon has to probe now; two daemons of the upstream's zone probe each. */
	takeDueProbes(now: number): readonly string[] {
		return this.#marks.takeDueProbes(now, (upstream, zone) => this.#targets.isAmongTopRanked(`probe ${upstream}`, zone, probersPerUpstream));
	}

	/** Starts a heartbeat interval and returns the heartbeats to send. */
	tick(now: number): readonly OutgoingHeartbeat[] {
		this.#startedAt ??= now;
		const gap = now - (this.#lastTickAt ?? now);
		this.#lastTickAt = now;
		if (gap > suspectAfterMs) {
			this.#discardNewsUntil = now + newsDiscardMs;
			this.#table.compensateForPause(gap - heartbeatIntervalMs);
		}

		this.#sequence += 1;
		this.#table.expire(now);
		for (const sign of this.#marks.takeDueRepeats(now, this.#hasNewcomer)) {
			this.#announceLeaving(sign, now);
		}

		if (this.isGateway && (this.#hasNewcomer || now - this.#deathsRepeatedAt >= deathRepeatIntervalMs)) {
			this.#announceDeathsAgain(now);
		}

		this.#hasNewcomer = false;
		return this.#createOutgoing(this.#targets.forInterval(), zone => this.#createHeartbeat(zone, now));
	}

	/** Handles a peer's heartbeat and returns the answer. */
	receive(heartbeat: Heartbeat, now: number): Heartbeat {
		this.#applyHeartbeat(heartbeat, now);
		const knownIncarnation = this.#table.get(heartbeat.daemonId)?.incarnation ?? heartbeat.incarnation;
		return {...this.#createHeartbeat(heartbeat.availabilityZone, now), knownIncarnation};
	}

	/** Handles the answer to a heartbeat. */
	receiveAnswer(answer: Heartbeat, now: number): void {
		const {knownIncarnation = 0} = answer;
		const canRaiseIncarnation = now - (this.#startedAt ?? now) < incarnationRaiseWindowMs;
		if (knownIncarnation > this.#incarnation && canRaiseIncarnation) {
			this.#incarnation = knownIncarnation + 1;
			this.#outbox.raiseCounter(this.#incarnation);
		}

		this.#applyHeartbeat(answer, now);
	}

	/** Returns heartbeats with urgent news, which are sent without waiting for the next interval. */
	takeUrgentHeartbeats(now: number): readonly OutgoingHeartbeat[] {
		const urgent = this.#outbox.takeUrgentOrigins();
		if (urgent.length === 0) {
			return [];
		}

		const heartbeat = this.#createHeartbeat(this.#options.availabilityZone, now);
		return this.#createOutgoing(this.#targets.forUrgent(urgent.includes(true)), () => heartbeat);
	}

	/** Returns the events since the last call. */
	takeEvents(): readonly MembershipEvent[] {
		const events = this.#events;
		this.#events = [];
		return events;
	}

	#applyHeartbeat(heartbeat: Heartbeat, now: number): void {
		if (heartbeat.daemonId === this.#options.id || !this.#table.recordHeartbeat(heartbeat, now)) {
			return;
		}

		this.#sequence = Math.max(this.#sequence, findSequence(this.#options.id, heartbeat.digest) ?? 0);
		this.#table.mergeDigest(heartbeat.digest, now);
		if (now >= this.#discardNewsUntil) {
			for (const news of heartbeat.news) {
				this.#applyNews(news, now);
			}
		}
	}

	#applyNews(news: News, now: number): void {
		if (!this.#outbox.recordIfNew(news)) {
			return;
		}

		if (news.item.case === 'memberState') {
			const {daemonId: id, sequence, alive, phase} = news.item.value;
			this.#table.applyMemberState({
				id, sequence, alive, phase,
			}, now);
		} else if (news.item.case === 'upstreamLeaving' && !this.#applyLeavingNews(news.item.value, now)) {
			// Many daemons may observe the same sign; only the first news of it is forwarded.
			return;
		}

		const zone = this.#table.get(news.origin)?.availabilityZone ?? this.#options.availabilityZone;
		this.#outbox.forward(news, zone === this.#options.availabilityZone, now);
		this.#events.push({kind: 'news', news});
	}

	#applyLeavingNews({upstream, leaving, ageMs}: UpstreamLeaving, now: number): boolean {
		return this.#marks.applySign({upstream, leaving, observedAt: now - Number(ageMs)}, false);
	}

	#announceLeaving({upstream, leaving, observedAt}: LeavingSign, now: number): void {
		const ageMs = BigInt(Math.max(0, Math.round(now - observedAt)));
		this.announce({case: 'upstreamLeaving', value: {upstream, leaving, ageMs}}, now);
	}

	#recordEvent(event: MembershipEvent): void {
		this.#events.push(event);
		if (event.kind !== 'member' || event.member.availabilityZone !== this.#options.availabilityZone) {
			return;
		}

		const {member, previous} = event;
		this.#hasNewcomer ||= previous === undefined || previous === 'dead';
		const isChange = member.condition === 'dead' || previous === 'dead';
		if (isChange && this.isGateway) {
			this.announce(createMemberStateItem(member), this.#lastTickAt ?? 0);
		}
	}

	#announceDeathsAgain(now: number): void {
		this.#deathsRepeatedAt = now;
		const dead = this.#table.members.filter(member =>
			member.condition === 'dead' && member.availabilityZone === this.#options.availabilityZone);
		for (const member of dead.slice(0, maxDeathsRepeated)) {
			this.announce(createMemberStateItem(member), now);
		}
	}

	#createOutgoing(ids: readonly string[], createHeartbeat: (zone: string) => Heartbeat): readonly OutgoingHeartbeat[] {
		return ids.flatMap(id => {
			const member = this.#table.get(id);
			return member === undefined ? [] : [{memberId: id, peerUrl: member.peerUrl, heartbeat: createHeartbeat(member.availabilityZone)}];
		});
	}

	#createHeartbeat(targetZone: string, now: number): Heartbeat {
		const isWithinZone = targetZone === this.#options.availabilityZone;
		return {
			daemonId: this.#options.id,
			incarnation: this.#incarnation,
			availabilityZone: this.#options.availabilityZone,
			sequence: this.#sequence,
			configurationVersion: this.#configurationVersion,
			phase: this.#phase,
			peerUrl: this.#options.peerUrl,
			digest: this.#table.digest(targetZone),
			news: this.#outbox.select({isGateway: this.isGateway, isWithinZone}, now),
		};
	}
}
