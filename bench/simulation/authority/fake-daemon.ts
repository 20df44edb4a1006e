import type {Host} from '../../../src/ports/host-list.ts';
import {groupName} from '../../../src/process/lease/candidates.ts';
import {LeaseClient} from '../../../src/process/lease/lease-client.ts';
import {
	defaultLeaseTimes, type HeldLease, type LeaseEvent, type LeaseGuards,
} from '../../../src/process/lease/lease-machine.ts';
import {createLog} from '../../../src/process/create-log.ts';
import {GroupOrders} from '../../../src/process/orders/group-orders.ts';
import {intentTimes, type IntentGuards} from '../../../src/process/orders/intent-machine.ts';
import {drainPropagationMs, type PlanGuards} from '../../../src/process/orders/plan-machine.ts';
import {listDrainingUpstreams, type TargetRow} from '../../../src/process/orders/plan-row.ts';
import {readTargets} from '../../../src/process/orders/plan-store.ts';
import {loadSpacingMs} from '../../../src/process/orders/reservation.ts';
import type {EngineProcess, FakeEngine} from './fake-engine.ts';
import type {FakeTable} from './fake-table.ts';
import type {Actor, SkewedClock, Simulator} from './simulator.ts';

/** Safety rules of the daemon's leases, orders and plans; mutation checks switch one off. */
export type DaemonGuards = {
	readonly lease: LeaseGuards;
	readonly intent: IntentGuards;
	readonly plan: PlanGuards;
};

/** Identity and dependencies of a simulated daemon; faults act on them. */
export type DaemonParts = {
	readonly simulator: Simulator;
	readonly id: string;
	readonly availabilityZone: string;
	readonly actor: Actor;
	readonly clock: SkewedClock;
	readonly table: FakeTable;
	readonly engine: FakeEngine;
	readonly engines: ReadonlyMap<string, EngineProcess>;
	readonly hosts: readonly Host[];
	readonly guards: DaemonGuards;
	/** Called once for each lease grant, when the daemon first holds it. */
	readonly onGrant: (daemon: FakeDaemon, held: HeldLease) => void;
};

const leaseTickMs = 500;
const orderRoundMs = 500;
const targetReadMs = 2000;
const requestIntervalMs = 900;
const maxRequestMs = 5000;
const log = createLog('error', 'hidden');

/** Runs a daemon's lease client, orders and routing in simulated time. */
export class FakeDaemon {
	readonly parts: DaemonParts;
	#lease: LeaseClient;
	#orders: GroupOrders;
	#targets: readonly TargetRow[] = [];
	#tickCount = 0;
	#reportedToken: string | undefined;

	constructor(parts: DaemonParts) {
		this.parts = parts;
		this.#lease = this.#createLease();
		this.#orders = this.#createOrders();
		this.#start();
	}

	/** The lease, while this daemon considers itself its holder by its own clock. */
	get held(): HeldLease | undefined {
		return this.#lease.held;
	}

	/** Kills the daemon, which loses its state, and restarts it after a delay in milliseconds. */
	restart(downMs: number): void {
		this.parts.actor.kill();
		this.#lease = this.#createLease();
		this.#targets = [];
		this.parts.actor.after(downMs, () => {
			this.#orders = this.#createOrders();
			this.#start();
		});
	}

	/** Releases the lease as a graceful stop does, and becomes a candidate again after a delay in milliseconds. */
	stop(downMs: number): void {
		this.#lease.handle({kind: 'candidacy', isCandidate: false});
		this.parts.actor.after(downMs, () => {
			this.#lease.handle({kind: 'candidacy', isCandidate: true});
		});
	}

	#createLease(): LeaseClient {
		const {table, clock, id, guards, availabilityZone, actor} = this.parts;
		const {epoch} = actor;
		const client: LeaseClient = new LeaseClient({
			table,
			clock,
			group: groupName('m', availabilityZone),
			daemon: id,
			times: defaultLeaseTimes,
			guards: guards.lease,
			post: event => {
				if (epoch === actor.epoch) {
					this.#deliver(client, event);
				}
			},
		});
		return client;
	}

	#deliver(client: LeaseClient, event: LeaseEvent): void {
		client.handle(event);
		const {held} = client;
		if (held !== undefined && held.token !== this.#reportedToken) {
			this.#reportedToken = held.token;
			this.parts.onGrant(this, held);
		}
	}

	#createOrders(): GroupOrders {
		const {table, clock, engine, availabilityZone, hosts, guards} = this.parts;
		return new GroupOrders({
			log,
			table,
			clock,
			engine,
			group: groupName('m', availabilityZone),
			lease: () => this.#lease.held,
			hosts: () => hosts.filter(host => host.availabilityZone === availabilityZone),
			allHosts: () => hosts,
			targets: () => this.#targets,
			intent: {times: intentTimes, guards: guards.intent},
			plan: {drainPropagationMs, guards: guards.plan},
			loadSpacingMs,
		});
	}

	#start(): void {
		this.#lease.handle({kind: 'candidacy', isCandidate: true});
		const {actor, simulator} = this.parts;
		this.#repeat(leaseTickMs, () => {
			this.#tickCount += 1;
			this.#deliver(this.#lease, {kind: 'tick', token: `${this.parts.id}-${actor.epoch}-${this.#tickCount}`});
		});
		this.#repeat(targetReadMs, () => {
			void this.#readTargets();
		});
		this.#repeat(requestIntervalMs, () => {
			this.#sendRequest(simulator.random.integer(maxRequestMs));
		});
		this.#runRounds(this.#orders);
	}

	#repeat(intervalMs: number, step: () => void): void {
		step();
		this.parts.actor.after(intervalMs, () => {
			this.#repeat(intervalMs, step);
		});
	}

	#runRounds(orders: GroupOrders): void {
		const run = async () => {
			await orders.runRound();
			this.parts.actor.after(orderRoundMs, () => {
				void run();
			});
		};

		void run();
	}

	async #readTargets(): Promise<void> {
		const targets = await readTargets(this.parts.table);
		targets.ifRight(rows => {
			this.#targets = rows;
		});
	}

	/** Sends a request to a random upstream of the zone that isn't draining, as far as this daemon knows. */
	#sendRequest(durationMs: number): void {
		const {hosts, availabilityZone, engines, simulator} = this.parts;
		const draining = listDrainingUpstreams(this.#targets);
		const open = hosts.filter(host => host.availabilityZone === availabilityZone && !draining.has(host.id));
		const host = open[simulator.random.integer(Math.max(1, open.length))];
		if (host !== undefined) {
			engines.get(host.address)?.startRequest(durationMs);
		}
	}
}
