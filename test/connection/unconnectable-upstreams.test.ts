import {describe, expect, test} from 'vitest';
import {HttpUpstreamProtocol} from '../../platform/http-upstream-protocol.ts';
import {callUpstream, type CallResult} from '../../src/connection/links/upstream-call.ts';
import {UpstreamClients} from '../../src/connection/links/upstream-clients.ts';
import {SystemClock} from '../../src/process/clock.ts';
import type {Upstream} from '../../src/ports/upstream.ts';
import {createUpstream} from '../fixtures/fleet/configuration.ts';

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
});
