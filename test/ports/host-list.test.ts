import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {HttpHostList, type Host} from '../../src/ports/host-list.ts';
import {HostsServer} from '../../src/stand-ins/hosts/hosts-server.ts';

const engine: Host = {
	kind: 'engine', id: 'e1', address: '127.0.0.1:1', availabilityZone: 'zone-a', state: 'live', serves: 'press', enforcesFencing: true,
};

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
