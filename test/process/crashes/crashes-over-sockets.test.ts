import {setTimeout as delay} from 'node:timers/promises';
import {
	afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import {request} from 'undici';
import {
	createLocalDeployment, demoKey, demoModels, type LocalDeployment,
} from '../../../src/demo/local-deployment.ts';
import {waitUntilReady} from '../../../src/demo/mixed-load.ts';
import {createLog} from '../../../src/process/create-log.ts';

const poisonPrompt = 'a prompt that crashes the engine';
const otherPromptCount = 20;

describe('a prompt that crashes every engine', () => {
	let deployment: LocalDeployment;

	beforeAll(async () => {
		deployment = await createLocalDeployment({enginesPerZone: 2, log: createLog('error', 'hidden')});
		await waitUntilReady(deployment);
		for (const engine of deployment.engines) {
			engine.setFaults({crashOn: poisonPrompt, restartMs: 50});
		}
	});

	afterAll(async () => {
		await deployment[Symbol.asyncDispose]();
	});

	async function complete(daemon: number, prompt: string) {
		const response = await request(`${deployment.urls[daemon % deployment.urls.length]!}/v1/completions`, {
			method: 'POST', headers: {authorization: `Bearer ${demoKey}`}, body: JSON.stringify({model: demoModels[0], prompt, max_tokens: 4}),
		});
		const body = await response.body.json() as {readonly error?: {readonly code: string}};
		return {status: response.statusCode, code: body.error?.code};
	}

	/** Sends a prompt repeatedly, each time to the next daemon, until it is answered or finally refused. */
	async function sendUntilSettled(first: number, prompt: string) {
		for (let attempt = 0; attempt < 40; attempt += 1) {
			const reply = await complete(first + attempt, prompt);
			if (reply.status === 200 || reply.status === 422) {
				return reply;
			}

			await delay(200);
		}

		return undefined;
	}

	// Guards against a caller that takes the whole fleet down by resending such a prompt to every daemon.
	it('is refused by every daemon, while other prompts are served', async () => {
		const replies = await Promise.all([
			sendUntilSettled(0, poisonPrompt),
			...Array.from({length: otherPromptCount}, async (_, index) => sendUntilSettled(index, `prompt ${index}`)),
		]);
		expect(replies[0]).toEqual({status: 422, code: 'request_crashes_upstreams'});
		expect(replies.slice(1).map(reply => reply?.status)).toEqual(Array.from({length: otherPromptCount}, () => 200));
		const crashes = deployment.engines.reduce((sum, engine) => sum + engine.crashes, 0);
		expect(crashes).toBeGreaterThanOrEqual(2);
		await delay(100);
		for (const daemon of deployment.urls.keys()) {
			expect(await complete(daemon, poisonPrompt)).toEqual({status: 422, code: 'request_crashes_upstreams'});
		}

		expect(deployment.engines.reduce((sum, engine) => sum + engine.crashes, 0)).toBe(crashes);
	});
});
