import {setTimeout as delay} from 'node:timers/promises';
import {request} from 'undici';
import {
	afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import {
	createLocalDeployment, demoKey, demoService, type LocalDeployment,
} from '../../../src/demo/local-deployment.ts';
import {waitUntilReady} from '../../../src/demo/mixed-load.ts';
import {createLog} from '../../../src/process/create-log.ts';

describe('a resend to another daemon while the table is down', () => {
	let deployment: LocalDeployment;

	beforeAll(async () => {
		deployment = await createLocalDeployment({availabilityZones: ['zone-a'], daemonsPerZone: 2, log: createLog('error', 'hidden')});
		await waitUntilReady(deployment);
		// The daemons discover each other through their first heartbeats.
		await delay(2000);
	});

	afterAll(async () => {
		deployment.platform.setFaults({down: false});
		await deployment[Symbol.asyncDispose]();
	});

	it('is not reported as not run if the booking has run on another daemon', async () => {
		expect(await book(0, 'run-1')).toEqual([200, 'yes']);
		deployment.platform.setFaults({down: true});
		expect(await book(1, 'run-1')).toEqual([503, 'unknown']);
		expect(await book(1, 'run-2')).toEqual([503, 'no']);
		expect(deployment.services.flatMap(service => service.executions)).toHaveLength(1);
	});

	async function book(daemon: number, idempotencyKey: string): Promise<readonly [number, string]> {
		const response = await request(`${deployment.urls[daemon]!}/services/${demoService}/bookings`, {
			method: 'POST',
			headers: {authorization: `Bearer ${demoKey}`, 'idempotency-key': idempotencyKey},
			body: '{"run":1}',
		});
		await response.body.dump();
		return [response.statusCode, String(response.headers['wagtailtack-ran'])];
	}
});
