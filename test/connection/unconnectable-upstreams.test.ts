import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {connect} from 'node:net';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {describe, expect, test} from 'vitest';
import {HttpUpstreamProtocol} from '../../platform/http-upstream-protocol.ts';
import {callUpstream, type CallResult} from '../../src/connection/links/upstream-call.ts';
import {defaultConnectionTimeouts, UpstreamClients} from '../../src/connection/links/upstream-clients.ts';
import {SystemClock} from '../../src/process/clock.ts';
import type {Upstream} from '../../src/ports/upstream.ts';
import {createUpstream} from '../fixtures/fleet/configuration.ts';
import {UpstreamServer} from '../fixtures/fleet/upstream-server.ts';
import {endWithThisProcess} from '../fixtures/process-guard.ts';

async function call(upstream: Upstream): Promise<CallResult> {
	await using upstreamClients = new UpstreamClients(new SystemClock());
	const protocol = new HttpUpstreamProtocol();
	const result = await callUpstream({
		upstreamClients, protocol, upstream, wire: protocol.encodeReportRequest(upstream), timeoutMs: 1000,
	});
	return result;
}

describe('a send to an upstream', () => {
	test.each([
		'127.0.0.1:99999', '999.0.0.1:80', 'no address', '', 'a b:1',
	])('fails as unreachable instead of throwing if nothing can connect to its address: %j', async address => {
		expect(await call(createUpstream({address}))).toMatchObject({kind: 'failed', failure: {wasSent: false, kind: 'unreachable'}});
	});

	test.each([
		{id: 'u\r\nx: y', address: '127.0.0.1:1'},
		{id: 'u-1', address: '127.0.0.1:1/\u0000'},
	])('fails instead of throwing if its id cannot be sent in a header, or its port is not a number: %j', async values => {
		expect(await call(createUpstream(values))).toMatchObject({kind: 'failed', failure: {wasSent: false}});
	});

	test('connects to port 80, which a URL leaves out', async () => {
		const result = await call(createUpstream({address: '127.0.0.1:80'}));
		expect(result.kind === 'failed' ? result.failure.message : 'an answer').toMatch(/^an answer$|127\.0\.0\.1:80$/v);
	});

	// Guards against a host that was busy or suspended taking all its upstreams for unreachable.
	test('is answered if the daemon stood still while the connection was established', async () => {
		await using server = new UpstreamServer();
		await server.start();
		const result = call(createUpstream({address: server.address}));
		const endAt = performance.now() + (1.5 * defaultConnectionTimeouts.connectTimeoutMs);
		while (performance.now() < endAt) {
			// The process stands still.
		}

		expect(await result).toMatchObject({kind: 'answered'});
	});

	test('fails as unreachable if its connection is not established in time', async () => {
		const script = 'const server = require("node:net").createServer(); server.listen({port: 0, host: "127.0.0.1", backlog: 1}, () => console.log(server.address().port));';
		const child = spawn(process.execPath, ['--eval', script], {stdio: ['ignore', 'pipe', 'inherit']});
		endWithThisProcess(child);
		const [output] = await once(child.stdout, 'data') as [Uint8Array];
		const port = Number(new TextDecoder().decode(output));
		child.kill('SIGSTOP');
		// The queue of a stopped process holds two connections; the system drops further ones.
		const waiting = Array.from({length: 4}, () => connect({host: '127.0.0.1', port}).on('error', () => undefined));
		await delay(100);
		try {
			expect(await call(createUpstream({address: `127.0.0.1:${port}`}))).toMatchObject({kind: 'failed', failure: {wasSent: false, kind: 'unreachable'}});
		} finally {
			child.kill('SIGKILL');
			for (const socket of waiting) {
				socket.destroy();
			}
		}
	});
});
