import {setTimeout as delay} from 'node:timers/promises';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {request} from 'undici';
import {
	createLocalDeployment, demoKey, demoService, type LocalDeployment,
} from '../../../src/demo/local-deployment.ts';
import {waitUntilReady} from '../../../src/demo/mixed-load.ts';
import {createLog} from '../../../src/process/create-log.ts';

const repetitions = 5;
/** Longer than the time within which reports about one upstream count as the same crash. */
const repetitionIntervalMs = 700;

describe('a repeated request of which one upstream answers with bytes that are no answer', () => {
	let deployment: LocalDeployment;

	beforeEach(async () => {
		deployment = await createLocalDeployment({log: createLog('error', 'hidden')});
		await waitUntilReady(deployment);
	});

	afterEach(async () => {
		await deployment[Symbol.asyncDispose]();
	});

	async function send(path: string, options: {readonly method?: 'POST'; readonly body?: string} = {}): Promise<number> {
		const {statusCode, body} = await request(`${deployment.urls[0]!}/services/${demoService}${path}`, {...options, headers: {authorization: `Bearer ${demoKey}`}});
		await body.dump();
		return statusCode;
	}

	// Guards against an innocent request being condemned: a connection that the daemon closes itself is no sign of a crash.
	it('is not taken for one that crashes upstreams', async () => {
		const [faulty] = deployment.services;
		faulty!.setFaults({endlessAnswers: true});
		const statuses = [];
		for (let count = 0; count < repetitions; count += 1) {
			statuses.push(await send('/bookings', {method: 'POST', body: '{"run":7}'}));
			await delay(repetitionIntervalMs);
		}

		expect(faulty!.executions.length).toBeGreaterThan(0);
		expect(statuses.filter(status => status === 422 || status === 503)).toEqual([]);
	});

	// Guards against an upstream that keeps the traffic of its zone because it fails faster than the others answer.
	it('goes to the sound upstreams from the second time on', async () => {
		const [faulty] = deployment.services;
		faulty!.setFaults({endlessAnswers: true});
		const statuses = [];
		for (let count = 0; count < 8; count += 1) {
			statuses.push(await send('/stock/7'));
			await delay(100);
		}

		expect(statuses.slice(1)).toEqual(Array.from({length: 7}, () => 200));
	});
});
