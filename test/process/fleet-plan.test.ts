import {setTimeout as delay} from 'node:timers/promises';
import {Right} from 'purify-ts';
import {request} from 'undici';
import {
	afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import {
	createLocalDeployment, demoKey, demoModels, type LocalDeployment,
} from '../../src/demo/local-deployment.ts';
import {waitUntilReady} from '../../src/demo/mixed-load.ts';
import type {EngineRole} from '../../src/ports/order.ts';
import {createLog} from '../../src/process/create-log.ts';
import {planKey} from '../../src/process/orders/plan-row.ts';
import {
	createPlan, readTargets, showPlan, submitPlan,
} from '../../src/process/orders/plan-store.ts';
import type {PlanStep} from '../../src/version/fleet-plan.ts';
import {shortIdleTimeoutMs, shortTimings} from '../fixtures/short-timings.ts';

const model = demoModels[0];
const upstreams = [0, 1].map(index => `${model}-zone-a-${index}`);
const streamTokens = 40;

describe('a plan with real daemons', () => {
	let deployment: LocalDeployment;

	beforeAll(async () => {
		deployment = await createLocalDeployment({
			availabilityZones: ['zone-a'],
			daemonsPerZone: 2,
			enginesPerZone: 2,
			tuning: {engineGroupTimings: shortTimings},
			engineOrders: {changeMs: 200, idleLimitMs: shortIdleTimeoutMs, enforcesFencing: false},
			log: createLog('error', 'hidden'),
		});
		await waitUntilReady(deployment);
	});

	afterAll(async () => {
		await deployment[Symbol.asyncDispose]();
	});

	it('changes weights and roles while requests stream, and interrupts none of them', async () => {
		const steps: readonly PlanStep[] = [
			{action: {kind: 'load', version: '2'}, upstreams, line: 1},
			{action: {kind: 'role', role: 'decode'}, upstreams: [upstreams[1]!], line: 2},
		];
		const plan = createPlan('p1', {name: 'october', author: 'anu', steps});
		const submitted = await submitPlan(deployment.platform.table, plan);
		expect(submitted.isRight()).toBe(true);
		const results = await streamUntil(async () => {
			const view = await showPlan(deployment.platform.table, 'p1');
			return view.map(({plan: {state}}) => state === 'done').orDefault(false);
		});
		expect(results.filter(result => result !== 'whole')).toEqual([]);
		expect(results.length).toBeGreaterThan(20);
		const engines = deployment.engines.slice(0, 2);
		expect(engines.map(engine => engine.orders.state(performance.now()))).toMatchObject([
			{version: '2', role: 'mixed', draining: false}, {version: '2', role: 'decode', draining: false},
		]);
		const accepted = engines.flatMap(engine => engine.orders.accepted);
		expect(accepted.filter(order => order.cutRequests > 0 || order.conflicts)).toEqual([]);
		const loads = engines.map(engine => engine.orders.accepted.find(order => order.wanted.version === '2')!.acceptedAt);
		expect(Math.abs(loads[0]! - loads[1]!)).toBeGreaterThanOrEqual(shortTimings.loadSpacingMs);
	});

	it('carries out a role change that a daemon submitted and deletes its rows, so that the table does not grow with role changes', async () => {
		await changeRole(upstreams[0]!, 'prefill');
		expect(deployment.engines[0]!.orders.state(performance.now())).toMatchObject({role: 'prefill', draining: false});
		expect(await readTargets(deployment.platform.table)).toEqual(Right([]));
	});

	it('repeats a change during which the engine crashed, so that a lost change is not recorded as done', async () => {
		const engine = deployment.engines[1]!;
		engine.setFaults({crashInChange: true, restartMs: 300});
		const changed = changeRole(upstreams[1]!, 'prefill');
		while (engine.crashes === 0) {
			await delay(20);
		}

		engine.setFaults({crashInChange: false});
		await changed;
		expect(engine.orders.state(performance.now())).toMatchObject({role: 'prefill', draining: false});
		const changes = engine.orders.accepted.filter(order => order.wanted.role === 'prefill');
		expect(changes.map(order => order.readyAt === undefined)).toEqual([true, false]);
		expect(changes.filter(order => order.cutRequests > 0)).toEqual([]);
	});

	async function changeRole(upstream: string, role: EngineRole): Promise<void> {
		const made = await deployment.daemons[0]!.engineGroups.submitRoleChange(upstream, role);
		const key = planKey(made.unsafeCoerce().id);
		const exists = async () => {
			const row = await deployment.platform.table.get(key);
			return row.orDefault(undefined) !== undefined;
		};

		while (await exists()) {
			await delay(20);
		}
	}

	async function streamUntil(isOver: () => Promise<boolean>): Promise<readonly string[]> {
		const results: Array<Promise<string>> = [];
		for (let index = 0; !await isOver(); index += 1) {
			results.push(stream(deployment.urls[index % 2]!));
			await delay(20);
		}

		return Promise.all(results);
	}

	/** Streams one completion; returns `whole` when it is complete, otherwise what the caller received. */
	async function stream(url: string): Promise<string> {
		const body = {
			model, stream: true, max_tokens: streamTokens, messages: [{role: 'user', content: 'check'}],
		};
		try {
			const response = await request(`${url}/v1/chat/completions`, {
				method: 'POST', headers: {authorization: `Bearer ${demoKey}`}, body: JSON.stringify(body),
			});
			const text = await response.body.text();
			return text.endsWith('data: [DONE]\n\n') ? 'whole' : `${response.statusCode} ${text.slice(-200)}`;
		} catch (error) {
			return String(error);
		}
	}
});
