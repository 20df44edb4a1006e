import {createServer} from 'node:http';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {closeAbruptly, listen} from '../../src/connection/http-listener.ts';
import {HttpHostList, type Host} from '../../src/ports/host-list.ts';
import {HostsServer} from '../../src/stand-ins/hosts/hosts-server.ts';

const engine: Host = {
	kind: 'engine', id: 'e1', address: '127.0.0.1:1', availabilityZone: 'zone-a', state: 'live', serves: 'press', enforcesFencing: true,
};

function nestDeeply(depth: number): unknown {
	let value: unknown = 0;
	for (let level = 0; level < depth; level += 1) {
		value = [value];
	}

	return value;
}

describe('the host list over HTTP', () => {
	let server: HostsServer;
	let list: HttpHostList;

	beforeEach(async () => {
		server = new HostsServer([engine]);
		const {port} = await server.listen({host: '127.0.0.1', port: 0});
		list = new HttpHostList(`http://127.0.0.1:${port}/hosts`);
	});

	afterEach(async () => {
		await server[Symbol.asyncDispose]();
	});

	it('reads every label', async () => {
		expect(await readHosts()).toEqual([engine]);
	});

	it('is not transferred again while unchanged, so that its cost depends on changes and not on its size', async () => {
		const first = await readHosts();
		expect(await readHosts()).toBe(first);
	});

	it('is read again after a change', async () => {
		await readHosts();
		const leaving: Host = {...engine, state: 'leaving'};
		server.setHosts([leaving]);
		expect(await readHosts()).toEqual([leaving]);
	});

	it('shows a change only after the lag', async () => {
		server.setFaults({lagMs: 60_000});
		server.setHosts([]);
		expect(await readHosts()).toEqual([engine]);
	});

	it.each<readonly [string, unknown]>([
		['a group without labels', {targets: ['127.0.0.1:2']}],
		['text instead of a group', 'x'],
		['an unknown kind', {targets: ['127.0.0.1:2'], labels: {kind: 'constructor', id: 'e2', availability_zone: 'zone-a'}}],
		['a port out of range', {
			targets: ['127.0.0.1:99999'], labels: {
				kind: 'engine', id: 'e2', availability_zone: 'zone-a', serves: 'press',
			},
		}],
		['a deeply nested label', {targets: [], labels: {kind: nestDeeply(2000)}}],
	])('drops one item by itself, and goes on with the others: %s', async (_name, item) => {
		const group = {
			targets: [engine.address], labels: {
				kind: 'engine', id: 'e1', availability_zone: 'zone-a', serves: 'press', fencing: 'enforced',
			},
		};
		const answers = createServer((_request, response) => {
			response.end(JSON.stringify([item, group]));
		});
		const {port} = await listen(answers, {host: '127.0.0.1', port: 0});
		list = new HttpHostList(`http://127.0.0.1:${port}/hosts`);
		expect(await readHosts()).toEqual([engine]);
		expect(list.droppedItems).toBe(1);
		await closeAbruptly(answers);
	});

	it('reports an outage as a failure, so that no reader mistakes it for an empty list', async () => {
		server.setFaults({down: true});
		const result = await list.read();
		expect(result.isLeft()).toBe(true);
	});

	async function readHosts(): Promise<readonly Host[] | undefined> {
		const result = await list.read();
		return result.toMaybe().extract();
	}
});
