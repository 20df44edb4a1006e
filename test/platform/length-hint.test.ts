import {IncomingMessage} from 'node:http';
import {Socket} from 'node:net';
import {describe, expect, test} from 'vitest';
import {HttpCallerProtocol} from '../../platform/http-caller-protocol.ts';
import type {RouteRequest} from '../../src/request/delivery/route-request.ts';

function decode(hint: string | undefined): RouteRequest {
	const message = new IncomingMessage(new Socket());
	const headers = {'x-token-counts': '1460,80', ...(hint === undefined ? {} : {'x-length-hint': hint})};
	message.headers = headers;
	message.rawHeaders = Object.entries(headers).flat();
	return new HttpCallerProtocol().decode(message, new Uint8Array(0));
}

describe('the caller\'s estimate of the length of the answer', () => {
	test.each([
		['120', 120],
		['0', 0],
		['1e3', 1000],
		['-4', undefined],
		['many', undefined],
		['Infinity', undefined],
		['120, 40', undefined],
		[undefined, undefined],
	])('is read from %s', (hint, tokens) => {
		expect(decode(hint).prompt).toMatchObject({tokens: 1460, maxOutputTokens: 80, expectedOutputTokens: tokens});
	});

	test('is passed on as it came', () => {
		expect(decode('many').headers).toEqual(['x-token-counts', '1460,80', 'x-length-hint', 'many']);
	});
});
