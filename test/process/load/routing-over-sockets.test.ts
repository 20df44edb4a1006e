import {setTimeout as delay} from 'node:timers/promises';
import {performance} from 'node:perf_hooks';
import {request} from 'undici';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {
	createLocalDeployment, demoKey, demoModels, type LocalDeployment,
} from '../../../src/demo/local-deployment.ts';
import {waitUntilReady} from '../../../src/demo/mixed-load.ts';
import {createLog} from '../../../src/process/create-log.ts';

describe('routing over sockets', () => {
	let deployment: LocalDeployment;

	beforeEach(async () => {
		deployment = await createLocalDeployment({
			availabilityZones: ['zone-a'], enginesPerZone: 4, log: createLog('error', 'hidden'),
		});
		await waitUntilReady(deployment);
	});

	afterEach(async () => {
		await deployment[Symbol.asyncDispose]();
	});

	// Guards against a slow engine that keeps receiving as many requests as the others while its load reports are late.
	it('avoids an engine that is ten times slower than the others', async () => {
		deployment.engines[0]!.setFaults({slowdown: 10, reportLagMs: 2000});
		await sendShortRequests(60);
		const times = await sendShortRequests(60);
		const slow = times.filter(time => time > 500).length;
		// Without outlier ejection, a quarter of the requests would be slow.
		expect(slow).toBeLessThanOrEqual(3);
	});

	// Guards against short requests that wait behind a long prompt on the same engine.
	it('answers short requests quickly while an engine processes a long prompt', async () => {
		await sendShortRequests(20);
		const long = complete('long '.repeat(16_000), 4);
		await delay(50);
		const times = await sendShortRequests(60);
		// All but two of the 60 requests must be fast.
		expect(times.toSorted((a, b) => a - b)[57]).toBeLessThan(500);
		await long;
	});

	// Guards against aborting a long request, such as a press check, because its prefill sends nothing for longer than the idle timeout of a live stream.
	it('answers a prompt whose prefill takes more than five seconds', async () => {
		expect(await complete('x'.repeat(400_000), 4)).toBeGreaterThan(5000);
	});

	/** Sends short requests at a constant rate and returns their durations in milliseconds. */
	async function sendShortRequests(count: number): Promise<readonly number[]> {
		const pending: Array<Promise<number>> = [];
		for (let index = 0; index < count; index += 1) {
			pending.push(complete('check', 16));
			await delay(20);
		}

		return Promise.all(pending);
	}

	async function complete(content: string, maxTokens: number): Promise<number> {
		const start = performance.now();
		const {body, statusCode} = await request(`${deployment.urls[0]!}/v1/chat/completions`, {
			method: 'POST',
			headers: {authorization: `Bearer ${demoKey}`},
			body: JSON.stringify({
				model: demoModels[0], stream: true, max_tokens: maxTokens, messages: [{role: 'user', content}],
			}),
		});
		await body.text();
		expect(statusCode).toBe(200);
		return performance.now() - start;
	}
});
