import {Buffer} from 'node:buffer';
import {createServer, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {expect, test} from 'vitest';
import {HttpUpstreamProtocol} from '../../platform/http-upstream-protocol.ts';
import {callUpstream} from '../../src/connection/links/upstream-call.ts';
import {UpstreamClients} from '../../src/connection/links/upstream-clients.ts';
import {SystemClock} from '../../src/process/clock.ts';
import {createUpstream} from '../fixtures/fleet/configuration.ts';
import {bindLoopback} from '../fixtures/bind-loopback.ts';

const bodyBytes = 1024 * 1024;

/*
Guards against a request that reaches its upstream after its caller has gone: bytes that the daemon has handed over wait in the
system's buffers while the link is congested, and closing the connection normally still sends them.
*/
test('a request whose caller leaves while its bytes wait for the link does not reach the upstream as a whole', async () => {
	let received = 0;
	const sockets: Socket[] = [];
	const server = createServer({pauseOnConnect: true}, socket => {
		sockets.push(socket);
		socket.on('error', () => undefined);
		socket.on('data', (chunk: Uint8Array) => {
			received += chunk.length;
		});
	});
	const address = await bindLoopback(server);
	try {
		await using upstreamClients = new UpstreamClients(new SystemClock());
		const protocol = new HttpUpstreamProtocol();
		const caller = new AbortController();
		const result = callUpstream({
			upstreamClients,
			protocol,
			upstream: createUpstream({address}),
			wire: {
				method: 'POST', path: '/lookup/', headers: ['host', 'a.example'], body: Buffer.alloc(bodyBytes, 'x'),
			},
			timeoutMs: 5000,
			signal: caller.signal,
		});
		await expect.poll(() => sockets.length).toBe(1);
		await delay(100);
		caller.abort('caller_gone');
		expect(await result).toMatchObject({kind: 'failed', failure: {kind: 'cancelled', wasSent: true}});
		await delay(50);
		sockets[0]!.resume();
		await delay(200);
		expect(received).toBeLessThan(bodyBytes);
	} finally {
		for (const socket of sockets) {
			socket.destroy();
		}

		server.close();
	}
});
