import {toBinary} from '@bufbuild/protobuf';
import {HeartbeatRequestSchema, HeartbeatResponseSchema} from '../../src/generated/peer_pb.js';
import {encodeRequest, encodeResponse} from '../../src/process/membership/heartbeat-codec.ts';
import type {Heartbeat, MembershipEvent, OutgoingHeartbeat} from '../../src/process/membership/member.ts';
import {heartbeatIntervalMs, Membership} from '../../src/process/membership/membership.ts';
import {type Random, SeededRandom} from '../../src/process/random.ts';

/** Bytes that HTTP/2 frames and compressed headers and the TCP and IP headers add to a message. */
const messageOverheadBytes = 120;
const answerTimeoutMs = 1000;
const maxNetworkDelayMs = 4;
const wallTimeAtStartMs = 1_700_000_000_000;

/** A daemon of the simulation. */
export type SimulatedDaemon = {
	readonly id: string;
	readonly zone: string;
	membership: Membership;
	condition: 'running' | 'paused' | 'down';
	/** Bytes sent and received so far. */
	bytes: number;
	/** Messages that arrived while the daemon was paused, handled when it resumes. */
	readonly backlog: Array<() => void>;
	readonly events: Array<MembershipEvent & {readonly at: number}>;
};

/** Simulates the membership protocol of many daemons in virtual time, with crashes, pauses and network partitions. */
export class MembershipSimulation {
	readonly daemons: readonly SimulatedDaemon[];
	readonly #daemonById: ReadonlyMap<string, SimulatedDaemon>;
	readonly #random: Random;
	readonly #actionsByTime = new Map<number, Array<() => void>>();
	readonly #isCut: (from: SimulatedDaemon, to: SimulatedDaemon) => boolean;
	readonly #measuresBytes: boolean;
	#now = 0;

	constructor(options: {
		readonly zones: number;
		readonly daemonsPerZone: number;
		readonly seed: number;
		/** Returns true while messages between two daemons are lost; called on the delivery of each message. */
		readonly isCut?: (from: SimulatedDaemon, to: SimulatedDaemon) => boolean;
		/** Encodes each message to count its bytes. @default true */
		readonly measuresBytes?: boolean;
	}) {
		this.#random = new SeededRandom(options.seed);
		this.#isCut = options.isCut ?? (() => false);
		this.#measuresBytes = options.measuresBytes ?? true;
		this.daemons = Array.from({length: options.zones * options.daemonsPerZone}, (_, index) => {
			const zone = `zone-${index % options.zones}`;
			return this.#createDaemon(`daemon-${zone}-${Math.floor(index / options.zones)}`, zone);
		});
		this.#daemonById = new Map(this.daemons.map(daemon => [daemon.id, daemon]));
		for (const daemon of this.daemons) {
			daemon.membership.updateHosts(this.listedHosts, 0);
			this.#scheduleTick(daemon, this.#random.integer(heartbeatIntervalMs));
		}
	}

	/** Virtual time in milliseconds. */
	get now(): number {
		return this.#now;
	}

	/** Host list that every daemon receives. */
	get listedHosts() {
		return this.daemons.map(({id, zone}) => ({id, availabilityZone: zone, peerUrl: id}));
	}

	/** Advances virtual time by a number of milliseconds. */
	run(milliseconds: number): void {
		for (const end = this.#now + milliseconds; this.#now < end; this.#now += 1) {
			for (const action of this.#actionsByTime.get(this.#now) ?? []) {
				action();
			}

			this.#actionsByTime.delete(this.#now);
		}
	}

	/** Advances until a condition holds; returns the milliseconds that it took, or undefined when it didn't hold within the limit. */
	runUntil(condition: () => boolean, limitMs: number): number | undefined {
		const start = this.#now;
		while (this.#now - start < limitMs) {
			if (condition()) {
				return this.#now - start;
			}

			this.run(1);
		}

		return undefined;
	}

	/** Crashes a daemon: it sends and receives nothing until it is restarted. */
	kill(daemon: SimulatedDaemon): void {
		daemon.condition = 'down';
	}

	/** Restarts a daemon with empty state; the wall time, the current one by default, is its incarnation. */
	restart(daemon: SimulatedDaemon, wallTimeMs = wallTimeAtStartMs + this.#now): void {
		daemon.membership = this.#createMembership(daemon.id, daemon.zone, wallTimeMs);
		daemon.membership.updateHosts(this.listedHosts, this.#now);
		daemon.condition = 'running';
		daemon.backlog.length = 0;
	}

	/** Suspends a daemon as a stopped process is: it skips its heartbeats, and messages to it are queued. */
	pause(daemon: SimulatedDaemon): void {
		daemon.condition = 'paused';
	}

	/** Resumes a paused daemon, which sends its heartbeats and then handles the queued messages at once. */
	resume(daemon: SimulatedDaemon): void {
		daemon.condition = 'running';
		this.#send(daemon, daemon.membership.tick(this.#now));
		for (const action of daemon.backlog.splice(0)) {
			action();
		}
	}

	/** Records a daemon's events and sends its urgent news without waiting for the next heartbeat. */
	flush(daemon: SimulatedDaemon): void {
		daemon.events.push(...daemon.membership.takeEvents().map(event => ({...event, at: this.#now})));
		this.#send(daemon, daemon.membership.takeUrgentHeartbeats(this.#now));
	}

	#createDaemon(id: string, zone: string): SimulatedDaemon {
		return {
			id, zone, membership: this.#createMembership(id, zone, wallTimeAtStartMs), condition: 'running', bytes: 0, backlog: [], events: [],
		};
	}

	#createMembership(id: string, zone: string, incarnation: number): Membership {
		return new Membership({
			id, availabilityZone: zone, peerUrl: id, incarnation, random: this.#random,
		});
	}

	#scheduleTick(daemon: SimulatedDaemon, delayMs: number): void {
		this.#after(delayMs, () => {
			this.#scheduleTick(daemon, heartbeatIntervalMs);
			if (daemon.condition === 'running') {
				this.#send(daemon, daemon.membership.tick(this.#now));
				this.flush(daemon);
			}
		});
	}

	#send(from: SimulatedDaemon, messages: readonly OutgoingHeartbeat[]): void {
		for (const {memberId, heartbeat} of messages) {
			const to = this.#daemonById.get(memberId)!;
			const sentAt = this.#now;
			from.bytes += this.#sizeOfRequest(heartbeat);
			this.#deliver(from, to, () => {
				to.bytes += this.#sizeOfRequest(heartbeat);
				const answer = to.membership.receive(heartbeat, this.#now);
				this.flush(to);
				to.bytes += this.#sizeOfAnswer(answer);
				this.#deliver(to, from, () => {
					from.bytes += this.#sizeOfAnswer(answer);
					if (this.#now - sentAt <= answerTimeoutMs) {
						from.membership.receiveAnswer(answer, this.#now);
						this.flush(from);
					}
				});
			});
		}
	}

	#deliver(from: SimulatedDaemon, to: SimulatedDaemon, action: () => void): void {
		const {membership} = to;
		this.#after(1 + this.#random.integer(maxNetworkDelayMs), () => {
			if (to.condition === 'down' || this.#isCut(from, to) || to.membership !== membership) {
				return;
			}

			if (to.condition === 'paused') {
				to.backlog.push(action);
			} else {
				action();
			}
		});
	}

	#after(delayMs: number, action: () => void): void {
		const at = this.#now + delayMs;
		const actions = this.#actionsByTime.get(at) ?? [];
		actions.push(action);
		this.#actionsByTime.set(at, actions);
	}

	#sizeOfRequest(heartbeat: Heartbeat): number {
		return this.#measuresBytes
			? toBinary(HeartbeatRequestSchema, encodeRequest(heartbeat)).length + messageOverheadBytes
			: 0;
	}

	#sizeOfAnswer(heartbeat: Heartbeat): number {
		return this.#measuresBytes
			? toBinary(HeartbeatResponseSchema, encodeResponse(heartbeat)).length + messageOverheadBytes
			: 0;
	}
}
