import {once} from 'node:events';
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {request} from 'undici';
import {expect, test} from 'vitest';
import {demoKey, demoModels} from '../../src/demo/local-deployment.ts';
import {SpawnedDeployment} from '../fixtures/spawned-deployment.ts';

const throwOnSignal = path.join(import.meta.dirname, '../fixtures/fleet/throw-on-signal.cjs');

// Guards against streams that are cut because an error in another part of the daemon ended the process at once.
test('an uncaught error ends a daemon after the requests in flight, with code 1', async () => {
	await using deployment = await SpawnedDeployment.create([], 100);
	const {url, child} = await deployment.start('a1', ['--require', throwOnSignal]);
	let output = '';
	child.stdout!.on('data', (chunk: Uint8Array) => {
		output += String(chunk);
	});
	const exit = once(child, 'exit');
	const response = await request(`${url}/v1/chat/completions`, {
		method: 'POST',
		headers: {authorization: `Bearer ${demoKey}`},
		body: JSON.stringify({
			model: demoModels[0], stream: true, max_tokens: 300, messages: [{role: 'user', content: 'check'}],
		}),
	});
	child.kill('SIGUSR2');
	await delay(50);
	child.kill('SIGUSR2');
	expect(await response.body.text()).toMatch(/data: \[DONE\]\n\n$/v);
	expect(await exit).toEqual([1, null]);
	expect(output.match(/An uncaught error ends the daemon/gv)).toHaveLength(1);
	expect(output).toContain('injected');
	expect(output).toContain('The daemon is drained');
}, 20_000);
