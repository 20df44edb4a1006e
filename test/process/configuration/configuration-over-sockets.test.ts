import {
	afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import {request} from 'undici';
import {createLocalDeployment, type LocalDeployment} from '../../../src/demo/local-deployment.ts';
import {waitUntilReady} from '../../../src/demo/mixed-load.ts';
import {seedOperatorKey} from '../../../src/demo/seed-configuration.ts';
import {Administration} from '../../../src/process/administration/administration.ts';
import {hashKey} from '../../../src/process/key-directory.ts';
import {createLog} from '../../../src/process/create-log.ts';
import {succeed} from '../../either.ts';

const inForceWithinMs = 5000;
const operator = {name: 'seed', digest: hashKey(seedOperatorKey)};
const holder = {kind: 'customer', customer: 'demo', state: 'active'} as const;

describe('a key', () => {
	let deployment: LocalDeployment;
	let administration: Administration;

	beforeAll(async () => {
		deployment = await createLocalDeployment({daemonsPerZone: 2, log: createLog('error', 'hidden')});
		await waitUntilReady(deployment);
		administration = new Administration(deployment.platform.table, deployment.platform.objects);
	});

	afterAll(async () => {
		await deployment[Symbol.asyncDispose]();
	});

	async function isAdmitted(url: string, key: string): Promise<boolean> {
		const response = await request(`${url}/v1/models`, {headers: {authorization: `Bearer ${key}`}});
		await response.body.dump();
		return response.statusCode === 200;
	}

	async function countAdmitting(key: string): Promise<number> {
		const admitted = await Promise.all(deployment.urls.map(async url => isAdmitted(url, key)));
		return admitted.filter(Boolean).length;
	}

	it('is accepted by every daemon within 5 s, and by none within 5 s after its revocation', async () => {
		await succeed(administration.putKey(operator, holder, 'first', 'put first'));
		await expect.poll(async () => countAdmitting('first'), {timeout: inForceWithinMs}).toBe(deployment.urls.length);
		await succeed(administration.revokeKey(operator, hashKey('first'), 'revoke first'));
		await expect.poll(async () => countAdmitting('first'), {timeout: inForceWithinMs}).toBe(0);
	});

	it('spreads from one daemon to the others while the store is down', async () => {
		await succeed(administration.putKey(operator, holder, 'second', 'put second'));
		await expect.poll(async () => countAdmitting('second'), {timeout: inForceWithinMs, interval: 5}).toBeGreaterThan(0);
		deployment.platform.setFaults({down: true});
		await expect.poll(async () => countAdmitting('second'), {timeout: inForceWithinMs}).toBe(deployment.urls.length);
		deployment.platform.setFaults({down: false});
	});
});
