import {setTimeout as delay} from 'node:timers/promises';
import {request} from 'undici';
import {describe, expect, it} from 'vitest';
import {seedConfiguration} from '../src/demo/seed-configuration.ts';
import {DynamoTable} from '../src/ports/dynamo-table.ts';
import {HttpObjectStore} from '../src/ports/object-store.ts';
import {spawnCommand} from './fixtures/spawned-process.ts';

describe('separate processes', () => {
	it('serve a streamed completion, so that no component depends on shared memory', async () => {
		await using platform = await spawnCommand(['stand-in', 'platform'], '[platform]\nlisten = 127.0.0.1:0\n');
		await using engine = await spawnCommand(['stand-in', 'engine'], '[engine]\nlisten = 127.0.0.1:0\nid = e1\nmodel = press\n');
		await using hosts = await spawnCommand(['stand-in', 'hosts'], `[hosts]
listen = 127.0.0.1:0
[host.e1]
kind = engine
address = ${engine.url.slice('http://'.length)}
availability-zone = zone-a
serves = press
`);
		await using table = new DynamoTable({endpoint: platform.url, tableName: 'wagtailtack'});
		await seedConfiguration(table, new HttpObjectStore(platform.url), [{customer: 'tuul', key: 'secret'}]);
		await using daemon = await spawnCommand(['serve'], `[daemon]
id = a1
availability-zone = zone-a
listen = 127.0.0.1:0
peer-listen = 127.0.0.1:0
[platform]
table = ${platform.url}
objects = ${platform.url}
hosts = ${hosts.url}/hosts
`);
		await waitUntilReady(daemon.url);
		const response = await request(`${daemon.url}/v1/chat/completions`, {
			method: 'POST',
			headers: {authorization: 'Bearer secret'},
			body: JSON.stringify({
				model: 'press', stream: true, max_tokens: 3, messages: [{role: 'user', content: 'check'}],
			}),
		});
		const text = await response.body.text();
		expect(text.trim().split('\n\n')).toHaveLength(4);
		expect(text).toMatch(/data: \[DONE\]\n\n$/v);
	});
});

async function waitUntilReady(url: string): Promise<void> {
	for (;;) {
		const response = await request(`${url}/readyz`);
		await response.body.dump();
		if (response.statusCode === 200) {
			return;
		}

		await delay(20);
	}
}
