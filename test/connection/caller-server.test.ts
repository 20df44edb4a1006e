import {connect, type Socket} from 'node:net';
import process from 'node:process';
import fc from 'fast-check';
import {
	afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import {createRequestHandlerFixture, fixtureKey, type RequestHandlerFixture} from '../request/request-handler-fixture.ts';
import {createRawUpstream, type RawUpstream} from '../request/upstream-fixture.ts';

const authorization = `Authorization: Bearer ${fixtureKey}`;
const target = '/services/service-a/x';
const fuzzSeed = 20_260_104;
const fuzzRuns = 1000;
const maxHeapGrowthBytes = 64 * 1024 * 1024;

let upstream: RawUpstream;
let fixture: RequestHandlerFixture;

beforeAll(async () => {
	upstream = await createRawUpstream('u', socket => socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'), 'service-a');
	fixture = await createRequestHandlerFixture([upstream.host], {}, {headersTimeoutMs: 300, requestTimeoutMs: 500, checkIntervalMs: 50});
});

afterAll(async () => {
	await fixture[Symbol.asyncDispose]();
	await upstream[Symbol.asyncDispose]();
});

type Reply = {readonly status: number | undefined; readonly code: string | undefined; readonly ran: string | undefined; readonly text: string};

/** Sends raw bytes and reads until the connection closes or is quiet for a while. */
async function exchange(parts: ReadonlyArray<string | Uint8Array>, quietMs = 1500, isHalfClosed = false): Promise<Reply> {
	const socket = connect(fixture.port, '127.0.0.1');
	const text = await readUntilQuiet(socket, quietMs, () => {
		for (const part of parts) {
			socket.write(part);
		}

		if (isHalfClosed) {
			socket.end();
		}
	});
	return {
		status: Number(/^HTTP\/1\.1 (?<status>\d+)/v.exec(text)?.groups?.status),
		code: /"code":"(?<code>\w+)"/v.exec(text)?.groups?.code,
		ran: /wagtailtack-ran: (?<ran>\w+)/iv.exec(text)?.groups?.ran,
		text,
	};
}

async function readUntilQuiet(socket: Socket, quietMs: number, start: () => void): Promise<string> {
	const {promise, resolve} = Promise.withResolvers<void>();
	let text = '';
	socket.on('connect', start);
	socket.on('data', (chunk: Uint8Array) => {
		text += new TextDecoder('latin1').decode(chunk);
		if (/\r\n\r\n(?:ok|\{.*\}\}?)$/v.test(text)) {
			resolve();
		}
	});
	socket.on('error', () => {
		socket.destroy();
	});
	socket.on('close', resolve);
	const timer = setTimeout(resolve, quietMs);
	await promise;
	clearTimeout(timer);
	socket.destroy();
	return text;
}

async function expectAlive(): Promise<void> {
	const response = await fetch(fixture.url + target, {headers: {authorization: `Bearer ${fixtureKey}`}});
	expect(await response.text()).toBe('ok');
}

describe('a request that is not valid HTTP', () => {
	// Guards against request smuggling: the daemon and an upstream or load balancer must not parse the bytes differently.
	it.each([
		{name: 'content-length with transfer-encoding', head: ['Content-Length: 4', 'Transfer-Encoding: chunked'], body: '0\r\n\r\n'},
		{name: 'transfer-encoding with content-length', head: ['Transfer-Encoding: chunked', 'Content-Length: 4'], body: '0\r\n\r\n'},
		{name: 'two content-lengths', head: ['Content-Length: 2', 'Content-Length: 3'], body: 'abc'},
		{name: 'two equal content-lengths', head: ['Content-Length: 2', 'Content-Length: 2'], body: 'ab'},
		{name: 'a list of content-lengths', head: ['Content-Length: 2, 2'], body: 'ab'},
		{name: 'a signed content-length', head: ['Content-Length: +2'], body: 'ab'},
		{name: 'a negative content-length', head: ['Content-Length: -2'], body: 'ab'},
		{name: 'a folded header', head: ['X-A: 1', ' folded'], body: ''},
		{name: 'a folded transfer-encoding', head: ['Transfer-Encoding:', ' chunked'], body: '0\r\n\r\n'},
		{name: 'a space before the colon', head: ['Content-Length : 2'], body: 'ab'},
		{name: 'an unknown transfer-encoding', head: ['Transfer-Encoding: xchunked'], body: '0\r\n\r\n'},
		{name: 'chunked that is not last', head: ['Transfer-Encoding: chunked, identity'], body: '0\r\n\r\n'},
		{name: 'two transfer-encodings', head: ['Transfer-Encoding: gzip', 'Transfer-Encoding: chunked'], body: '0\r\n\r\n'},
		{name: 'a chunk size that is not hexadecimal', head: ['Transfer-Encoding: chunked'], body: 'zz\r\nab\r\n0\r\n\r\n'},
		{name: 'a chunk size with a sign', head: ['Transfer-Encoding: chunked'], body: '+2\r\nab\r\n0\r\n\r\n'},
		{name: 'a chunk size that overflows', head: ['Transfer-Encoding: chunked'], body: 'fffffffffffffffff\r\nab\r\n0\r\n\r\n'},
		{name: 'a chunk that is longer than its size', head: ['Transfer-Encoding: chunked'], body: '2\r\nabcd\r\n0\r\n\r\n'},
		{name: 'a line feed without carriage return in a chunk', head: ['Transfer-Encoding: chunked'], body: '2\nab\n0\n\n'},
		{name: 'a zero byte in a header', head: ['X-A: a\0b'], body: ''},
		{
			name: 'no host', head: [], body: '', isWithoutHost: true,
		},
		{name: 'two hosts', head: ['Host: b'], body: ''},
		{name: 'two keys', head: ['Authorization: Bearer other'], body: ''},
		{name: 'two idempotency keys', head: ['Idempotency-Key: a', 'Idempotency-Key: b'], body: ''},
	])('is refused as not run: $name', async ({head, body, isWithoutHost = false}) => {
		const before = upstream.received.join('').length;
		const host = isWithoutHost ? [] : ['Host: a'];
		const reply = await exchange([[`POST ${target} HTTP/1.1`, ...host, authorization, ...head, '', body].join('\r\n')], 300);
		expect(reply.status).toBe(400);
		expect(reply.ran ?? 'no').toBe('no');
		expect(upstream.received.join('')).toHaveLength(before);
	});

	it.each([
		{
			name: 'a large head', parts: [`GET ${target} HTTP/1.1\r\nHost: a\r\nX-A: ${'a'.repeat(20_000)}\r\n\r\n`], status: 431, code: 'headers_too_large',
		},
		{
			name: 'many headers', parts: [`GET ${target} HTTP/1.1\r\nHost: a\r\n${authorization}\r\n${'X-A: 1\r\n'.repeat(99)}\r\n`], status: 431, code: 'headers_too_large',
		},
		{
			name: 'a large declared body', parts: [`POST ${target} HTTP/1.1\r\nHost: a\r\n${authorization}\r\nContent-Length: 9999999\r\n\r\n`], status: 413, code: 'body_too_large',
		},
		{
			name: 'a large chunked body', parts: [`POST ${target} HTTP/1.1\r\nHost: a\r\n${authorization}\r\nTransfer-Encoding: chunked\r\n\r\n`, `11000\r\n${'a'.repeat(0x1_10_00)}`],
			status: 413, code: 'body_too_large',
		},
		{
			name: 'a head that is never finished', parts: [`GET ${target} HTTP/1.1\r\nHost: a\r\n`], status: 408, code: 'request_timeout',
		},
		{
			name: 'a body that is never finished', parts: [`POST ${target} HTTP/1.1\r\nHost: a\r\n${authorization}\r\nContent-Length: 10\r\n\r\nab`], status: 408, code: 'request_timeout',
		},
		{
			name: 'an unknown key', parts: [`GET ${target} HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer other\r\n\r\n`], status: 401, code: 'invalid_key',
		},
		{
			name: 'an endless body without a key', parts: [`POST ${target} HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n`, 'a\r\n0123456789\r\n'.repeat(100)],
			status: 401, code: 'invalid_key',
		},
		{
			name: 'an invalid deadline', parts: [`GET ${target} HTTP/1.1\r\nHost: a\r\n${authorization}\r\nWagtailtack-Deadline-Ms: 1e3\r\n\r\n`], status: 400, code: 'invalid_deadline',
		},
		{
			name: 'an ambiguous path', parts: [`GET /services/service-a/a/%2E%2e/b HTTP/1.1\r\nHost: a\r\n${authorization}\r\n\r\n`], status: 400, code: 'invalid_path',
		},
		{
			name: 'an unknown path', parts: [`GET http://other/x HTTP/1.1\r\nHost: a\r\n${authorization}\r\n\r\n`], status: 404, code: 'path_not_found',
		},
		{
			name: 'a body that is not JSON', parts: [`POST /v1/completions HTTP/1.1\r\nHost: a\r\n${authorization}\r\nContent-Length: 1\r\n\r\n{`], status: 400, code: 'invalid_json',
		},
		{
			name: 'an unsupported method', parts: [`TRACE ${target} HTTP/1.1\r\nHost: a\r\n${authorization}\r\n\r\n`], status: 405, code: 'method_not_allowed',
		},
		{
			name: 'a request for a tunnel', parts: ['CONNECT a:80 HTTP/1.1\r\nHost: a\r\n\r\n'], status: 405, code: 'method_not_allowed',
		},
	])('is refused with a stable code: $name', async ({parts, status, code}) => {
		expect(await exchange(parts)).toMatchObject({status, code, ran: 'no'});
	});

	it('is not run when only a part of it arrives', async () => {
		const before = upstream.received.join('').length;
		await exchange([`POST ${target} HTTP/1.1\r\nHost: a\r\n${authorization}\r\nContent-Length: 10\r\n\r\nab`], 200, true);
		expect(upstream.received.join('')).toHaveLength(before);
	});

	it('does not corrupt the answer to an earlier request on its connection', async () => {
		const {text} = await exchange([`GET ${target} HTTP/1.1\r\nHost: a\r\n${authorization}\r\n\r\n`, 'nonsense\r\n\r\n'], 300);
		expect(text === '' || text.endsWith('\r\n\r\nok') || text.endsWith('}}')).toBe(true);
		expect(text.split('HTTP/1.1').length - 1).toBeLessThanOrEqual(2);
	});

	it('closes a connection on which nothing is sent', async () => {
		const started = performance.now();
		await exchange([]);
		expect(performance.now() - started).toBeLessThan(1200);
	});
});

describe('limits on the resources that callers can use', () => {
	it('apply to open requests', async () => {
		await using limited = await createRequestHandlerFixture([upstream.host], {openRequestLimit: 0});
		const response = await fetch(limited.url + target, {headers: {authorization: `Bearer ${fixtureKey}`}});
		expect(response.status).toBe(503);
		expect(await response.json()).toMatchObject({error: {code: 'overloaded', ran: 'no'}});
	});

	it('apply to connections', async () => {
		await using limited = await createRequestHandlerFixture([upstream.host], {}, {maxConnections: 3});
		const sockets = Array.from({length: 8}, () => connect(limited.port, '127.0.0.1'));
		const closed = new Set<Socket>();
		for (const socket of sockets) {
			socket.on('error', () => {
				socket.destroy();
			});
			socket.on('close', () => {
				closed.add(socket);
			});
		}

		await expect.poll(() => closed.size, {interval: 10}).toBe(5);
		for (const socket of sockets) {
			socket.destroy();
		}
	});
});

describe('invalid input', () => {
	const lines = [
		'Host: a',
		authorization,
		'Content-Length: 2',
		'Content-Length: 99999999999',
		'Transfer-Encoding: chunked',
		'Connection: close',
		'Connection: upgrade\r\nUpgrade: h2c',
		'Expect: 100-continue',
		'Idempotency-Key: k',
		'',
		'2\r\nab',
		'0\r\n',
		'ffffffff',
	].map(line => `${line}\r\n`);
	const token = fc.constantFrom('GET ', 'POST ', target, ' HTTP/1.1\r\n', ' HTTP/1.0\r\n', '\0', ...lines);
	const part = fc.oneof(token, fc.string({maxLength: 64}), fc.uint8Array({maxLength: 256}));
	const valid = `POST ${target} HTTP/1.1\r\nHost: a\r\n${authorization}\r\nContent-Length: 2\r\n\r\nab`;
	const mutated = fc.tuple(fc.nat(valid.length), fc.nat(8), fc.string({maxLength: 8})).map(([at, removed, added]) =>
		[valid.slice(0, at) + added + valid.slice(at + removed)]);

	it('does not crash the daemon or exceed the memory bound', async () => {
		globalThis.gc?.();
		const heapBefore = process.memoryUsage().heapUsed;
		const property = fc.asyncProperty(fc.oneof(fc.array(part, {minLength: 1, maxLength: 24}), mutated), async parts => {
			const reply = await exchange(parts, 15, true);
			// For any input, the answer is either valid HTTP or absent.
			expect(reply.text === '' || reply.text.startsWith('HTTP/1.1 ')).toBe(true);
		});
		await fc.assert(property, {seed: fuzzSeed, numRuns: fuzzRuns});
		await expectAlive();
		await expect.poll(() => fixture.handler.openRequests, {timeout: 2000}).toBe(0);
		expect(process.memoryUsage().heapUsed - heapBefore).toBeLessThan(maxHeapGrowthBytes);
	});
});
