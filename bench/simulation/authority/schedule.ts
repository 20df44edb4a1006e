import type {Host} from '../../../src/ports/host-list.ts';
import {type HeldLease, allLeaseGuards} from '../../../src/process/lease/lease-machine.ts';
import {intentGuards} from '../../../src/process/orders/intent-machine.ts';
import {planGuards} from '../../../src/process/orders/plan-machine.ts';
import {
	parsePlanRow, parseTargetRow, type PlanBody, type TargetRow,
} from '../../../src/process/orders/plan-row.ts';
import {cancelPlan, createPlan, submitPlan} from '../../../src/process/orders/plan-store.ts';
import type {PlanStep} from '../../../src/version/fleet-plan.ts';
import {FakeDaemon, type DaemonGuards} from './fake-daemon.ts';
import {EngineProcess, FakeEngine, type FakeEngineOptions} from './fake-engine.ts';
import {
	createSharedTable, FakeTable, readRows, type SharedTable,
} from './fake-table.ts';
import {scheduleFault, type Fault} from './faults.ts';
import {Actor, SkewedClock, Simulator} from './simulator.ts';

/** Input of one run: the faults, the operators' actions, and the seed of all other random choices; times in simulated milliseconds. */
export type Schedule = {
	readonly seed: number;
	readonly enforcesFencing: boolean;
	readonly faults: readonly Fault[];
	/** Time at which a second operator submits a conflicting plan; there is none when this is absent. */
	readonly rivalAt?: number;
	/** Time at which the first plan is cancelled; it isn't when this is absent. */
	readonly cancelAt?: number;
};

/** Safety rules that are in force; mutation checks switch one off. */
export type Guards = DaemonGuards & {
	/** Each transaction that depends on a lease checks the lease row. */
	readonly checksLeaseInTransactions: boolean;
	/** The authority to send an order is checked once the connection is open, not before. */
	readonly checksAfterConnect: boolean;
	/** Engines close connections on which no order arrives within 2 s. */
	readonly closesIdleConnections: boolean;
};

/** All rules in force. */
export const allGuards: Guards = {
	lease: allLeaseGuards,
	intent: intentGuards,
	plan: planGuards,
	checksLeaseInTransactions: true,
	checksAfterConnect: true,
	closesIdleConnections: true,
};

/** A lease grant, with the number of daemons that considered themselves holders of that lease at that moment. */
export type Grant = {
	readonly group: string;
	readonly fencing: number;
	readonly holderCount: number;
};

/** Record of a run, for the invariant checks. */
export type History = {
	readonly grants: readonly Grant[];
	readonly engines: readonly EngineProcess[];
	readonly plans: readonly PlanBody[];
	/** Target rows that are left at the end, other than those of upstreams that finished or cancelled plans left drained; empty when the last-replica rule blocks all of them. */
	readonly unfinishedTargets: readonly TargetRow[];
	readonly reservationTimes: readonly number[];
	/** Number of pending orders that were recorded although the lease had already been granted again with a higher fencing number. */
	readonly staleRecords: number;
	readonly submissions: ReadonlyArray<{readonly id: string; readonly outcome: string}>;
	readonly endedAt: number;
};

const zones = ['zone-a', 'zone-b'];
const daemonsPerZone = [2, 1];
const enginesPerZone = 2;
const submitAtMs = 1000;
const checkIntervalMs = 5000;
/** Time after the last fault within which every plan must have ended. A successor needs up to 15 s to take over, an engine about 10 s. */
const maxRecoveryMs = 150_000;

/** Runs a schedule until its plans have ended, or until the time for recovery is over, and returns the record of the run. */
export async function runSchedule(schedule: Schedule, guards: Guards = allGuards): Promise<History> {
	const simulator = new Simulator(schedule.seed);
	const table = createSharedTable(!guards.checksLeaseInTransactions);
	const engines = new Map<string, EngineProcess>();
	const hosts: Host[] = [];
	for (const availabilityZone of zones) {
		for (let index = 0; index < enginesPerZone; index += 1) {
			const id = `${availabilityZone}-${index}`;
			hosts.push({
				kind: 'engine', id, address: id, availabilityZone, state: 'live', serves: 'm', enforcesFencing: schedule.enforcesFencing,
			});
			engines.set(id, new EngineProcess(simulator, {enforcesFencing: schedule.enforcesFencing, closesIdleConnections: guards.closesIdleConnections}));
		}
	}

	const network: FakeEngineOptions = {
		simulator, engines, network: {maxExtraConnectMs: 0}, checksAfterConnect: guards.checksAfterConnect,
	};
	const grants: Grant[] = [];
	const daemons: FakeDaemon[] = [];
	const onGrant = (daemon: FakeDaemon, held: HeldLease) => {
		const group = daemon.parts.availabilityZone;
		const holders = daemons.filter(other => other.parts.availabilityZone === group && other.held !== undefined);
		grants.push({group, fencing: held.fencing, holderCount: holders.length});
	};

	for (const [zone, count] of daemonsPerZone.entries()) {
		for (let index = 0; index < count; index += 1) {
			const actor = new Actor(simulator);
			daemons.push(new FakeDaemon({
				simulator,
				id: `${zones[zone]}-${index}`,
				availabilityZone: zones[zone]!,
				actor,
				// Clocks have random start values and run up to 1% too slow or too fast.
				clock: new SkewedClock(simulator, simulator.random.integer(1_000_000), 0.99 + (simulator.random.integer(20) / 1000)),
				table: new FakeTable(simulator, actor, table),
				engine: new FakeEngine(actor, network),
				engines,
				hosts,
				guards,
				onGrant,
			}));
		}
	}

	for (const fault of schedule.faults) {
		scheduleFault({
			simulator, daemons, engines: [...engines.values()], table, network: network.network,
		}, fault);
	}

	const submissions = startOperators(simulator, table, schedule);
	const lastFault = Math.max(0, ...schedule.faults.map(fault => fault.at + fault.durationMs));
	const end = await runUntilPlansEnd(simulator, table, lastFault);
	return {
		grants, engines: [...engines.values()], ...end, reservationTimes: table.log.reservationTimes, staleRecords: table.log.staleRecords, submissions: submissions.results, endedAt: simulator.now,
	};
}

function startOperators(simulator: Simulator, table: SharedTable, {seed, rivalAt, cancelAt}: Schedule) {
	const results: Array<{id: string; outcome: string}> = [];
	const submit = (at: number, id: string, steps: readonly PlanStep[]) => {
		const actor = new Actor(simulator);
		const access = new FakeTable(simulator, actor, table);
		actor.after(at, () => {
			void submitPlan(access, createPlan(id, {name: id, author: id, steps})).then(result => {
				results.push({id, outcome: result.caseOf<string>({Left: failure => failure.kind, Right: () => 'submitted'})});
			});
		});
	};

	submit(submitAtMs, 'first', createSteps(seed));
	if (rivalAt !== undefined) {
		submit(rivalAt, 'rival', [{action: {kind: 'role', role: 'prefill'}, upstreams: ['zone-a-1'], line: 1}]);
	}

	if (cancelAt !== undefined) {
		const actor = new Actor(simulator);
		const access = new FakeTable(simulator, actor, table);
		actor.after(cancelAt, () => {
			void cancelPlan(access, 'first');
		});
	}

	return {results};
}

function createSteps(seed: number): readonly PlanStep[] {
	const load: PlanStep = {action: {kind: 'load', version: '2'}, upstreams: ['zone-a-0', 'zone-b-0'], line: 1};
	const role: PlanStep = {action: {kind: 'role', role: 'decode'}, upstreams: ['zone-a-1'], line: 2};
	const drain: PlanStep = {action: {kind: 'drain'}, upstreams: ['zone-a-0'], line: 3};
	const undrain: PlanStep = {action: {kind: 'undrain'}, upstreams: ['zone-a-0'], line: 4};
	const replace: PlanStep = {action: {kind: 'replace', replacement: 'zone-a-1'}, upstreams: ['zone-a-0'], line: 6};
	const reload: PlanStep = {action: {kind: 'load', version: '3'}, upstreams: ['zone-a-1', 'zone-a-0'], line: 5};
	return [[load, role], [drain, undrain, role], [reload], [{...load, upstreams: ['zone-a-0', 'zone-a-1', 'zone-b-1']}], [drain], [replace, undrain]][seed % 6]!;
}

async function runUntilPlansEnd(simulator: Simulator, table: SharedTable, lastFault: number) {
	const limit = Math.max(lastFault, submitAtMs) + maxRecoveryMs;
	let end = await readPlanState(table);
	for (let time = checkIntervalMs; time <= limit && (time <= lastFault + checkIntervalMs || end.plans.length === 0 || end.unfinishedTargets.length > 0); time += checkIntervalMs) {
		await simulator.runUntil(time);
		end = await readPlanState(table);
	}

	return end;
}

async function readPlanState(table: SharedTable) {
	const planRows = await readRows(table, 'plan');
	const targetRows = await readRows(table, 'plan-target');
	const plans = planRows.map(row => parsePlanRow(row).body);
	const targets = targetRows.map(row => parseTargetRow(row));
	const isRunning = (id: string) => plans.some(plan => plan.id === id && plan.state === 'running');
	const unfinishedTargets = targets.filter(({body}) => body.phase !== 'drained' || isRunning(body.planId));
	// A plan that is cancelled after its drain and before its undrain leaves one ready replica in the zone, which no other plan may take out of service.
	const isBlocked = targets.length > unfinishedTargets.length && unfinishedTargets.every(({body}) => body.note.startsWith('It is the last ready replica'));
	return {plans, unfinishedTargets: isBlocked ? [] : unfinishedTargets};
}
