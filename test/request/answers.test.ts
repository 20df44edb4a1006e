import {connect, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {describe, expect, it} from 'vitest';
import {createRequestHandlerFixture, fixtureKey} from './request-handler-fixture.ts';
import {
	createRawUpstream, formatChunk, formatEvent, streamHead, completeStream, type RawAnswer,
} from './upstream-fixture.ts';

const completion = {model: 'model-a', stream: true};

async function post(url: string, body: unknown = completion, init: RequestInit = {}) {
	return fetch(`${url}/v1/chat/completions`, {
		method: 'POST', body: JSON.stringify(body), ...init, headers: {authorization: `Bearer ${fixtureKey}`, ...init.headers},
	});
}

/** Reads an answer until it ends or is aborted. */
async function readAll(response: Response): Promise<{readonly text: string; readonly isAborted: boolean}> {
	let text = '';
	const decoder = new TextDecoder();
	try {
		for await (const chunk of response.body ?? []) {
			text += decoder.decode(chunk as Uint8Array);
		}

		return {text, isAborted: false};
	} catch {
		return {text, isAborted: true};
	}
}

describe('a completion stream', () => {
	it('is relayed completely wherever its events are split into chunks', async () => {
		const content = formatEvent('a') + formatEvent('a').replaceAll('\n', '\r\n') + ': comment\n\ndata: [DONE]\n\n';
		for (let split = 1; split < content.length; split += 7) {
			await using upstream = await createRawUpstream('u', socket => {
				socket.write(streamHead + formatChunk(content.slice(0, split)));
				setImmediate(() => {
					socket.write(formatChunk(content.slice(split)) + '0\r\n\r\n');
				});
			});
			await using fixture = await createRequestHandlerFixture([upstream.host]);
			const response = await post(fixture.url);
			expect(response.headers.get('wagtailtack-ran')).toBe('yes');
			expect(await readAll(response)).toEqual({text: content, isAborted: false});
		}
	});

	// Guards against a truncated stream, or one mixed with another answer, that is relayed as a success.
	it.each<{name: string; answer: RawAnswer; code: string}>([
		{
			name: 'ends without its end marker',
			answer: socket => socket.write(streamHead + formatChunk(formatEvent('a')) + '0\r\n\r\n'),
			code: 'stream_truncated',
		},
		{
			name: 'is closed in the middle',
			answer: socket => socket.end(streamHead + formatChunk(formatEvent('a'))),
			code: 'stream_truncated',
		},
		{
			name: 'is reset in the middle',
			answer(socket) {
				socket.write(streamHead + formatChunk(formatEvent('a')));
				setTimeout(() => {
					socket.resetAndDestroy();
				}, 20);
			},
			code: 'stream_truncated',
		},
		{
			name: 'is closed after its end marker but before its last chunk',
			answer: socket => socket.end(streamHead + formatChunk(formatEvent('a') + 'data: [DONE]\n\n')),
			code: 'stream_truncated',
		},
		{
			name: 'ends in the middle of an event',
			answer: socket => socket.write(streamHead + formatChunk(formatEvent('a') + 'data: {"id":"a"') + '0\r\n\r\n'),
			code: 'stream_truncated',
		},
		{
			name: 'changes its id',
			answer: socket => socket.write(streamHead + formatChunk(formatEvent('a') + formatEvent('secret')) + formatChunk('data: [DONE]\n\n') + '0\r\n\r\n'),
			code: 'stream_mixed',
		},
		{
			name: 'continues after its end marker',
			answer: socket => socket.write(streamHead + formatChunk(formatEvent('a') + 'data: [DONE]\n\n' + formatEvent('secret')) + '0\r\n\r\n'),
			code: 'stream_mixed',
		},
		{
			name: 'has an event that is not JSON',
			answer: socket => socket.write(streamHead + formatChunk(formatEvent('a') + 'data: secret\n\n') + '0\r\n\r\n'),
			code: 'stream_malformed',
		},
	])('that $name ends with an error event and an aborted connection', async ({answer, code}) => {
		await using upstream = await createRawUpstream('u', answer);
		await using fixture = await createRequestHandlerFixture([upstream.host]);
		const {text, isAborted} = await readAll(await post(fixture.url));
		expect(isAborted).toBe(true);
		expect(text).toContain(`event: error\ndata: {"error":{"code":"${code}"`);
		expect(text).not.toContain('secret');
	});
});

describe('an answer that is not a stream', () => {
	// Guards against a truncated answer that is relayed as a success.
	it.each([
		{name: 'a short content-length', head: 'Content-Length: 20\r\n'},
		{name: 'a short content-length and close', head: 'Content-Length: 20\r\nConnection: close\r\n'},
		{name: 'a missing last chunk', head: 'Transfer-Encoding: chunked\r\n', isChunked: true},
		{name: 'a missing last chunk and close', head: 'Transfer-Encoding: chunked\r\nConnection: close\r\n', isChunked: true},
		{name: 'no framing', head: 'Connection: close\r\n'},
	])('with $name is aborted or answered with an error', async ({head, isChunked = false}) => {
		await using upstream = await createRawUpstream('u', socket => {
			socket.end(`HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n${head}\r\n${isChunked ? formatChunk('{"id":') : '{"id":'}`);
		});
		await using fixture = await createRequestHandlerFixture([upstream.host]);
		const response = await post(fixture.url, {model: 'model-a'}).catch(() => undefined);
		const answer = response?.status === 200 ? await readAll(response) : undefined;
		expect(answer?.isAborted).not.toBe(false);
	});

	it('is relayed without hop-by-hop headers and daemon headers, in both directions', async () => {
		await using upstream = await createRawUpstream('u', socket => {
			socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: x-private\r\nX-Private: 1\r\nKeep-Alive: timeout=9\r\nWagtailtack-Ran: no\r\nX-Kept: 1\r\n\r\nok');
		});
		await using fixture = await createRequestHandlerFixture([upstream.host]);
		const response = await post(fixture.url, {model: 'model-a'}, {headers: {'x-priority': '0', 'proxy-authorization': 'p', 'wagtailtack-class': 'patient'}});
		expect(await response.text()).toBe('ok');
		expect(Object.fromEntries(response.headers)).toMatchObject({'x-kept': '1', 'wagtailtack-ran': 'yes'});
		expect(response.headers.has('x-private')).toBe(false);
		expect(upstream.received[0]).toContain('x-priority: 1');
		expect(upstream.received[0]).not.toMatch(/authorization|wagtailtack-class|fixture-key/iv);
	});
});

describe('a caller that disconnects', () => {
	it('cancels the upstream work within a second, and its upstream connection is not reused', async () => {
		await using upstream = await createRawUpstream('u', (socket, text, connection) => {
			socket.write(connection === 0 ? streamHead + formatChunk(formatEvent('a')) : completeStream);
		});
		await using fixture = await createRequestHandlerFixture([upstream.host]);
		const abort = new AbortController();
		const response = await post(fixture.url, completion, {signal: abort.signal});
		expect(response.status).toBe(200);
		abort.abort();
		await expect.poll(() => upstream.open.size, {timeout: 1000, interval: 10}).toBe(0);
		const {isAborted} = await readAll(await post(fixture.url));
		expect(isAborted).toBe(false);
		expect(upstream.received.filter(text => text !== '')).toHaveLength(2);
		expect(fixture.handler.openRequests).toBe(0);
	});

	it('cancels upstream work that has not been answered yet', async () => {
		await using upstream = await createRawUpstream('u', () => {
			// Never answers.
		});
		await using fixture = await createRequestHandlerFixture([upstream.host]);
		const abort = new AbortController();
		const pending = post(fixture.url, completion, {signal: abort.signal}).catch(() => undefined);
		await expect.poll(() => upstream.open.size, {interval: 5}).toBe(1);
		abort.abort();
		await pending;
		await expect.poll(() => upstream.open.size, {timeout: 1000, interval: 10}).toBe(0);
	});
});

describe('a caller that reads slowly', () => {
	// Guards against an assertion in the client library that ends the process when the connection of a paused answer closes.
	it.each<{name: string; end: (socket: Socket) => unknown}>([
		{name: 'is closed', end: socket => socket.end()},
		{name: 'is reset', end: socket => socket.resetAndDestroy()},
	])('does not end the process when the upstream of its paused answer $name', async ({end}) => {
		const event = formatEvent('a', 'x'.repeat(60 * 1024));
		let hasEnded = false;
		await using upstream = await createRawUpstream('u', async socket => {
			socket.write(streamHead.replace('\r\n\r\n', '\r\nConnection: close\r\n\r\n'));
			// Small steps, so that the daemon has read all bytes from the connection when the caller's buffers are full.
			while (fixture.pausedStreams === 0) {
				socket.write(formatChunk(event));
				await delay(3);
			}

			end(socket);
			hasEnded = true;
		});
		await using fixture = await createRequestHandlerFixture([upstream.host]);
		const caller = connect(fixture.port, '127.0.0.1');
		caller.pause();
		caller.on('error', () => {
			caller.destroy();
		});
		const body = JSON.stringify(completion);
		caller.write(`POST /v1/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer ${fixtureKey}\r\nContent-Length: ${body.length}\r\n\r\n${body}`);
		await expect.poll(() => hasEnded, {interval: 10, timeout: 5000}).toBe(true);
		await delay(100);
		caller.destroy();
		await expect.poll(() => upstream.open.size, {interval: 10}).toBe(0);
		await expect.poll(() => fixture.handler.openRequests, {interval: 10}).toBe(0);
	});

	it.each(['', 'Connection: close\r\n'])('does not end the process when its upstream resets the connection (header %j)', async header => {
		const event = formatEvent('a', 'x'.repeat(256 * 1024));
		await using upstream = await createRawUpstream('u', socket => {
			socket.write(streamHead.replace('\r\n\r\n', `\r\n${header}\r\n`));
			for (let index = 0; index < 64; index += 1) {
				socket.write(formatChunk(event));
			}

			setTimeout(() => {
				socket.resetAndDestroy();
			}, 100);
		});
		await using fixture = await createRequestHandlerFixture([upstream.host]);
		const response = await post(fixture.url);
		await delay(200);
		const {isAborted} = await readAll(response);
		expect(isAborted).toBe(true);
		expect(fixture.handler.openRequests).toBe(0);
	});

	it('delays only its own stream, in bounded memory', async () => {
		const event = formatEvent('a', 'x'.repeat(16 * 1024));
		const events = 2000;
		const writtenByAttempt: number[] = [];
		await using upstream = await createRawUpstream('u', (socket, text) => {
			if (text.includes('"fast"')) {
				socket.write(completeStream);
				return;
			}

			const attempt = writtenByAttempt.push(0) - 1;
			const send = () => {
				while (writtenByAttempt[attempt]! < events) {
					writtenByAttempt[attempt]! += 1;
					if (!socket.write(formatChunk(event))) {
						socket.once('drain', send);
						return;
					}
				}

				socket.write(formatChunk('data: [DONE]\n\n') + '0\r\n\r\n');
			};

			socket.write(streamHead);
			send();
		});
		await using fixture = await createRequestHandlerFixture([upstream.host]);
		const slow = await post(fixture.url);
		await delay(300);
		// The upstream offers 32 MB, of which the buffers on both connections hold only a part.
		expect(writtenByAttempt.map(written => written * event.length).filter(bytes => bytes >= 24 * 1024 * 1024)).toEqual([]);
		const started = performance.now();
		const fast = await readAll(await post(fixture.url, {...completion, user: 'fast'}));
		expect(fast.isAborted).toBe(false);
		expect(performance.now() - started).toBeLessThan(1000);
		const {text, isAborted} = await readAll(slow);
		expect({isAborted, length: text.length, attempts: writtenByAttempt.length}).toEqual({isAborted: false, length: (event.length * events) + 'data: [DONE]\n\n'.length, attempts: 1});
	});
});
