import type {Socket} from 'node:net';
import {describe, expect, it} from 'vitest';
import {CallerBudget} from '../../src/request/caller-budget.ts';
import {createRequestHandlerFixture, fixtureKey} from './request-handler-fixture.ts';
import {createRawUpstream} from './upstream-fixture.ts';

const maxBodyBytes = 8_000_000;
const bodyLimits = {maxBodyBytes, budget: new CallerBudget(10 * maxBodyBytes)};
/** Kinds of calls, by path and by the name of the upstream that serves them. */
const calls = [
	{
		name: 'a completion', path: '/v1/chat/completions', serves: 'model-a', stream: false,
	},
	{
		name: 'a stream', path: '/v1/chat/completions', serves: 'model-a', stream: true,
	},
	{
		name: 'a request to a service', path: '/services/service-a/1', serves: 'service-a', stream: false,
	},
] as const;

/** Sends a request whose upstream answers its first bytes as given; returns the status and whether the answer was whole. */
async function ask({path, serves, stream}: (typeof calls)[number], padding: string, answer: (socket: Socket) => void): Promise<{readonly status: number; readonly isWhole: boolean}> {
	await using upstream = await createRawUpstream('odd', () => undefined, serves);
	upstream.server.on('connection', (socket: Socket) => {
		socket.once('data', () => {
			answer(socket);
		});
	});
	await using fixture = await createRequestHandlerFixture([upstream.host], {bodyLimits});
	const response = await fetch(`${fixture.url}${path}`, {
		method: 'POST', headers: {authorization: `Bearer ${fixtureKey}`}, body: JSON.stringify({model: 'model-a', stream, user: padding}),
	});
	try {
		await response.text();
		return {status: response.status, isWhole: true};
	} catch {
		return {status: response.status, isWhole: false};
	}
}

describe('an answer whose status is none of HTTP is not passed on', () => {
	for (const status of ['000', '0', '99', '600', '999', '1e3', '']) {
		it.each(calls)(`${status === '' ? 'no status' : status}, to $name`, async call => {
			const answer = await ask(call, '', socket => {
				socket.write(`HTTP/1.1 ${status} OK\r\nContent-Length: 4\r\n\r\npart`);
			});
			expect([502, 503, 504]).toContain(answer.status);
		});
	}
});

describe('a part of an answer without a length, on a connection that breaks while the request is being written, is not passed on as a whole', () => {
	for (const isEndedFirst of [false, true]) {
		it.each(calls)(`to $name, when the upstream ${isEndedFirst ? 'ends and then resets' : 'resets'}`, async call => {
			const answer = await ask(call, 'x'.repeat(maxBodyBytes / 2), socket => {
				socket.pause();
				socket.write('HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: {"id":"1"}\n\n');
				if (isEndedFirst) {
					socket.end();
				}

				setTimeout(() => {
					socket.resetAndDestroy();
				}, 20);
			});
			expect(answer.status === 200 && answer.isWhole).toBe(false);
		});
	}
});
