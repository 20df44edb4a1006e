import {setTimeout as delay} from 'node:timers/promises';
import {describe, expect, test} from 'vitest';
import {HttpUpstreamProtocol} from '../../platform/http-upstream-protocol.ts';
import {StoreConnection} from '../../platform/store-client.ts';
import {callUpstream} from '../../src/connection/links/upstream-call.ts';
import {UpstreamClients} from '../../src/connection/links/upstream-clients.ts';
import {SystemClock} from '../../src/process/clock.ts';
import {
	createEndlessAnswers, createEndlessBodies, writeEndlessly, type EndlessAnswer,
} from '../fixtures/endless-answers.ts';
import {createUpstream} from '../fixtures/fleet/configuration.ts';
import {createRawUpstream} from '../request/upstream-fixture.ts';

/** Timeout of the calls, in milliseconds; an endless answer must end well before. */
const timeoutMs = 5000;
const answerBoundMs = 1500;
/** Bytes that the other end may have sent by then; socket buffers on both sides hold several megabytes. */
const sentBoundBytes = 48 * 1024 * 1024;

const answers = [...createEndlessAnswers(''), ...createEndlessBodies('')];

async function createEndlessServer(answer: EndlessAnswer) {
	const closed = Promise.withResolvers<number>();
	const server = await createRawUpstream('endless', async socket => {
		closed.resolve(await writeEndlessly(socket, answer));
	});
	return {server, closed: closed.promise};
}

/** Runs a call against an endless answer and checks its bounds; the call returns true if it failed. */
async function expectBounded(answer: EndlessAnswer, call: (address: string) => Promise<boolean>): Promise<void> {
	const {server, closed} = await createEndlessServer(answer);
	await using _ = server;
	const startMs = performance.now();
	expect(await call(server.host.address)).toBe(true);
	expect(performance.now() - startMs).toBeLessThan(answerBoundMs);
	expect(await closed).toBeLessThan(sentBoundBytes);
}

// Guards against bytes that belong to no part of an answer with a limit of its own, which a caller would read until its timeout.
describe('an answer that never ends is given up within a bound of bytes and time', () => {
	test.each(answers)('in a call to an upstream: $name', async answer => {
		await using upstreamClients = new UpstreamClients(new SystemClock());
		const protocol = new HttpUpstreamProtocol();
		await expectBounded(answer, async address => {
			const upstream = createUpstream({address});
			const result = await callUpstream({
				upstreamClients, protocol, upstream, wire: protocol.encodeReportRequest(upstream), timeoutMs,
			});
			// The daemon closes the connection, so this is no sign of a crash of the upstream.
			return result.kind === 'failed' && result.failure.wasSent && result.failure.kind === 'invalid';
		});
	});

	test.each(answers)('in a call to the store: $name', async answer => {
		await expectBounded(answer, async address => {
			await using connection = new StoreConnection(address);
			const result = await connection.call({method: 'GET', path: '/api/rows-get', timeoutMs});
			return result.isLeft();
		});
	});

	// Guards against a process that ends when the store refuses connections.
	test('and a store that refuses connections is reported as a failure', async () => {
		const {host: {address}, ...closed} = await createRawUpstream('closed', () => undefined);
		await closed[Symbol.asyncDispose]();
		await using connection = new StoreConnection(address);
		const result = await connection.call({method: 'GET', path: '/api/rows-get', timeoutMs});
		expect(result.isLeft()).toBe(true);
	});

	test('after a complete answer on a kept connection, whose next request gets its own answer', async () => {
		let requests = 0;
		await using server = await createRawUpstream('extra', async socket => {
			requests += 1;
			socket.write(`HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n0${requests}`);
			if (requests === 1) {
				await writeEndlessly(socket, {name: '', start: '', repeated: 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno'});
			}
		});
		await using upstreamClients = new UpstreamClients(new SystemClock());
		const protocol = new HttpUpstreamProtocol();
		const upstream = createUpstream({address: server.host.address});
		const bodies: string[] = [];
		for (let count = 0; count < 3; count += 1) {
			const result = await callUpstream({
				upstreamClients, protocol, upstream, wire: protocol.encodeReportRequest(upstream), timeoutMs,
			});
			// The surplus bytes arrive while the connection is idle.
			await delay(50);
			bodies.push(result.kind === 'answered' ? new TextDecoder().decode(result.body) : result.kind);
		}

		expect(bodies).toEqual(['01', '02', '03']);
		expect(server.open.size).toBeLessThanOrEqual(1);
	});
});
