import {
	afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import {request} from 'undici';
import {
	createLocalDeployment, demoKey, demoService, type LocalDeployment,
} from '../../../src/demo/local-deployment.ts';
import {waitUntilReady} from '../../../src/demo/mixed-load.ts';
import {createLog} from '../../../src/process/create-log.ts';
import type {PlatformFaults} from '../../../src/stand-ins/platform/platform-server.ts';

describe('a booking with an idempotency key', () => {
	let deployment: LocalDeployment;
	let keys = 0;

	beforeAll(async () => {
		deployment = await createLocalDeployment({log: createLog('error', 'hidden')});
		await waitUntilReady(deployment);
	});

	afterAll(async () => {
		await deployment[Symbol.asyncDispose]();
	});

	async function book(daemon: number, key: string, body = '{"run":1}') {
		const response = await request(`${deployment.urls[daemon]!}/services/${demoService}/bookings`, {
			method: 'POST', headers: {authorization: `Bearer ${demoKey}`, 'idempotency-key': key}, body,
		});
		const ran = response.headers['wagtailtack-ran'];
		return {status: response.statusCode, ran, body: await response.body.json()};
	}

	function createKey(): string {
		keys += 1;
		return `key-${keys}`;
	}

	function executionsOf(key: string): number {
		return deployment.services.flatMap(service => service.executions).filter(execution => execution.idempotencyKey === key).length;
	}

	async function withFaults(faults: Partial<PlatformFaults>, run: () => Promise<void>): Promise<void> {
		const before = deployment.platform.faults;
		deployment.platform.setFaults(faults);
		try {
			await run();
		} finally {
			deployment.platform.setFaults(before);
		}
	}

	it('runs once and gets the same answer from every daemon', async () => {
		const key = createKey();
		const first = await book(0, key);
		expect(first).toMatchObject({status: 200, ran: 'yes'});
		for (const daemon of [0, 1, 2]) {
			expect(await book(daemon, key)).toEqual(first);
		}

		expect(executionsOf(key)).toBe(1);
	});

	it('runs once if it is sent to all daemons at the same time', async () => {
		const key = createKey();
		const replies = await Promise.all([0, 1, 2, 0, 1, 2].map(async daemon => book(daemon, key)));
		expect(replies.filter(reply => reply.status === 200).length).toBeGreaterThan(0);
		expect(replies.filter(reply => reply.ran === 'no')).toEqual([]);
		expect(executionsOf(key)).toBe(1);
	});

	it('is refused if its key belongs to a different request', async () => {
		const key = createKey();
		await book(0, key);
		expect(await book(1, key, '{"run":2}')).toMatchObject({status: 422, ran: 'no', body: {error: {code: 'key_reused'}}});
	});

	it('is not dispatched while the store is down', async () => {
		const key = createKey();
		await withFaults({down: true}, async () => {
			expect(await book(0, key)).toMatchObject({status: 503, ran: 'no', body: {error: {code: 'claims_unavailable'}}});
		});
		expect(executionsOf(key)).toBe(0);
	});

	it('runs once if the response to the claim write is lost', async () => {
		const key = createKey();
		await withFaults({loseNextWriteAnswers: 1}, async () => {
			expect(await book(0, key)).toMatchObject({status: 200, ran: 'yes'});
		});
		expect(await book(1, key)).toMatchObject({status: 200, ran: 'yes'});
		expect(executionsOf(key)).toBe(1);
	});

	it('keeps its claim if the service fails after it has received the request', async () => {
		const key = createKey();
		for (const service of deployment.services) {
			service.setFaults({loseAnswers: true});
		}

		const first = await book(0, key);
		for (const service of deployment.services) {
			service.setFaults({loseAnswers: false});
		}

		expect(first).toMatchObject({status: 502, ran: 'unknown'});
		expect(await book(1, key)).toMatchObject({status: 409, ran: 'unknown', body: {error: {code: 'outcome_unknown'}}});
		expect(executionsOf(key)).toBe(1);
	});
});
