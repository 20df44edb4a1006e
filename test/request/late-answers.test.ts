import type {Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {describe, expect, it} from 'vitest';
import {createRequestHandlerFixture, fixtureKey} from './request-handler-fixture.ts';
import {createRawUpstream} from './upstream-fixture.ts';

const requestPattern = /GET \/lookup\/(?<number>\d+) HTTP.*?x-request-id: (?<id>\S+)/gisv;

/** Formats the answer to the latest request of a connection: the number in its path, and its id if the upstream echoes ids. */
function formatAnswer(text: string, hasEcho: boolean): string {
	const {number = '', id = ''} = [...text.matchAll(requestPattern)].at(-1)?.groups ?? {};
	return `HTTP/1.1 200 OK\r\n${hasEcho ? `X-Request-Id: ${id}\r\n` : ''}Content-Length: ${number.length}\r\n\r\n${number}`;
}

describe('a second copy of an answer that arrives late, on a connection that is in use again', () => {
	// Guards against the next caller on that connection getting the copy as the answer to its own request.
	it.each([{hasEcho: true}, {hasEcho: false}])('never reaches another caller (upstream echoes request ids: $hasEcho)', async ({hasEcho}) => {
		const earlierAnswers = new WeakMap<Socket, string>();
		await using upstream = await createRawUpstream('s', async (socket, text) => {
			const earlier = earlierAnswers.get(socket);
			const answer = formatAnswer(text, hasEcho);
			earlierAnswers.set(socket, answer);
			if (earlier !== undefined) {
				// The copy is sent once the next request has been read, and before its answer.
				socket.write(earlier);
				await delay(30);
			}

			socket.write(answer);
		}, 'service-a');
		await using fixture = await createRequestHandlerFixture([upstream.host]);
		const results: string[] = [];
		for (let number = 1; number <= 4; number += 1) {
			const response = await fetch(`${fixture.url}/services/service-a/lookup/${number}`, {headers: {authorization: `Bearer ${fixtureKey}`}});
			const body = await response.text();
			results.push(response.status === 200 ? body : `${response.status} ${response.headers.get('wagtailtack-ran')}`);
		}

		// With ids, the copy fails a request visibly. Without them, no connection is used a second time.
		expect(results).toEqual(hasEcho ? ['1', '502 unknown', '3', '502 unknown'] : ['1', '2', '3', '4']);
	});
});
