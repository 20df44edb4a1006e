import {setTimeout as delay} from 'node:timers/promises';
import {describe, expect, test} from 'vitest';
import {request} from 'undici';
import {
	createLocalDeployment, demoKey, demoModels, type LocalDeployment,
} from '../../../src/demo/local-deployment.ts';
import {waitUntilReady} from '../../../src/demo/mixed-load.ts';
import {createLog} from '../../../src/process/create-log.ts';

const poisonPrompt = 'a prompt that crashes the engine';
/** Crashes that one request may cause in all, whatever the number of daemons. */
const maxCrashes = 4;
const sends = 16;

async function sendPoison(deployment: LocalDeployment, daemon: number): Promise<number> {
	const response = await request(`${deployment.urls[daemon % deployment.urls.length]!}/v1/completions`, {
		method: 'POST', headers: {authorization: `Bearer ${demoKey}`}, body: JSON.stringify({model: demoModels[0], prompt: poisonPrompt, max_tokens: 4}),
	});
	await response.body.dump();
	return response.statusCode;
}

describe('a request that crashes engines, sent to daemons in turn', () => {
	// Guards against each daemon counting for itself, so that the number of crashes grows with that of daemons.
	test.each([
		[2, 600],
		[8, 600],
		[8, 100],
	])('crashes at most four over %i daemons, sent every %i ms', async (daemons, intervalMs) => {
		await using deployment = await createLocalDeployment({
			availabilityZones: ['zone-a'], daemonsPerZone: daemons, enginesPerZone: 3, log: createLog('error', 'hidden'),
		});
		await waitUntilReady(deployment);
		for (const engine of deployment.engines) {
			engine.setFaults({crashOn: poisonPrompt, restartMs: 50});
		}

		const statuses = [];
		for (let count = 0; count < sends; count += 1) {
			statuses.push(await sendPoison(deployment, count));
			await delay(intervalMs);
		}

		const crashes = deployment.engines.reduce((sum, engine) => sum + engine.crashes, 0);
		expect(crashes).toBeGreaterThanOrEqual(2);
		expect(crashes).toBeLessThanOrEqual(maxCrashes);
		expect(statuses.slice(maxCrashes).every(status => status === 503 || status === 422)).toBe(true);
		if (intervalMs * sends > 5000) {
			expect(statuses.at(-1)).toBe(422);
		}
	});
});
