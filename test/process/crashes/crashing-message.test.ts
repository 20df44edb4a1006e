import {setTimeout as delay} from 'node:timers/promises';
import {expect, test} from 'vitest';
import {request} from 'undici';
import {
	createLocalDeployment, demoKey, demoModels, type LocalDeployment,
} from '../../../src/demo/local-deployment.ts';
import {waitUntilReady} from '../../../src/demo/mixed-load.ts';
import {createLog} from '../../../src/process/create-log.ts';

const crashingText = 'a message that crashes the engine';
const restartMs = 1500;
const arrivalIntervalMs = 100;
/** One of this many requests holds the crashing message. */
const crashingRequestInterval = 8;
const trafficMs = 18_000;
/** Time after the fifth crash by which all daemons have its news, in milliseconds. */
const knownAfterMs = 3000;
/** Crashes that may still happen later than that. */
const maxLateCrashes = 3;

type Sample = {readonly sentAt: number; readonly isHarmless: boolean; readonly status: number; readonly code: string | undefined};

async function converse({urls}: LocalDeployment, index: number): Promise<Sample> {
	const isHarmless = index % crashingRequestInterval !== 0;
	const sentAt = performance.now();
	const response = await request(`${urls[index % urls.length]!}/v1/chat/completions`, {
		method: 'POST',
		headers: {authorization: `Bearer ${demoKey}`},
		body: JSON.stringify({
			model: demoModels[0],
			max_tokens: 4,
			messages: [
				{role: 'system', content: 'You check printing plates.'},
				{role: 'user', content: isHarmless ? `Plate ${index}` : crashingText},
				{role: 'user', content: `Question ${index}`},
			],
		}),
	});
	const body = await response.body.json() as {readonly error?: {readonly code?: string}};
	return {
		sentAt, isHarmless, status: response.statusCode, code: body.error?.code,
	};
}

test('different conversations with one message that crashes engines are refused after the fifth crash, and others with the same first message are served', {timeout: 60_000}, async () => {
	await using deployment = await createLocalDeployment({
		availabilityZones: ['zone-a'], daemonsPerZone: 2, enginesPerZone: 2, log: createLog('error', 'hidden'),
	});
	await waitUntilReady(deployment);
	for (const engine of deployment.engines) {
		engine.setFaults({crashOn: crashingText, restartMs});
	}

	const crashTimes: number[] = [];
	const answers: Array<Promise<Sample>> = [];
	for (const end = performance.now() + trafficMs; performance.now() < end;) {
		answers.push(converse(deployment, answers.length));
		await delay(arrivalIntervalMs);
		const crashes = deployment.engines.reduce((sum, engine) => sum + engine.crashes, 0);
		while (crashTimes.length < crashes) {
			crashTimes.push(performance.now());
		}
	}

	const samples = await Promise.all(answers);
	expect(crashTimes.length).toBeGreaterThanOrEqual(2);
	const decisiveAt = crashTimes[4] ?? crashTimes.at(-1)!;
	expect(crashTimes.filter(time => time > decisiveAt + knownAfterMs).length).toBeLessThanOrEqual(maxLateCrashes);
	const after = samples.filter(({isHarmless, sentAt}) => isHarmless && sentAt > decisiveAt + (2 * knownAfterMs));
	expect(after.length).toBeGreaterThanOrEqual(20);
	expect(after.filter(({status}) => status === 200).length).toBe(after.length);
	expect(samples.filter(({isHarmless, code}) => isHarmless && code === 'request_crashes_upstreams')).toEqual([]);
	expect(samples.findLast(({isHarmless}) => !isHarmless)).toMatchObject({status: 422, code: 'request_crashes_upstreams'});
});
