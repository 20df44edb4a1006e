import {IncomingMessage} from 'node:http';
import {Socket} from 'node:net';
import {describe, expect, test} from 'vitest';
import {HttpCallerProtocol} from '../../platform/http-caller-protocol.ts';
import {HttpUpstreamProtocol} from '../../platform/http-upstream-protocol.ts';
import {createRequest, createUpstream} from '../fixtures/fleet/configuration.ts';

const protocol = new HttpCallerProtocol();

/** A received request with the given headers, whose names and values alternate. */
function receive(...rawHeaders: readonly string[]): IncomingMessage {
	const message = new IncomingMessage(new Socket());
	message.rawHeaders = [...rawHeaders];
	const pairs = rawHeaders.flatMap((name, index) => index % 2 === 0 ? [[name.toLowerCase(), rawHeaders[index + 1]!] as const] : []);
	// As Node.js does, the first of several values is kept.
	message.headers = Object.fromEntries(pairs.toReversed());
	message.headersDistinct = Object.fromEntries(pairs.map(([name]) => [name, pairs.filter(([other]) => other === name).map(([, value]) => value)]));
	return message;
}

describe('the key of a caller', () => {
	test.each([
		['Bearer k-1', 'k-1'],
		['bearer k-1', 'k-1'],
		['BEARER  k-1 ', 'k-1'],
		['Bearer', undefined],
		['Bearer ', undefined],
		['Bearer k-1 k-2', undefined],
		['Bearer k-1,k-2', 'k-1,k-2'],
		['Basic k-1', undefined],
		['k-1', undefined],
	])('is read from "%s"', (value, key) => {
		expect(protocol.decode(receive('Authorization', value), new Uint8Array(0)).key).toBe(key);
	});

	test('is not read from one of several headers', () => {
		expect(protocol.decode(receive('Authorization', 'Bearer k-1', 'authorization', 'Bearer k-2'), new Uint8Array(0)).key).toBeUndefined();
	});

	test('is absent without a header', () => {
		expect(protocol.decode(receive('Host', 'a.example'), new Uint8Array(0)).key).toBeUndefined();
	});
});

describe('the headers that show or name an account', () => {
	const headers = ['Accept', 'x-tenant', 'AUTHORIZATION', 'Bearer k-1', 'X-Tenant', 'spoofed', 'x-tenant', 'again', 'X-Tenant-Note', 'kept'];

	test('are all removed, and nothing else', () => {
		expect(protocol.removeCredentials(createRequest({headers})).headers).toEqual(['Accept', 'x-tenant', 'X-Tenant-Note', 'kept']);
	});

	test('are forwarded unchanged where the configuration has no accounts', () => {
		const {headers: sent} = new HttpUpstreamProtocol().encode({
			request: createRequest({headers}), upstream: createUpstream(), remainingMs: 100, priority: undefined, lastEventId: undefined, account: undefined, work: {kind: 'whole'},
		});
		expect(sent.slice(0, headers.length)).toEqual(headers);
		expect(sent.filter(text => text === 'x-tenant')).toHaveLength(2);
	});

	test('are replaced by the name of the account', () => {
		const {headers: sent} = new HttpUpstreamProtocol().encode({
			request: protocol.removeCredentials(createRequest({headers})),
			upstream: createUpstream(), remainingMs: 100, priority: undefined, lastEventId: undefined, account: 'north', work: {kind: 'whole'},
		});
		const at = sent.findLastIndex((text, index) => index % 2 === 0 && text.toLowerCase() === 'x-tenant');
		expect(sent[at + 1]).toBe('north');
		expect(sent.filter((text, index) => index % 2 === 0 && text.toLowerCase() === 'x-tenant')).toHaveLength(1);
		expect(sent.join('\n')).not.toContain('k-1');
	});
});
