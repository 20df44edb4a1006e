import {connect} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {describe, expect, test} from 'vitest';
import {createOperatorConfiguration, FleetFixture} from '../../fixtures/fleet/fleet-fixture.ts';

describe('readiness of the fleet daemon', () => {
	test('is reported once configuration and upstreams are known; until then requests are refused with a retry delay', async () => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'u-1'}], {isPrepared: false});
		await delay(200);
		expect(await fleet.readiness()).toBe(503);
		const refused = await fleet.send({path: '/book/1', method: 'POST', body: 'x'});
		expect(refused.status).toBe(503);
		expect(Number(refused.headers['retry-after'])).toBeGreaterThan(0);
		fleet.store.put('op', 'config', createOperatorConfiguration());
		await fleet.waitUntil(() => fleet.daemon.isReady);
		expect(await fleet.readiness()).toBe(200);
	});

	test('is not reported by a new daemon while the store is down; it refuses requests with 503 instead of 404', async () => {
		await using fleet = new FleetFixture();
		await fleet.store.start();
		fleet.store.put('op', 'config', createOperatorConfiguration());
		fleet.store.faults.status = 503;
		await fleet.startDaemon();
		await delay(300);
		expect(await fleet.status({path: '/none/1'})).toBe(503);
		expect(await fleet.readiness()).toBe(503);
	});

	test('is still reported during a store outage, with the last known configuration and upstreams', async () => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'u-1'}]);
		fleet.store.faults.status = 503;
		fleet.store.closeConnections();
		await fleet.waitForLine('store.lost');
		expect(await fleet.readiness()).toBe(200);
		expect(await fleet.status({path: '/lookup/1'})).toBe(200);
	});
});

describe('active configuration', () => {
	test('is updated within a second of the operator\'s change, also after the feed has lost its history', async () => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'u-1'}]);
		fleet.store.put('op', 'config', createOperatorConfiguration({version: 5, routes: []}));
		await fleet.waitUntil(() => fleet.logLines.some(line => line.event === 'configuration.inForce' && line.version === 5), 1000);
		expect(await fleet.status({path: '/lookup/1'})).toBe(404);
		fleet.store.dropHistory();
		fleet.store.put('op', 'config', createOperatorConfiguration({version: 6}));
		await fleet.waitUntil(() => fleet.logLines.some(line => line.event === 'configuration.inForce' && line.version === 6), 1000);
		expect(await fleet.status({path: '/lookup/1'})).toBe(200);
	});

	test('is never replaced by an older version or by an invalid row', async () => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'u-1'}]);
		fleet.store.put('op', 'config', createOperatorConfiguration({version: 3}));
		await fleet.waitUntil(() => fleet.logLines.some(line => line.version === 3));
		fleet.store.put('op', 'config', createOperatorConfiguration({version: 2, routes: []}));
		fleet.store.put('op', 'config', '{"version":');
		await fleet.waitForLine('configuration.invalid');
		expect(await fleet.status({path: '/lookup/1'})).toBe(200);
	});
});

describe('upstreams of the fleet daemon', () => {
	test('get no more requests two seconds after they start draining', async () => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'u-1'}, {id: 'u-2'}]);
		const [leaving] = fleet.upstreams;
		fleet.store.put('servers', 'u-1', leaving!.entry({state: 'draining', sequence: 2}));
		const leftAt = Date.now();
		await fleet.waitForLine('upstream.leaving');
		expect(Date.now() - leftAt).toBeLessThan(1900);
		const seen = leaving!.receivedRequests.length;
		for (let count = 0; count < 5; count += 1) {
			expect(await fleet.status({path: '/lookup/1'})).toBe(200);
		}

		expect(leaving!.receivedRequests).toHaveLength(seen);
	});

	test('are used although entries of other upstreams are invalid', async () => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'u-1'}]);
		fleet.store.put('servers', 'u-8', '{"service":');
		fleet.store.put('servers', 'u-9', {
			service: 'desk', address: 7, zone: 'zone-a', state: 'ready', sequence: 1, slots: 6,
		});
		await fleet.waitUntil(() => fleet.logLines.filter(line => line.event === 'upstream.invalidEntry').length === 2);
		expect(await fleet.status({path: '/lookup/1'})).toBe(200);
	});

	test('with an entry that is written again and again and cannot be used are logged once, and all of its drops are counted', async () => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'u-1'}]);
		const dropped = async () => Number(/^wagtailtack_dropped_entries (\d+)$/mv.exec(await fleet.metrics())?.[1]);
		for (let count = 1; count <= 4; count += 1) {
			fleet.store.put('servers', 'odd', fleet.upstreams[0]!.entry({address: '127.0.0.1:99999', sequence: count}));
			await expect.poll(dropped, {timeout: 2000}).toBe(count);
		}

		await fleet.waitForLine('upstream.invalidEntry');
		expect(fleet.logLines.filter(({event}) => event === 'upstream.invalidEntry')).toMatchObject([{upstream: 'odd', cause: 'the address is not an IPv4 address of a host with a port', count: 1}]);
	});

	test('are still tracked after the connection to the store stops responding', async () => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'u-1'}]);
		fleet.store.faults.isSilent = true;
		await fleet.waitForLine('store.lost');
		fleet.store.faults.isSilent = false;
		await fleet.addUpstream({id: 'u-2'});
		await fleet.waitUntil(() => fleet.logLines.some(line => line.event === 'upstream.appeared' && line.upstream === 'u-2'), 3000);
	}, 15_000);
});

describe('graceful shutdown of the fleet daemon', () => {
	test('leaves the rotation at once, completes requests in flight and closes connections with their next response', async () => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'u-1', delayMs: 300}]);
		const open = fleet.send({path: '/book/1', method: 'POST', body: 'x'});
		await fleet.waitUntil(() => fleet.upstreams[0]!.receivedRequests.length === 1);
		const stopped = fleet.daemon.stop();
		expect(await fleet.readiness()).toBe(503);
		expect(await open).toMatchObject({status: 200});
		const late = await fleet.send({path: '/book/1', method: 'POST', body: 'x'});
		expect(late).toMatchObject({status: 200});
		expect(late.headers.connection).toBe('close');
		await stopped;
	}, 15_000);

	test('responds to both of two requests pipelined on one connection', async () => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'u-1', delayMs: 200}]);
		const [host, port] = fleet.callerAddress.split(':');
		const socket = connect(Number(port), host);
		let text = '';
		socket.setEncoding('utf8');
		socket.on('data', (chunk: string) => {
			text += chunk;
		});
		const one = (id: string) => `GET /lookup/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: ${id}\r\nX-Deadline-Ms: 1500\r\n\r\n`;
		socket.write(one('first') + one('second'));
		await fleet.waitUntil(() => fleet.upstreams[0]!.receivedRequests.length > 0);
		const stopped = fleet.daemon.stop();
		await fleet.waitUntil(() => text.includes('x-request-id: first') && text.includes('x-request-id: second'), 3000);
		expect(text.match(/HTTP\/1\.1 200/gv)).toHaveLength(2);
		socket.destroy();
		await stopped;
	}, 15_000);
});
