import {Buffer} from 'node:buffer';
import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {decodeConfiguration} from '../../platform/configuration-row.ts';
import {HttpUpstreamProtocol} from '../../platform/http-upstream-protocol.ts';
import {decodeUpstream} from '../../platform/upstream-row.ts';
import type {Upstream} from '../../src/ports/upstream.ts';
import {createOperatorConfiguration} from '../fixtures/fleet/fleet-fixture.ts';
import {absentUpstreams, unusableEntries} from '../fixtures/fleet/odd-entries.ts';

function encode(value: unknown): Uint8Array {
	return Buffer.from(JSON.stringify(value));
}

const upstreamEntry = {
	service: 'model', address: '10.1.64.9:8080', zone: 'zone-a', version: 'v1', slots: 128, state: 'ready', cold_remaining_ms: 0, stage: 'prefill', sequence: 4, born: 1000,
};

/** Usable and odd values of one field. */
function randomField(usable: unknown): fc.Arbitrary<unknown> {
	return fc.oneof(
		{weight: 40, arbitrary: fc.constant(usable)},
		fc.jsonValue(),
		fc.double(),
		fc.integer(),
		fc.string({unit: 'binary'}),
		fc.constantFrom('constructor', '__proto__', undefined),
		fc.tuple(fc.ipV4(), fc.integer({min: -1, max: 100_000})).map(([host, port]) => `${host}:${port}`),
	);
}

/** Entries with some odd fields, and any other JSON text. */
const randomEntry = fc.oneof(
	{weight: 9, arbitrary: fc.record(Object.fromEntries(Object.entries(upstreamEntry).map(([name, usable]) => [name, randomField(usable)]))).map(entry => JSON.stringify(entry))},
	fc.json(),
);

function expectUsable(upstream: Upstream): void {
	const {address, slots, heartbeatCount, startedAt = 0} = upstream;
	const {hostname, port} = new URL(`http://${address}`);
	expect(`${hostname}:${port === '' ? 80 : port}`).toBe(address);
	expect(slots).toBeGreaterThan(0);
	expect([slots, heartbeatCount, startedAt].every(value => Number.isSafeInteger(value) && value >= 0)).toBe(true);
	expect([upstream.id, upstream.service, upstream.availabilityZone].every(text => text.length > 0 && text.length <= 200)).toBe(true);
	expect([undefined, 'prefill', 'decode']).toContain(upstream.stage);
}

describe('an upstream\'s entry', () => {
	test('is decoded into the fields of an upstream', () => {
		expect(decodeUpstream('u-1', encode(upstreamEntry)).extract()).toEqual({
			id: 'u-1', service: 'model', address: '10.1.64.9:8080', availabilityZone: 'zone-a', isDraining: false, slots: 128, stage: 'prefill', heartbeatCount: 4, startedAt: 1000,
		});
	});

	test('tells reclaimable upstreams and the time until one leaves', () => {
		expect(decodeUpstream('u-1', encode({
			...upstreamEntry, use_spot: true, state: 'draining', leaves_ms: 2900,
		})).extract()).toMatchObject({isReclaimable: true, isDraining: true, leavesInMs: 2900});
		expect(decodeUpstream('u-1', encode({...upstreamEntry, use_spot: 'yes', leaves_ms: -1})).extract()).not.toHaveProperty('isReclaimable');
	});

	test.each([
		['text instead of an object', 'text'],
		['a list', [upstreamEntry]],
		['a missing service', {...upstreamEntry, service: undefined}],
		['an address without a port', {...upstreamEntry, address: '10.1.64.9'}],
		['slots of another type', {...upstreamEntry, slots: '128'}],
		['an unknown state', {...upstreamEntry, state: 'resting'}],
	])('is rejected: %s', (_name, value) => {
		expect(decodeUpstream('u-1', encode(value)).isLeft()).toBe(true);
	});

	test.each(unusableEntries.map(({kind, id, value}) => ({
		kind, id: id.slice(0, 40), key: id, value,
	})))('is rejected: $kind, $id', ({key, value}) => {
		expect(decodeUpstream(key, value instanceof Uint8Array ? value : Buffer.from(typeof value === 'string' ? value : JSON.stringify(value))).isLeft()).toBe(true);
	});

	test.each(absentUpstreams.map(({id, value}) => ({id: id.slice(0, 40), key: id, value})))('is decoded although nothing may answer there: $id', ({key, value}) => {
		expect(decodeUpstream(key, encode(value)).isRight()).toBe(true);
	});

	test('never makes the decoder throw or yield an address, a number or a text that the daemon cannot use', () => {
		let accepted = 0;
		fc.assert(fc.property(fc.oneof({weight: 4, arbitrary: fc.constant('u-1')}, fc.string({unit: 'binary'})), randomEntry, (id, entry) => {
			decodeUpstream(id, Buffer.from(entry)).ifRight(upstream => {
				accepted += 1;
				expectUsable(upstream);
			});
		}), {seed: 39, numRuns: 4000});
		// Too few accepted entries would leave the checks above without effect.
		expect(accepted).toBeGreaterThan(100);
	});

	test('is rejected when it is missing or not JSON', () => {
		expect(decodeUpstream('u-1', Buffer.from([0xFF, 0x00, 0x7B])).isLeft()).toBe(true);
		expect(decodeUpstream('u-1', undefined).isLeft()).toBe(true);
	});
});

describe('the operator\'s configuration', () => {
	test('is decoded with its routes, targets, engines and limits', () => {
		const decoded = decodeConfiguration(encode(createOperatorConfiguration({
			routes: [{
				name: 'r',
				host: 'a.example',
				path_prefix: '/x/',
				kind: 'streaming',
				timeout_ms: 5000,
				target_latency_ms: 400,
				priority: 2,
				traffic_split: [{service: 'one', weight: 90}, {service: 'two', weight: 10}],
				max_attempts: 2,
				resumable: true,
			}],
		}))).toMaybe().extract();
		expect(decoded?.routes).toEqual([{
			name: 'r',
			host: 'a.example',
			pathPrefix: '/x/',
			kind: 'stream',
			timeoutMs: 5000,
			targetLatencyMs: 400,
			targetGapMs: undefined,
			priority: 2,
			attemptLimit: 2,
			isResumable: true,
			isPublic: false,
			targets: [{service: 'one', weight: 90}, {service: 'two', weight: 10}],
		}]);
		expect(decoded?.services.find(({name}) => name === 'model')?.engine).toEqual({
			slots: 128, memoryCapacityTokens: 1_000_000, bytesPerToken: 18_432, linkMbps: 550_000, handleTtlMs: 5000, stageChangeMs: 3000,
		});
		expect(decoded?.limits.bodyBytes).toBe(100_000);
	});

	test('is invalid without an exception when a deeply nested route cannot be decoded', () => {
		const depth = 10_000;
		const text = JSON.stringify(createOperatorConfiguration({routes: ['?']})).replace('"?"', `{"host":${'{"a":'.repeat(depth)}0${'}'.repeat(depth)}}`);
		expect(decodeConfiguration(Buffer.from(text)).isLeft()).toBe(true);
	});

	test.each(['constructor', '__proto__', 'toString'])('is invalid when a route has the unknown kind %s', kind => {
		expect(decodeConfiguration(encode(createOperatorConfiguration({
			routes: [{
				host: 'a.example', path_prefix: '/', service: 'desk', kind,
			}],
		}))).isLeft()).toBe(true);
	});

	test('is invalid as a whole when a route cannot be decoded, because a missing route would get a 404', () => {
		expect(decodeConfiguration(encode(createOperatorConfiguration({routes: [{host: 'a.example'}]}))).isLeft()).toBe(true);
	});

	test.each([['an object', {}], ['a text', 'north'], ['a number', 0]])('is invalid when its accounts are %s, because no keys would be needed', (_name, tenants) => {
		expect(decodeConfiguration(encode(createOperatorConfiguration({tenants}))).isLeft()).toBe(true);
	});

	test.each([['an empty list', [], []], ['null', null, undefined], ['missing', undefined, undefined]])('has accounts only if they are listed, also if the list is %s', (_name, tenants, accounts) => {
		expect(decodeConfiguration(encode(createOperatorConfiguration({tenants}))).toMaybe().extract()?.accounts).toEqual(accounts);
	});
});

describe('an upstream\'s answer', () => {
	const protocol = new HttpUpstreamProtocol();

	test.each([
		[503, {}, false],
		[503, {'x-not-executed': '1'}, true],
		[421, {}, true],
		[429, {}, false],
		[500, {}, false],
	])('with status %i and headers %o means that the request was not run: %s', (status, headers, isNotRun) => {
		expect(protocol.decodeAnswer(status, headers).isNotRun).toBe(isNotRun);
	});

	test.each([
		['9.6', 9.6],
		[' 4 ', 4],
	])('names the limit %j of its upstream', (value, requestsPerSecond) => {
		expect(protocol.decodeBackpressure(200, {'server-limit': value, 'x-response-seal': 's'})).toEqual({
			requestsPerSecond, isLeaving: false, pauseMs: undefined, isConclusive: true, malformedHeaders: [],
		});
	});

	test.each([
		'-1', '0', 'many', '', 'Infinity', '1e400', '4 a second',
	])('with the malformed limit %j names none and ends none', value => {
		expect(protocol.decodeBackpressure(200, {'server-limit': value, 'x-response-seal': 's'})).toMatchObject({
			requestsPerSecond: undefined, malformedHeaders: [`server-limit: ${value}`],
		});
	});

	test.each([
		[503, '0.5', 500],
		[503, '8', 8000],
		[429, '8', undefined],
		[200, '8', undefined],
	])('with status %i and the delay %j asks for a pause of %j ms', (status, value, pauseMs) => {
		expect(protocol.decodeBackpressure(status, {'retry-after': value})).toMatchObject({pauseMs, malformedHeaders: []});
	});

	test.each([
		'Fri, 04 Dec 2026 20:00:00 GMT', '-1', 'soon', '',
	])('with the malformed delay %j asks for no pause', value => {
		expect(protocol.decodeBackpressure(503, {'retry-after': value})).toMatchObject({pauseMs: undefined, malformedHeaders: [`retry-after: ${value}`]});
	});

	test.each([
		['1', true, []],
		['0', false, ['server-leaving: 0']],
	])('with the mark %j says that its upstream is leaving: %j', (value, isLeaving, malformedHeaders) => {
		expect(protocol.decodeBackpressure(500, {'server-leaving': value})).toMatchObject({isLeaving, malformedHeaders});
	});

	test('with two limits names none', () => {
		expect(protocol.decodeBackpressure(200, {'server-limit': ['4', '8']})).toMatchObject({requestsPerSecond: undefined, malformedHeaders: ['server-limit: 4, 8']});
	});

	test('says nothing of the upstream that the request was meant for if another one has its address', () => {
		expect(protocol.decodeBackpressure(421, {'server-limit': '4'})).toBeUndefined();
	});

	test('does not pass hop-by-hop headers and the load on to the caller', () => {
		const {headers, isClosing} = protocol.decodeAnswer(200, {
			connection: 'close', 'keep-alive': 'timeout=5', 'transfer-encoding': 'chunked', 'x-response-seal': 's', 'x-server-load': '3,1,8,250',
		});
		expect(headers).toEqual(['x-response-seal', 's']);
		expect(isClosing).toBe(true);
	});

	test.each([
		['3,1,8,250', {
			running: 3, waiting: 1, slots: 8, slowdownFactor: 2.5,
		}],
		['3,1,8', {
			running: 3, waiting: 1, slots: 8, slowdownFactor: 1,
		}],
		['3,x,8', undefined],
	])('has its load header %s decoded', (text, load) => {
		expect(protocol.decodeAnswer(200, {'x-server-load': text}).load).toEqual(load);
	});
});
