import {Agent, request} from 'node:http';
import {connect} from 'node:net';
import {setImmediate, setTimeout as delay} from 'node:timers/promises';
import {describe, expect, test} from 'vitest';
import {FleetFixture} from '../../fixtures/fleet/fleet-fixture.ts';

/** Grace period of these tests, in milliseconds; short, so that a test takes seconds. */
const graceMs = 4000;
const callerTimeoutMs = 6000;
const sendIntervalMs = 50;

const routeDefaults = {
	host: 'a.example', timeout_ms: 30_000, target_latency_ms: 400, priority: 1, max_attempts: 1,
};
const configuration = {
	routes: [
		{
			...routeDefaults, name: 'lookup', path_prefix: '/lookup/', kind: 'idempotent', max_attempts: 2, service: 'desk',
		},
		{
			...routeDefaults, name: 'book', path_prefix: '/book/', kind: 'non_idempotent', service: 'desk',
		},
		{
			...routeDefaults, name: 'plan', path_prefix: '/plan/', kind: 'non_idempotent', target_latency_ms: 1000, service: 'desk',
		},
		{
			...routeDefaults, name: 'flag', path_prefix: '/flag/', kind: 'streaming', target_gap_ms: 1000, service: 'model', sticky: true, resumable: false,
		},
	],
};

/** What a caller saw of one request. */
type Seen = {
	readonly id: string;
	readonly sentAt: number;
	/** 0 if the connection closed without a response. */
	readonly status: number;
	readonly isWhole: boolean;
	readonly closesConnection: boolean;
	readonly retryAfter: string | undefined;
};

/** Caller with one connection that it keeps. */
class KeptConnection implements Disposable {
	readonly #agent = new Agent({keepAlive: true, maxSockets: 1});
	readonly #address: string;

	constructor(address: string) {
		this.#address = address;
	}

	async send(path: string, id: string, deadlineMs = callerTimeoutMs): Promise<Seen> {
		const [host, port] = this.#address.split(':');
		const {promise, resolve} = Promise.withResolvers<Seen>();
		const sentAt = performance.now();
		const sent = request({
			host,
			port: Number(port),
			path,
			method: 'POST',
			agent: this.#agent,
			headers: {
				host: 'a.example',
				'x-request-id': id,
				'x-deadline-ms': String(deadlineMs),
				'content-length': '1',
				...(path.startsWith('/flag/') ? {'x-model': 'm', 'x-token-counts': '14600,80', 'x-prompt-prefix': '5c1e:8000,91bd:4100,e440:2500'} : {}),
			},
		}, response => {
			const finish = () => {
				resolve({
					id, sentAt, status: response.statusCode ?? 0, isWhole: response.complete, closesConnection: response.headers.connection === 'close', retryAfter: response.headers['retry-after'],
				});
			};

			response.on('error', () => undefined);
			response.once('close', finish);
			response.resume();
		});
		sent.once('error', () => {
			resolve({
				id, sentAt, status: 0, isWhole: false, closesConnection: false, retryAfter: undefined,
			});
		});
		sent.end('x');
		return promise;
	}

	[Symbol.dispose](): void {
		this.#agent.destroy();
	}
}

/** Opens kept connections, each with one answered request, before the stop. */
async function openConnections(fleet: FleetFixture, count: number): Promise<readonly KeptConnection[]> {
	const connections = Array.from({length: count}, () => new KeptConnection(fleet.callerAddress));
	await Promise.all(connections.map(async (connection, index) => connection.send('/lookup/1', `opening-${index}`)));
	return connections;
}

/** Requests without a whole answer that the daemon had read, except for streams that had begun. */
function findLost(fleet: FleetFixture, seen: readonly Seen[]): readonly string[] {
	const read = new Set(fleet.logLines.map(line => line.request));
	return seen.filter(({id, status, isWhole}) => !isWhole && read.has(id) && !(id.startsWith('flag') && status === 200)).map(({id, status}) => `${id}: ${status}`);
}

/** Requests that were refused as not run although an upstream ran them. */
function findFalselyRefused(fleet: FleetFixture, seen: readonly Seen[]): readonly string[] {
	const started = new Set(fleet.upstreams.flatMap(({startedRequestIds}) => startedRequestIds));
	return seen.filter(({id, status}) => (status === 503 || status === 429) && started.has(id) && !id.startsWith('lookup')).map(({id}) => id);
}

describe.concurrent('a planned stop of the fleet daemon', () => {
	test.each([1000, 2500, 6000])('cuts no request without an answer while upstreams take %i ms and callers on kept connections keep sending', async workMs => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'u-1'}, {id: 'u-2'}, {id: 'u-3', stage: 'prefill'}, {id: 'u-4', stage: 'decode', eventCount: 5}], {graceMs, configuration});
		const kinds = ['book', 'lookup', 'flag'];
		const connections = await openConnections(fleet, Math.floor(graceMs / sendIntervalMs));
		for (const {behaviour} of fleet.upstreams.slice(0, 2)) {
			behaviour.delayMs = workMs;
		}

		fleet.upstreams[3]!.behaviour.eventIntervalMs = workMs / 5;
		const stopped = fleet.stopDaemons();
		const startedAt = performance.now();
		const pending: Array<Promise<Seen>> = [];
		for (const [index, connection] of connections.entries()) {
			await delay(Math.max(0, startedAt + (index * sendIntervalMs) - performance.now()));
			const kind = kinds[index % kinds.length]!;
			pending.push(connection.send(`/${kind}/1`, `${kind}-${index}`));
		}

		const seen = await Promise.all(pending);
		expect(await stopped, 'time to the exit').toBeLessThan(graceMs);
		expect(findLost(fleet, seen)).toEqual([]);
		expect(findFalselyRefused(fleet, seen)).toEqual([]);
		for (const connection of connections) {
			connection[Symbol.dispose]();
		}
	}, 15_000);

	test('refuses requests that wait for a paused upstream, instead of cutting them at the exit', async () => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'u-1'}], {graceMs, configuration});
		const connections = await openConnections(fleet, 10);
		const {behaviour} = fleet.upstreams[0]!;
		behaviour.status = 503;
		behaviour.isMarkedNotRun = true;
		behaviour.retryAfterSeconds = graceMs / 1000;
		const [pausing, ...waiting] = connections;
		const first = await pausing!.send('/book/1', 'book-pausing');
		const pending = waiting.map(async (connection, index) => connection.send('/book/1', `book-${index}`, 5 * graceMs));
		await fleet.waitUntil(() => fleet.logLines.filter(({event}) => event === 'queued').length === waiting.length);
		const stopped = fleet.stopDaemons();
		const seen = await Promise.all(pending);
		await stopped;
		expect(findLost(fleet, [first, ...seen])).toEqual([]);
		expect(seen.map(({status, retryAfter}) => ({status, isSoon: Number(retryAfter) < 1}))).toEqual(seen.map(() => ({status: 503, isSoon: true})));
		expect(findFalselyRefused(fleet, seen)).toEqual([]);
		for (const connection of connections) {
			connection[Symbol.dispose]();
		}
	}, 15_000);

	test('sends no request from a queue that could no longer end in time, so that none is broken off at work', async () => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'u-1'}], {graceMs, configuration});
		const connections = await openConnections(fleet, 6);
		const {behaviour} = fleet.upstreams[0]!;
		behaviour.delayMs = 2000;
		await connections[0]!.send('/plan/1', 'plan-usual');
		behaviour.delayMs = 0;
		behaviour.status = 503;
		behaviour.isMarkedNotRun = true;
		behaviour.retryAfterSeconds = 0.9;
		const stopped = fleet.stopDaemons();
		await delay(900);
		const [pausing, ...waiting] = connections;
		const first = await pausing!.send('/plan/1', 'plan-pausing');
		behaviour.status = undefined;
		behaviour.delayMs = 2000;
		const seen = await Promise.all(waiting.map(async (connection, index) => connection.send('/plan/1', `plan-${index}`, 5 * graceMs)));
		await stopped;
		expect(fleet.logLines.filter(({event}) => event === 'queued')).toHaveLength(waiting.length);
		expect([first, ...seen].map(({status}) => status)).toEqual([first, ...seen].map(() => 503));
		expect(findFalselyRefused(fleet, seen)).toEqual([]);
		for (const connection of connections) {
			connection[Symbol.dispose]();
		}
	}, 15_000);
});

test('a planned stop refuses a request whose body is still incomplete at its end, so that the caller knows that it has not run', async () => {
	await using fleet = new FleetFixture();
	await fleet.start([{id: 'u-1'}], {graceMs, configuration});
	const [host, port] = fleet.callerAddress.split(':');
	const socket = connect(Number(port), host);
	let text = '';
	socket.setEncoding('utf8');
	socket.on('data', (chunk: string) => {
		text += chunk;
	});
	socket.on('error', () => undefined);
	socket.write('POST /book/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: slow\r\nX-Deadline-Ms: 20000\r\nContent-Length: 10\r\n\r\n12345');
	await delay(100);
	await fleet.stopDaemons();
	expect(text).toMatch(/^HTTP\/1\.1 503 /v);
	expect(text.toLowerCase()).toContain('connection: close');
	const {refused, failed, brokenOff, openRequests} = await fleet.waitForLine('process.stopped');
	expect({
		refused, failed, brokenOff, openRequests,
	}).toEqual({
		refused: 1, failed: 0, brokenOff: 0, openRequests: 0,
	});
	socket.destroy();
}, 15_000);

test('a daemon that stood still at the end of its stop answers what it has not read yet', async () => {
	await using fleet = new FleetFixture();
	await fleet.start([{id: 'u-1'}], {graceMs: 6000, configuration});
	const [host, port] = fleet.callerAddress.split(':');
	const socket = connect({host: host!, port: Number(port)});
	let received = '';
	socket.setEncoding('utf8').on('data', (text: string) => {
		received += text;
	});
	socket.on('error', () => undefined);
	const head = 'POST /book/1 HTTP/1.1\r\nhost: a.example\r\nx-deadline-ms: 1000\r\ncontent-length: 1\r\nx-request-id: ';
	socket.write(`${head}before\r\n\r\nx`);
	await fleet.waitUntil(() => received.includes('HTTP/1.1 200'));
	const startedAt = performance.now();
	const stopped = fleet.stopDaemons();
	await delay(2570);
	// The timers of the next iteration of the event loop run before it reads the socket.
	await setImmediate();
	received = '';
	socket.write(`${head}late\r\n\r\nx`);
	while (performance.now() - startedAt < 2800) {
		// The daemon runs in this process and stands still as well.
	}

	await stopped;
	expect(received).toMatch(/^HTTP\/1\.1 (?:200|503) /v);
});
