import {
	afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import {request} from 'undici';
import {
	createLocalDeployment, demoKey, demoModels, demoService, type LocalDeployment,
} from '../../src/demo/local-deployment.ts';
import {waitUntilReady} from '../../src/demo/mixed-load.ts';
import {createLog} from '../../src/process/create-log.ts';

// Guards against a local deployment that does not stream completions, route to its services or check keys.
describe('a local deployment', () => {
	let deployment: LocalDeployment;

	beforeAll(async () => {
		deployment = await createLocalDeployment({log: createLog('error', 'hidden')});
		await waitUntilReady(deployment);
	});

	afterAll(async () => {
		await deployment[Symbol.asyncDispose]();
	});

	it('streams a chat completion up to [DONE]', async () => {
		const response = await post('/v1/chat/completions', {
			model: demoModels[0], stream: true, max_tokens: 4, messages: [{role: 'user', content: 'check'}],
		});
		const text = await response.body.text();
		const events = text.trim().split('\n\n');
		expect(response.headers['wagtailtack-ran']).toBe('yes');
		expect(events).toHaveLength(5);
		expect(events.at(-1)).toBe('data: [DONE]');
	});

	it('routes a request to a plain service', async () => {
		const response = await post(`/services/${demoService}/bookings`, {run: 1});
		expect(await response.body.json()).toMatchObject({method: 'POST', path: '/bookings'});
	});

	it('refuses an unknown key and states that the request was not run', async () => {
		const response = await post('/v1/chat/completions', {model: demoModels[0]}, 'other');
		expect(response.statusCode).toBe(401);
		expect(response.headers['wagtailtack-ran']).toBe('no');
		expect(await response.body.json()).toMatchObject({error: {code: 'invalid_key'}});
	});

	async function post(path: string, body: unknown, key = demoKey) {
		return request(deployment.urls[0]! + path, {
			method: 'POST', headers: {authorization: `Bearer ${key}`}, body: JSON.stringify(body),
		});
	}
});
