import {setTimeout as delay} from 'node:timers/promises';
import {
	describe, expect, it, vi,
} from 'vitest';
import {request} from 'undici';
import {
	createLocalDeployment, demoKey, demoModels, demoService, type LocalDeployment,
} from '../../src/demo/local-deployment.ts';
import {waitUntilReady} from '../../src/demo/mixed-load.ts';
import {createLog} from '../../src/process/create-log.ts';

const detectionLimitMs = 5000;
const promptAnswerLimitMs = 1500;
const arrivalPoll = {timeout: 5000, interval: 10};

describe.concurrent('silent connections', () => {
	it('end an in-flight live stream within 5 s, while new requests to the same upstream are answered immediately', async () => {
		await using deployment = await startDeployment();
		const inFlight = complete(deployment, 4000);
		await vi.waitFor(() => {
			expect(deployment.engines[0]!.inFlight).toBe(1);
		}, arrivalPoll);
		deployment.engines[0]!.setFaults({silent: true});
		const start = performance.now();
		const next = await complete(deployment, 4);
		expect(next).toMatchObject({status: 200, isWhole: true});
		expect(performance.now() - start).toBeLessThan(promptAnswerLimitMs);
		expect(await inFlight).toMatchObject({isWhole: false});
		expect(performance.now() - start).toBeLessThan(detectionLimitMs);
	});

	it('end an in-flight unrepeatable request as unknown within 5 s, and the next one runs on a new connection', async () => {
		await using deployment = await startDeployment();
		const [service] = deployment.services;
		await Promise.all([book(deployment), book(deployment)]);
		service!.setFaults({slowMs: 20_000});
		const inFlight = book(deployment);
		await vi.waitFor(() => {
			expect(service!.inFlight).toBe(1);
		}, arrivalPoll);
		service!.setFaults({silent: true, slowMs: 0});
		const start = performance.now();
		expect(await inFlight).toMatchObject({status: 502, ran: 'unknown'});
		expect(performance.now() - start).toBeLessThan(detectionLimitMs);
		expect(await book(deployment)).toMatchObject({status: 200, ran: 'yes'});
	});

	it('are not reused after being idle, so that a booking does not end as unknown', async () => {
		await using deployment = await startDeployment();
		const [service] = deployment.services;
		await Promise.all([book(deployment), book(deployment), book(deployment)]);
		await delay(400);
		service!.setFaults({silent: true});
		const start = performance.now();
		expect(await book(deployment)).toMatchObject({status: 200, ran: 'yes'});
		expect(performance.now() - start).toBeLessThan(promptAnswerLimitMs);
	});

	it('are not assumed for an answer that arrives late in one piece, so that slow work is not aborted', async () => {
		await using deployment = await startDeployment();
		await Promise.all([complete(deployment, 2), complete(deployment, 2)]);
		const response = await post(deployment, '/v1/completions', {model: demoModels[0], prompt: 'check', max_tokens: 600});
		await response.body.dump();
		expect(response.statusCode).toBe(200);
	});
});

async function startDeployment(): Promise<LocalDeployment> {
	const deployment = await createLocalDeployment({availabilityZones: ['zone-a'], log: createLog('error', 'hidden')});
	await waitUntilReady(deployment);
	return deployment;
}

async function complete(deployment: LocalDeployment, tokens: number) {
	const response = await post(deployment, '/v1/chat/completions', {
		model: demoModels[0], stream: true, max_tokens: tokens, messages: [{role: 'user', content: 'check'}],
	});
	try {
		const text = await response.body.text();
		return {status: response.statusCode, isWhole: text.endsWith('data: [DONE]\n\n')};
	} catch {
		return {status: response.statusCode, isWhole: false};
	}
}

async function book(deployment: LocalDeployment) {
	const response = await post(deployment, `/services/${demoService}/bookings`, {run: 1});
	await response.body.dump();
	return {status: response.statusCode, ran: response.headers['wagtailtack-ran']};
}

async function post(deployment: LocalDeployment, path: string, body: unknown) {
	return request(deployment.urls[0]! + path, {
		method: 'POST', headers: {authorization: `Bearer ${demoKey}`}, body: JSON.stringify(body),
	});
}
