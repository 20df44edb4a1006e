import type {PeerClients} from '../connection/peer-clients.ts';
import type {ProbeResult} from '../connection/probe.ts';
import type {HeartbeatRequest, HeartbeatResponse, Phase} from '../generated/peer_pb.js';
import type {Host} from '../ports/host-list.ts';
import type {Clock} from './clock.ts';
import type {Log} from './log.ts';
import {decodeHeartbeat, encodeRequest, encodeResponse} from './membership/heartbeat-codec.ts';
import type {
	Heartbeat, Member, MembershipEvent, OutgoingHeartbeat,
} from './membership/member.ts';
import {heartbeatIntervalMs, type Membership} from './membership/membership.ts';
import type {LeavingSign} from './membership/leaving-marks.ts';
import type {NewsItem} from './membership/news-queue.ts';
import {Task} from './task.ts';

type Message
	= | {readonly kind: 'tick'}
		| {readonly kind: 'hosts'; readonly hosts: readonly Host[]}
		| {readonly kind: 'heartbeat'; readonly heartbeat: Heartbeat; readonly respond: (answer: Heartbeat) => void}
		| {readonly kind: 'answer'; readonly answer: Heartbeat}
		| {readonly kind: 'announce'; readonly item: NewsItem}
		| {readonly kind: 'leaving'; readonly upstream: string; readonly leaving: boolean}
		| {readonly kind: 'phase'}
		| {readonly kind: 'version'; readonly version: number};

/** Dependencies of the membership task. */
export type MembershipTaskOptions = {
	readonly log: Log;
	readonly clock: Clock;
	readonly membership: Membership;
	readonly clients: PeerClients;
	/** Factor by which tests speed up all membership durations. @default 1 */
	readonly speedFactor?: number;
	/** Lifecycle phase reported to peers. */
	readonly phase: () => Phase;
	/** Probes the health of an upstream on a new connection. */
	readonly probe: (upstream: string) => Promise<ProbeResult>;
};

const heartbeatTimeoutMs = 1000;

/** Runs the gossip membership of the deployment: sends heartbeats, answers those of peers and reports events. */
export class MembershipTask extends Task<Message> {
	readonly #options: MembershipTaskOptions;
	#phase: Phase | undefined;
	readonly #listeners: Array<(event: MembershipEvent) => void> = [];

	readonly #speedFactor: number;

	constructor(options: MembershipTaskOptions) {
		super(options.log);
		this.#options = options;
		this.#speedFactor = options.speedFactor ?? 1;
	}

	/** Members other than this daemon. */
	get members(): readonly Member[] {
		return this.#options.membership.members;
	}

	/** Increases with each start of the daemon. */
	get incarnation(): number {
		return this.#options.membership.incarnation;
	}

	/** True when an availability zone has members and all are dead. */
	isZoneDead(zone: string): boolean {
		const members = this.members.filter(member => member.availabilityZone === zone);
		return members.length > 0 && members.every(member => member.condition === 'dead');
	}

	/** IDs of the other members of this daemon's availability zone that are neither dead nor draining. */
	get liveMembersInZone(): readonly string[] {
		return this.#options.membership.liveMembersInZone;
	}

	/** True when this daemon is among the first `count` live daemons of its availability zone in the rendezvous-hash ranking for a topic. */
	isAmongTopRanked(topic: string, count: number): boolean {
		return this.#options.membership.isAmongTopRanked(topic, count);
	}

	/** Registers a listener that is called synchronously by the task with each event. */
	subscribe(listener: (event: MembershipEvent) => void): void {
		this.#listeners.push(listener);
	}

	/** Starts sending heartbeats, one round per second. */
	run(): void {
		this.start({message: {kind: 'tick'}, intervalMs: heartbeatIntervalMs / this.#speedFactor});
	}

	/** Announces an item of news to peers. */
	announce(item: NewsItem): void {
		this.post({kind: 'announce', item});
	}

	/** Records a sign that an upstream is leaving, or that it has returned. */
	reportLeaving(upstream: string, isLeaving: boolean): void {
		this.post({kind: 'leaving', upstream, leaving: isLeaving});
	}

	/** Updates the listed members and upstreams from a host list. */
	updateHosts(hosts: readonly Host[]): void {
		this.post({kind: 'hosts', hosts});
	}

	/** True while an upstream is leaving and must get no new work. */
	isLeaving(upstream: string): boolean {
		return this.#options.membership.isLeaving(upstream);
	}

	/** Increases with each change of a leaving mark. */
	get leavingVersion(): number {
		return this.#options.membership.leavingVersion;
	}

	/** Current signs of leaving and returned upstreams. */
	get leavingSigns(): readonly LeavingSign[] {
		return this.#options.membership.leavingSigns;
	}

	/** Announces a change of the lifecycle phase to peers without waiting for the next heartbeat. */
	announcePhase(): void {
		this.post({kind: 'phase'});
	}

	/** Sets the configuration version that heartbeats carry. */
	setConfigurationVersion(version: number): void {
		this.post({kind: 'version', version});
	}

	/** Answers a peer's heartbeat. */
	async answer(request: HeartbeatRequest): Promise<HeartbeatResponse> {
		const {promise, resolve} = Promise.withResolvers<Heartbeat>();
		this.post({kind: 'heartbeat', heartbeat: decodeHeartbeat(request), respond: resolve});
		return encodeResponse(await promise);
	}

	protected receive(message: Message): void {
		const {membership, clock} = this.#options;
		const now = clock.now() * this.#speedFactor;
		this.#handle(message, now);
		for (const event of membership.takeEvents()) {
			this.#report(event);
		}

		this.#send(membership.takeUrgentHeartbeats(now));
	}

	#handle(message: Message, now: number): void {
		const {membership} = this.#options;
		switch (message.kind) {
			case 'tick': {
				this.#updatePhase(now);
				this.#send(membership.tick(now));
				this.#probe(membership.takeDueProbes(now));
				return;
			}

			case 'hosts': {
				membership.updateHosts(message.hosts.filter(host => host.kind === 'daemon').map(host => ({
					id: host.id, availabilityZone: host.availabilityZone, peerUrl: `http://${host.address}`,
				})), now);
				membership.updateUpstreams(message.hosts.filter(host => host.kind !== 'daemon').map(host => ({
					id: host.id, availabilityZone: host.availabilityZone, isLeaving: host.state === 'leaving',
				})), now);
				return;
			}

			case 'heartbeat': {
				message.respond(membership.receive(message.heartbeat, now));
				return;
			}

			case 'answer': {
				membership.receiveAnswer(message.answer, now);
				return;
			}

			case 'leaving': {
				membership.reportLeaving({upstream: message.upstream, leaving: message.leaving, observedAt: now}, now);
				return;
			}

			case 'announce': {
				membership.announce(message.item, now);
				return;
			}

			case 'phase': {
				this.#updatePhase(now);
				return;
			}

			case 'version': {
				membership.setConfigurationVersion(message.version);
			}
		}
	}

	#updatePhase(now: number): void {
		const phase = this.#options.phase();
		if (phase !== this.#phase) {
			this.#phase = phase;
			this.#options.membership.setPhase(phase, now);
		}
	}

	#report(event: MembershipEvent): void {
		if (event.kind === 'member' && event.previous !== undefined) {
			const {id, condition} = event.member;
			this.log.info('The condition of a member changed.', {id, condition, previous: event.previous});
		}

		for (const listener of this.#listeners) {
			listener(event);
		}
	}

	#probe(upstreams: readonly string[]): void {
		for (const upstream of upstreams) {
			void this.#probeRecovery(upstream);
		}
	}

	async #probeRecovery(upstream: string): Promise<void> {
		if (await this.#options.probe(upstream) === 'healthy') {
			this.reportLeaving(upstream, false);
		}
	}

	#send(messages: readonly OutgoingHeartbeat[]): void {
		for (const message of messages) {
			void this.#exchange(message);
		}
	}

	async #exchange({memberId, peerUrl, heartbeat}: OutgoingHeartbeat): Promise<void> {
		try {
			const answer = await this.#options.clients.call(peerUrl, heartbeatTimeoutMs, async (client, options) =>
				client.heartbeat(encodeRequest(heartbeat), options));
			this.post({kind: 'answer', answer: decodeHeartbeat(answer)});
		} catch (error) {
			this.log.debug('A heartbeat was not answered.', {memberId, message: String(error)});
		}
	}
}
