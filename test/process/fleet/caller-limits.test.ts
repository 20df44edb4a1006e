import {connect} from 'node:net';
import {describe, expect, test} from 'vitest';
import {FleetFixture} from '../../fixtures/fleet/fleet-fixture.ts';

const head = 'Host: a.example\r\nX-Request-Id: r\r\nX-Deadline-Ms: 5000\r\n';
const limits = {
	max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3000, idle_timeout_ms: 15_000,
};

/** Sends text on a connection of its own, and returns the statuses of the answers once there are `count` of them or the connection has closed. */
async function readStatuses(fleet: FleetFixture, text: string, count: number): Promise<readonly number[]> {
	const [host, port] = fleet.callerAddress.split(':');
	const {promise, resolve} = Promise.withResolvers<readonly number[]>();
	let received = '';
	const readAll = () => [...received.matchAll(/HTTP\/1\.1 (\d{3}) /gv)].map(match => Number(match[1]));
	const socket = connect({host, port: Number(port)});
	socket.on('data', (chunk: Uint8Array) => {
		received += new TextDecoder().decode(chunk);
		if (readAll().length >= count) {
			resolve(readAll());
		}
	});
	socket.on('error', () => {
		socket.destroy();
	});
	socket.once('close', () => {
		resolve(readAll());
	});
	socket.write(text);
	const statuses = await promise;
	socket.destroy();
	return statuses;
}

describe('a single caller inside the limits of the configuration', () => {
	test('is served with a body in chunks of one byte', async () => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'u-1'}], {configuration: {limits}});
		const text = `POST /lookup/1 HTTP/1.1\r\n${head}Transfer-Encoding: chunked\r\n\r\n${'1\r\nx\r\n'.repeat(50_000)}0\r\n\r\n`;
		expect(await readStatuses(fleet, text, 1)).toEqual([200]);
		expect(await fleet.metric('wagtailtack_request_body_bytes')).toBe(0);
	});

	test('is served with the largest body', async () => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'u-1'}], {configuration: {limits}});
		expect(await fleet.status({path: '/lookup/1', method: 'POST', body: 'x'.repeat(limits.max_body_bytes)})).toBe(200);
		expect(await fleet.metric('wagtailtack_request_body_bytes')).toBe(0);
	});
});

describe('a caller outside the limits', () => {
	test('gets answers to the requests sent ahead within the limit, and to the next one a refusal as not run', async () => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'u-1'}]);
		const statuses = await readStatuses(fleet, `GET /lookup/1 HTTP/1.1\r\n${head}\r\n`.repeat(40), 40);
		expect(statuses).toEqual([...Array.from({length: 16}, () => 200), 503]);
		expect(fleet.upstreams[0]!.executedRequests).toHaveLength(16);
		expect(await fleet.metric('wagtailtack_callers_limited_total{limit="pipelining"}')).toBe(1);
		await fleet.waitForLine('callers.limited');
	});

	test('is refused before its body arrives where there is no route', async () => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'u-1'}]);
		expect(await readStatuses(fleet, `POST /none/1 HTTP/1.1\r\n${head}Content-Length: 1000\r\n\r\nx`, 1)).toEqual([404]);
	});

	test('gets 413 for a body over the limit, and the connection closes', async () => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'u-1'}]);
		expect(await readStatuses(fleet, `POST /lookup/1 HTTP/1.1\r\n${head}Content-Length: 4000000000\r\n\r\nx`, 2)).toEqual([413]);
	});
});
