import {setTimeout as delay} from 'node:timers/promises';
import {expect, it} from 'vitest';
import {createLocalDeployment, demoModels, type LocalDeployment} from '../../src/demo/local-deployment.ts';
import {groupName} from '../../src/process/lease/candidates.ts';
import {defaultLeaseTimes} from '../../src/process/lease/lease-machine.ts';
import {leaseKey, parseLeaseRow, type LeaseBody} from '../../src/process/lease/lease-row.ts';
import {createLog} from '../../src/process/create-log.ts';
import {createPlan, showPlan, submitPlan} from '../../src/process/orders/plan-store.ts';
import {shortIdleTimeoutMs, shortTimings} from '../fixtures/short-timings.ts';
import {spawnProgram, type SpawnedProcess} from '../fixtures/spawned-process.ts';

const model = demoModels[0];
const zone = 'zone-a';
const pollMs = 10;

/** Promised limit of 15 s, shortened in proportion to the lease duration, in milliseconds. */
const successionLimitMs = 15_000 * shortTimings.lease.durationMs / defaultLeaseTimes.durationMs;

async function waitFor<Value>(read: () => Promise<Value | undefined>): Promise<Value> {
	for (;;) {
		const value = await read();
		if (value !== undefined) {
			return value;
		}

		await delay(pollMs);
	}
}

async function readLease({platform}: LocalDeployment, minimumFencing: number): Promise<LeaseBody | undefined> {
	const row = await platform.table.get(leaseKey(groupName(model, zone)));
	const found = row.orDefault(undefined);
	const body = found === undefined ? undefined : parseLeaseRow(found).body;
	return body !== undefined && body.holder !== '' && body.fencing >= minimumFencing ? body : undefined;
}

it.concurrent.each(['SIGKILL', 'SIGSTOP', 'SIGTERM'] as const)('a lease holder that receives %s during a plan is replaced in time, and its successor finishes the plan', async signal => {
	await using deployment = await createLocalDeployment({
		availabilityZones: [zone],
		daemonsPerZone: 0,
		enginesPerZone: 2,
		engineOrders: {changeMs: 300, idleLimitMs: shortIdleTimeoutMs, enforcesFencing: false},
		log: createLog('error', 'hidden'),
	});
	await using processes = new AsyncDisposableStack();
	const daemons = new Map<string, SpawnedProcess>();
	await Promise.all(['d1', 'd2'].map(async id => {
		const daemon = processes.use(await spawnProgram(['test/fixtures/authority-daemon.ts'], deployment.settingsText(id, zone)));
		daemons.set(id, daemon);
	}));
	await waitFor(async () => readLease(deployment, 1));
	const engines = deployment.engines.slice(0, 2);
	const upstreams = [`${model}-${zone}-0`, `${model}-${zone}-1`];
	const submitted = await submitPlan(deployment.platform.table, createPlan('p1', {
		name: 'october', author: 'anu', steps: [{action: {kind: 'role', role: 'decode'}, upstreams, line: 1}],
	}));
	expect(submitted.isRight()).toBe(true);
	await waitFor(async () => (engines[0]!.orders.accepted.length > 0 ? true : undefined));
	// Reads the lease again, because on a busy machine another daemon may have acquired it meanwhile.
	const first = await waitFor(async () => readLease(deployment, 1));
	const start = performance.now();
	daemons.get(first.holder)!.child.kill(signal);
	const second = await waitFor(async () => readLease(deployment, first.fencing + 1));
	expect(performance.now() - start).toBeLessThan(successionLimitMs);
	expect(second.holder).not.toBe(first.holder);
	await waitFor(async () => {
		const view = await showPlan(deployment.platform.table, 'p1');
		return view.map(({plan}) => plan.state === 'done').orDefault(false) ? true : undefined;
	});
	if (signal === 'SIGSTOP') {
		daemons.get(first.holder)!.child.kill('SIGCONT');
		await delay(shortTimings.lease.durationMs);
	}

	for (const engine of engines) {
		const fencing = engine.orders.accepted.map(order => order.fencing);
		expect(fencing).toEqual(fencing.toSorted((a, b) => a - b));
		expect(engine.orders.accepted.filter(order => order.conflicts)).toEqual([]);
		expect(engine.orders.state(performance.now())).toMatchObject({role: 'decode', draining: false});
	}
});
