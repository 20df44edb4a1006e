import {toBinary} from '@bufbuild/protobuf';
import {HeartbeatRequestSchema, HeartbeatResponseSchema} from '../../src/generated/peer_pb.js';
import {encodeRequest, encodeResponse} from '../../src/process/membership/heartbeat-codec.ts';
import type {Heartbeat, MembershipEvent, OutgoingHeartbeat} from '../../src/process/membership/member.ts';
import {heartbeatIntervalMs, Membership} from '../../src/process/membership/membership.ts';
import {type Random, SeededRandom} from '../../src/process/random.ts';

/** Frames and compressed headers of HTTP/2, and TCP and IP headers, for one message. */
const messageOverheadBytes = 120;
const answerTimeoutMs = 1000;
const maxNetworkDelayMs = 4;
const wallTimeAtStartMs = 1_700_000_000_000;

/** A simulated daemon. */
export type SimulatedDaemon = {
	readonly id: string;
	readonly zone: string;
	membership: Membership;
	condition: 'running' | 'paused' | 'down';
	/** Bytes sent and received. */
	bytes: number;
	/** Messages that arrive while the daemon is paused. */
	readonly backlog: Array<() => void>;
	readonly events: Array<MembershipEvent & {readonly at: number}>;
};

/** Many members in virtual time, with kills, pauses and partitions. */
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
		/** Consulted for each message. */
		readonly isCut?: (from: SimulatedDaemon, to: SimulatedDaemon) => boolean;
		/** @default true */
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

	/** Host list of all daemons. */
	get listedHosts() {
		return this.daemons.map(({id, zone}) => ({id, availabilityZone: zone, peerUrl: id}));
	}

	/** Runs for a number of milliseconds. */
	run(milliseconds: number): void {
		for (const end = this.#now + milliseconds; this.#now < end; this.#now += 1) {
			for (const action of this.#actionsByTime.get(this.#now) ?? []) {
				action();
			}

			this.#actionsByTime.delete(this.#now);
		}
	}

	/** Runs until a condition holds; returns the milliseconds it took, or undefined when it never held within the limit. */
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

	/** Stops a daemon without notice. */
	kill(daemon: SimulatedDaemon): void {
		daemon.condition = 'down';
	}

	/** Starts a daemon again, by default with the present wall time. */
	restart(daemon: SimulatedDaemon, wallTimeMs = wallTimeAtStartMs + this.#now): void {
		daemon.membership = this.#createMembership(daemon.id, daemon.zone, wallTimeMs);
		daemon.membership.updateHosts(this.listedHosts, this.#now);
		daemon.condition = 'running';
		daemon.backlog.length = 0;
	}

	/** Stops a daemon's clock of events; messages to it wait. */
	pause(daemon: SimulatedDaemon): void {
		daemon.condition = 'paused';
	}

	/** Lets a paused daemon go on; messages that waited are handled at once. */
	resume(daemon: SimulatedDaemon): void {
		daemon.condition = 'running';
		this.#send(daemon, daemon.membership.tick(this.#now));
		for (const action of daemon.backlog.splice(0)) {
			action();
		}
	}

	/** Sends urgent news of a daemon on. */
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
