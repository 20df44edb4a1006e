import {randomUUID} from 'node:crypto';
import type {Either} from 'purify-ts';
import type {Engine} from '../ports/engine.ts';
import type {EngineRole} from '../ports/order.ts';
import type {Host} from '../ports/host-list.ts';
import type {Table} from '../ports/table.ts';
import type {PlanStep} from '../version/fleet-plan.ts';
import type {Clock} from './clock.ts';
import {groupName, selectCandidates} from './lease/candidates.ts';
import {defaultLeaseTimes, type LeaseTimes} from './lease/lease-machine.ts';
import {LeaseTask} from './lease/lease-task.ts';
import type {Log} from './log.ts';
import {intentGuards, intentTimes, type IntentTimes} from './orders/intent-machine.ts';
import {OrderTask} from './orders/order-task.ts';
import {planPollIntervalMs, PlanTargetPoller} from './orders/plan-target-poller.ts';
import {planGuards, drainPropagationMs} from './orders/plan-machine.ts';
import type {PlanBody} from './orders/plan-row.ts';
import {createPlan, submitPlan, type PlanFailure} from './orders/plan-store.ts';
import {loadSpacingMs} from './orders/reservation.ts';
import {Task} from './task.ts';

/** Durations of leases, orders and plans, in milliseconds; tests use shorter ones. */
export type EngineGroupTimings = {
	readonly lease: LeaseTimes;
	readonly intent: IntentTimes;
	/** Time after which every daemon knows that an upstream is draining. */
	readonly drainPropagationMs: number;
	/** Minimum time between the starts of two loads from the weight store. */
	readonly loadSpacingMs: number;
	readonly planPollIntervalMs: number;
	readonly orderTickIntervalMs: number;
};

/** Durations used in production. */
export const engineGroupTimings: EngineGroupTimings = {
	lease: defaultLeaseTimes, intent: intentTimes, drainPropagationMs, loadSpacingMs, planPollIntervalMs, orderTickIntervalMs: 250,
};

/** Dependencies of the engine group manager. */
export type EngineGroupManagerOptions = {
	readonly log: Log;
	readonly table: Table;
	readonly clock: Clock;
	readonly engine: Engine;
	readonly daemon: string;
	readonly availabilityZone: string;
	readonly hosts: () => readonly Host[];
	/** Live daemons of the availability zone. */
	readonly members: () => readonly string[];
	/** @default engineGroupTimings */
	readonly times?: EngineGroupTimings;
};

type GroupTasks = {readonly lease: LeaseTask; readonly orders: OrderTask};

const groupPollIntervalMs = 500;
const resignTimeoutMs = 2000;

/** Competes for the leases of the engine groups in this availability zone and sends orders to the engines of the groups that it holds. */
export class EngineGroupManager extends Task<'poll'> {
	readonly #options: EngineGroupManagerOptions;
	readonly #times: EngineGroupTimings;
	readonly #plans: PlanTargetPoller;
	readonly #groups = new Map<string, GroupTasks>();
	#resignation: Promise<void> | undefined;

	constructor(options: EngineGroupManagerOptions) {
		super(options.log);
		this.#options = options;
		this.#times = options.times ?? engineGroupTimings;
		this.#plans = new PlanTargetPoller(options.log, options.table);
	}

	/** Upstreams that a plan is draining and that must get no new work. */
	get draining(): ReadonlySet<string> {
		return this.#plans.draining;
	}

	/** Groups whose lease this daemon currently holds. */
	get heldGroups(): readonly string[] {
		return [...this.#groups].filter(([, {lease}]) => lease.held !== undefined).map(([group]) => group);
	}

	/** Starts polling plans and tracking the engine groups in the host list. */
	run(): void {
		this.#plans.run(this.#times.planPollIntervalMs);
		this.start({message: 'poll', intervalMs: groupPollIntervalMs});
	}

	/** Submits a role change that a daemon has decided on as a plan; the lease holder of the engine's group carries it out like a plan of an operator. */
	async submitRoleChange(upstream: string, role: EngineRole): Promise<Either<PlanFailure, PlanBody>> {
		const {table, daemon} = this.#options;
		const step: PlanStep = {action: {kind: 'role', role}, upstreams: [upstream], line: 1};
		const plan = createPlan(`role-${randomUUID()}`, {name: 'role-change', author: daemon, steps: [step]});
		return submitPlan(table, {...plan, isAutomatic: true});
	}

	/** Stops sending orders, then releases the leases, so that no order is sent after the release of its lease. */
	async resign(): Promise<void> {
		this.#resignation ??= this.#resign();
		return this.#resignation;
	}

	protected receive(): void {
		if (this.#resignation !== undefined) {
			return;
		}

		const {hosts, availabilityZone, daemon, members} = this.#options;
		const engines = hosts().filter(host => host.kind === 'engine' && host.availabilityZone === availabilityZone);
		const zoneMembers = [...new Set([...members(), daemon])];
		const names = new Set(engines.map(host => groupName(host.serves, availabilityZone)));
		for (const group of names) {
			if (!this.#groups.has(group) && selectCandidates(group, zoneMembers).includes(daemon)) {
				this.#groups.set(group, this.#startGroup(group));
			}
		}

		for (const [group, {lease}] of this.#groups) {
			lease.post({kind: 'candidacy', isCandidate: names.has(group) && selectCandidates(group, zoneMembers).includes(daemon)});
		}
	}

	protected override async release(): Promise<void> {
		await this.resign();
		await this.#plans[Symbol.asyncDispose]();
	}

	async #resign(): Promise<void> {
		const groups = [...this.#groups.values()];
		await Promise.all(groups.map(async ({orders}) => orders[Symbol.asyncDispose]()));
		await Promise.all(groups.map(async ({lease}) => {
			await lease.resign(resignTimeoutMs);
			await lease[Symbol.asyncDispose]();
		}));
	}

	#startGroup(group: string): GroupTasks {
		const {
			log, table, clock, engine, daemon, availabilityZone, hosts,
		} = this.#options;
		const times = this.#times;
		const lease = new LeaseTask({
			log, table, clock, daemon, group, times: times.lease,
		});
		const orders = new OrderTask({
			log,
			table,
			clock,
			engine,
			group,
			lease: () => lease.held,
			hosts: () => hosts().filter(host => host.kind === 'engine' && host.availabilityZone === availabilityZone
				&& groupName(host.serves, availabilityZone) === group),
			allHosts: hosts,
			targets: () => this.#plans.targets,
			intent: {times: times.intent, guards: intentGuards},
			plan: {drainPropagationMs: times.drainPropagationMs, guards: planGuards},
			loadSpacingMs: times.loadSpacingMs,
			tickIntervalMs: times.orderTickIntervalMs,
		});
		lease.run();
		orders.run();
		return {lease, orders};
	}
}
