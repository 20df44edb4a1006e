import {connect, type AddressInfo, type Socket} from 'node:net';
import type {Server} from 'node:http';
import {once} from 'node:events';
import {setImmediate, setTimeout as delay} from 'node:timers/promises';
import {Worker} from 'node:worker_threads';
import {
	afterEach, describe, expect, test,
} from 'vitest';
import type {ClosedConnection} from '../../src/connection/caller-connection.ts';
import {
	closeIdleConnections, createCallerServer, stopListening, type CallerServerOptions,
} from '../../src/connection/caller-server.ts';
import {closeAbruptly, listen} from '../../src/connection/http-listener.ts';

const holdTimesMs = [50, 300, 900];
/** More than the operating system buffers. */
const largeBytes = 32 * 1024 * 1024;
const get = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';

let server: Server;
const closed: ClosedConnection[] = [];

afterEach(async () => {
	closed.length = 0;
	await closeAbruptly(server);
});

/** What a caller and the server have of one connection. */
type Pair = {
	readonly caller: Socket;
	readonly accepted: Socket;
	readonly text: () => string;
	readonly isClosed: () => boolean;
};

async function startServer(idleTimeoutMs: number, options: Partial<CallerServerOptions> = {}): Promise<void> {
	server = createCallerServer({
		maxHeaderBytes: 16_384,
		idleTimeoutMs,
		...options,
		onClosed(connection) {
			closed.push(connection);
		},
	}, (request, response) => {
		if (request.url === '/early') {
			response.end('ok');
			return;
		}

		request.resume();
		request.once('end', () => {
			response.end(request.url === '/large' ? `${'x'.repeat(largeBytes)}end` : 'ok');
		});
	});
	await listen(server, {host: '127.0.0.1', port: 0});
}

/** Opens a connection and has one request answered on it, so that it is idle. */
async function openIdle(): Promise<Pair> {
	const {promise, resolve} = Promise.withResolvers<Socket>();
	server.once('connection', resolve);
	const caller = connect((server.address() as AddressInfo).port, '127.0.0.1');
	let text = '';
	let isClosed = false;
	caller.setNoDelay(true).setEncoding('latin1').on('data', (chunk: string) => {
		text += chunk;
	});
	caller.on('error', () => {
		caller.destroy();
	});
	caller.once('close', () => {
		isClosed = true;
	});
	const pair = {
		caller, accepted: await promise, text: () => text, isClosed: () => isClosed,
	};
	caller.write(get);
	await expect.poll(() => countAnswers(pair), {interval: 5}).toBe(1);
	return pair;
}

function countAnswers({text}: Pair): number {
	return text().split('HTTP/1.1 200').length - 1;
}

/** Stands for work that holds the event loop. */
function hold(durationMs: number): void {
	for (const endAt = performance.now() + durationMs; performance.now() < endAt;) {
		// Waits.
	}
}

async function writeAndHold({caller}: Pair, holdMs: number): Promise<void> {
	await setImmediate();
	await setImmediate();
	await setImmediate();
	caller.write(get);
	hold(holdMs);
}

/** Opens connections in a thread of its own once it gets a message, sends a request on each, and posts the number of answers. */
const callerThread = String.raw`
const {connect} = require('node:net');
const {parentPort, workerData: {port, count}} = require('node:worker_threads');
let answers = 0;
let closed = 0;
parentPort.once('message', () => {
	for (let index = 0; index < count; index += 1) {
		let text = '';
		const socket = connect(port, '127.0.0.1', () => {
			socket.write('GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n');
		});
		socket.on('data', chunk => {
			text += chunk;
		}).on('error', () => {}).once('close', () => {
			answers += text.includes('200 OK') ? 1 : 0;
			closed += 1;
			if (closed === count) {
				parentPort.postMessage(answers);
			}
		});
	}
});
parentPort.postMessage('ready');
`;

test('requests on connections that wait to be accepted are answered although the server stops listening', async () => {
	await startServer(5000);
	const count = 12;
	const callers = new Worker(callerThread, {eval: true, workerData: {port: (server.address() as AddressInfo).port, count}});
	await once(callers, 'message');
	const answers = once(callers, 'message') as Promise<readonly number[]>;
	callers.postMessage('start');
	hold(500);
	await stopListening(server);
	expect(await answers).toEqual([count]);
	await callers.terminate();
});

test('a request whose rest waits unread when its time-out passes is answered', async () => {
	await startServer(5000, {headersTimeoutMs: 300, checkIntervalMs: 50});
	const accepting = once(server, 'connection') as Promise<readonly Socket[]>;
	const caller = connect((server.address() as AddressInfo).port, '127.0.0.1');
	let text = '';
	caller.setNoDelay(true).setEncoding('latin1').on('data', (chunk: string) => {
		text += chunk;
	});
	caller.write(get.slice(0, 10));
	const [accepted] = await accepting;
	await expect.poll(() => accepted!.bytesRead, {interval: 5}).toBeGreaterThan(0);
	await setImmediate();
	caller.write(get.slice(10));
	hold(500);
	await expect.poll(() => text).toMatch(/^HTTP\/1\.1 200 OK/v);
	caller.destroy();
});

describe('a request that waits unread in the operating system while the event loop is held', () => {
	test.each(holdTimesMs)('is answered although the idle time-out passes: held for %i ms longer', async holdMs => {
		await startServer(1000);
		const pair = await openIdle();
		const limitMs = 50;
		server.keepAliveTimeout = limitMs;
		// Timers run after immediates, and before sockets are read.
		await setImmediate();
		pair.accepted.setTimeout(limitMs);
		pair.caller.write(get);
		hold(limitMs + holdMs);
		await expect.poll(() => countAnswers(pair) === 2 || pair.isClosed()).toBe(true);
		expect(countAnswers(pair)).toBe(2);
		// The connection is idle again and closes in its time.
		await expect.poll(pair.isClosed, {timeout: 3000}).toBe(true);
		expect(closed).toEqual([]);
	});

	test.each(holdTimesMs)('is answered although idle connections are closed: held for %i ms', async holdMs => {
		await startServer(5000);
		const pair = await openIdle();
		const other = await openIdle();
		pair.caller.write(get);
		hold(holdMs);
		await closeIdleConnections(server);
		await expect.poll(() => countAnswers(pair) === 2 || pair.isClosed()).toBe(true);
		expect(countAnswers(pair)).toBe(2);
		await expect.poll(other.isClosed).toBe(true);
	});

	// A request that arrives less than 100 ms before crosses the close.
	test.each([300, 900])('is answered although the event loop is held while the sockets are read before the close: held for %i ms', async holdMs => {
		await startServer(5000);
		const pair = await openIdle();
		// Continues after the last read of a round and before its end.
		const holding = writeAndHold(pair, holdMs);
		const closing = closeIdleConnections(server);
		await Promise.all([holding, closing]);
		await expect.poll(() => countAnswers(pair) === 2 || pair.isClosed()).toBe(true);
		expect(countAnswers(pair)).toBe(2);
	});
});

test('an answer that waits for a slow caller is sent completely although idle connections are closed', async () => {
	await startServer(5000);
	const pair = await openIdle();
	pair.caller.pause();
	pair.caller.write(get.replace('/', '/large'));
	await expect.poll(() => pair.accepted.writableLength).toBeGreaterThan(0);
	await closeIdleConnections(server);
	pair.caller.resume();
	await expect.poll(() => pair.isClosed() || pair.text().endsWith('end'), {timeout: 5000}).toBe(true);
	expect(pair.text().endsWith('end')).toBe(true);
});

test('a request whose head has been read in part is answered although idle connections are closed', async () => {
	await startServer(5000);
	const pair = await openIdle();
	const {bytesRead} = pair.accepted;
	pair.caller.write(get.slice(0, 10));
	await expect.poll(() => pair.accepted.bytesRead).toBeGreaterThan(bytesRead);
	await closeIdleConnections(server);
	pair.caller.write(get.slice(10));
	await expect.poll(() => countAnswers(pair) === 2 || pair.isClosed()).toBe(true);
	expect(countAnswers(pair)).toBe(2);
});

describe('an idle connection', () => {
	test('is kept as long as the limit in force allows after the limit was shortened and lengthened', async () => {
		await startServer(100);
		const pair = await openIdle();
		server.keepAliveTimeout = 50;
		await delay(20);
		server.keepAliveTimeout = 3000;
		// Later than the limit in force when the connection became idle, and four fifths of the present one.
		await delay(2400);
		pair.caller.write(get);
		await expect.poll(() => countAnswers(pair) === 2 || pair.isClosed()).toBe(true);
		expect(countAnswers(pair)).toBe(2);
	});

	test('is kept as long as its answer has announced after the limit was shortened during the request', async () => {
		await startServer(3000);
		const pair = await openIdle();
		const held = Promise.withResolvers<void>();
		server.once('request', () => {
			server.keepAliveTimeout = 50;
			held.resolve();
		});
		pair.caller.write(get);
		await held.promise;
		await expect.poll(() => countAnswers(pair), {interval: 5}).toBe(2);
		expect(pair.text().match(/Keep-Alive: timeout=3/gv)).toHaveLength(2);
		await delay(2400);
		pair.caller.write(get);
		await expect.poll(() => countAnswers(pair) === 3 || pair.isClosed()).toBe(true);
		expect(countAnswers(pair)).toBe(3);
	});

	test.each([
		['a refusal whose body was read later', 'POST /early HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nab', 'cd'],
		['an expectation that is not met', 'GET / HTTP/1.1\r\nHost: a\r\nExpect: more\r\n\r\n', ''],
	])('is closed by the stop of the server after %s', async (_name, first, rest) => {
		await startServer(5000);
		const pair = await openIdle();
		pair.caller.write(first);
		await expect.poll(() => pair.text().split('HTTP/1.1').length).toBe(3);
		pair.caller.write(rest);
		await delay(50);
		await stopListening(server);
		await expect.poll(pair.isClosed).toBe(true);
	});

	test('is closed when the limit has passed', async () => {
		await startServer(100);
		const pair = await openIdle();
		await expect.poll(pair.isClosed, {timeout: 2000}).toBe(true);
		expect(closed).toEqual([]);
	});
});
