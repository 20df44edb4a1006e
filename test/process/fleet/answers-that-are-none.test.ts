import type {Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {describe, expect, test} from 'vitest';
import {FleetFixture} from '../../fixtures/fleet/fleet-fixture.ts';
import {createRawUpstream, type RawUpstream} from '../../request/upstream-fixture.ts';

const headers = 'X-Request-Id: odd\r\nX-Response-Seal: seal\r\n';
const longBody = 'x'.repeat(4_000_000);
const streamed = {'x-token-counts': '91460,80', 'x-prompt-prefix': '5c1e:90800,91bd:410,e440:250'};
/** Kinds of calls, by the route that makes them. */
const calls = [
	{name: 'a lookup', path: '/lookup/1', role: {service: 'desk'}},
	{name: 'a booking', path: '/book/1', role: {service: 'desk'}},
	{name: 'a stream', path: '/flag/1', role: {service: 'model', stage: 'decode'}},
	{name: 'a stream that can be resumed', path: '/brief/1', role: {service: 'model', stage: 'decode'}},
] as const;
const limits = {
	max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3000, idle_timeout_ms: 15_000,
};

/** Adds an upstream on raw sockets to the list; `answer` is called with the first bytes of each request that is not a report. */
async function addUpstream(fleet: FleetFixture, role: Readonly<Record<string, string>>, answer: (socket: Socket) => unknown): Promise<RawUpstream> {
	const answered = new WeakSet<Socket>();
	const upstream = await createRawUpstream('odd', (socket, text) => {
		if (text.startsWith('GET /api/report')) {
			socket.write('HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n');
		}
	});
	upstream.server.on('connection', (socket: Socket) => {
		socket.once('data', (chunk: Uint8Array) => {
			if (!answered.has(socket) && !new TextDecoder().decode(chunk).startsWith('GET /api/report')) {
				answered.add(socket);
				answer(socket);
			}
		});
	});
	fleet.store.put('servers', 'odd', {
		address: upstream.host.address, zone: 'zone-a', slots: 128, state: 'ready', cold_remaining_ms: 0, sequence: 1, born: 1, ...role,
	});
	await fleet.waitUntil(() => fleet.logLines.some(({event, upstream: id}) => event === 'upstream.appeared' && id === 'odd'));
	return upstream;
}

describe('an answer whose status is none of HTTP is not passed on', () => {
	for (const status of ['000', '0', '99', '600', '999', '1e3', '']) {
		test.each(calls)(`${status === '' ? 'no status' : status}, to $name`, async ({path, role}) => {
			await using fleet = new FleetFixture();
			await fleet.start([]);
			await using _ = await addUpstream(fleet, role, socket => {
				socket.write(`HTTP/1.1 ${status} OK\r\n${headers}Content-Length: 4\r\n\r\npart`);
			});
			const response = await fleet.stream(path, {id: 'odd', deadlineMs: 1000});
			expect([502, 503, 504]).toContain(response.status);
			expect(response.headers['x-response-seal']).toBe(undefined);
		});
	}

	test.each(['000', '600'])('%s, to a prefill, which is done elsewhere', async status => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'decode', stage: 'decode'}]);
		await using _ = await addUpstream(fleet, {service: 'model', stage: 'prefill'}, socket => {
			socket.write(`HTTP/1.1 ${status} OK\r\n${headers}Content-Length: 4\r\n\r\npart`);
		});
		const response = await fleet.stream('/brief/1', {id: 'odd', headers: streamed});
		expect([response.status, response.isWhole]).toEqual([200, true]);
	});
});

/** Ways in which an upstream breaks off its answer while the request is being written. */
const breaks = [
	{
		name: 'resets', end(socket: Socket) {
			socket.resetAndDestroy();
		},
	},
	{
		name: 'closes with unread bytes', end(socket: Socket) {
			socket.destroy();
		},
	},
	{
		name: 'ends and then resets', end(socket: Socket) {
			socket.end();
			setTimeout(() => {
				socket.resetAndDestroy();
			}, 20);
		},
	},
] as const;

describe('a part of an answer without a length, on a connection that breaks while the request is being written, is not passed on as a whole', () => {
	for (const {name: way, end} of breaks) {
		for (const pauseMs of [0, 20]) {
			test.each(calls)(`to $name, when the upstream ${way} after ${pauseMs} ms`, async ({path, role}) => {
				await using fleet = new FleetFixture();
				await fleet.start([], {configuration: {limits}});
				await using _ = await addUpstream(fleet, role, async socket => {
					socket.pause();
					socket.write(`HTTP/1.1 200 OK\r\n${headers}\r\nid: 1\ndata: part\n\n`);
					await delay(pauseMs);
					end(socket);
				});
				const response = await fleet.stream(path, {id: 'odd', deadlineMs: 1000, body: longBody});
				expect(response.status === 200 && response.isWhole).toBe(false);
			});
		}

		test(`to a prefill, which is done elsewhere, when the upstream ${way}`, async () => {
			await using fleet = new FleetFixture();
			await fleet.start([{id: 'decode', stage: 'decode'}], {configuration: {limits}});
			await using _ = await addUpstream(fleet, {service: 'model', stage: 'prefill'}, async socket => {
				socket.pause();
				socket.write(`HTTP/1.1 200 OK\r\n${headers}\r\n{"kv_handle":"h","tokens":1,"version":1}`);
				await delay(20);
				end(socket);
			});
			const response = await fleet.stream('/brief/1', {id: 'odd', headers: streamed, body: longBody});
			expect([response.status, response.isWhole]).toEqual([200, true]);
		});
	}
});
