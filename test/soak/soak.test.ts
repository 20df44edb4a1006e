import {
	beforeAll, describe, expect, test,
} from 'vitest';
import {buildDaemon} from '../fixtures/fleet/daemon-process.ts';
import type {CallerRequest} from './caller-load.ts';
import {generateFaults} from './fault-schedule.ts';
import {findViolations, type Observations} from './invariants.ts';
import {runSoak} from './soak.ts';

describe('fault soak', () => {
	let bundle = '';
	beforeAll(() => {
		bundle = buildDaemon();
	});

	test.each([
		['short run', 1, 3, 5000],
		['short run', 2, 3, 5000],
		['the proxy passed a reset on as an end', 10, 4, 8000],
		['a daemon was ended by a SIGHUP that came while it started', 42, 4, 8000],
	])('keeps all promises: %s, seed %i', async (_reason, seed, daemons, faultPeriodMs) => {
		const {violations, served} = await runSoak({
			bundle, seed, daemons, faultPeriodMs,
		});
		expect(violations).toEqual([]);
		expect(served).toBeGreaterThan(50);
	}, 60_000);
});

describe('schedule of faults', () => {
	test('is the same for the same seed and ends with the time of faults', () => {
		expect(generateFaults(7, 8000)).toEqual(generateFaults(7, 8000));
		expect(Math.max(...generateFaults(7, 8000).map(({at, forMs}) => at + forMs))).toBeLessThanOrEqual(8000);
	});
});

describe('checks of the soak', () => {
	const book: CallerRequest = {
		id: 'r1', kind: 'book', daemon: 0, body: 'body of r1', sentAt: 0, endedAt: 100, status: 200, seal: 'seal-desk-1', answeredId: 'r1', received: 'done1', isComplete: true,
	};
	const healthyRun: Observations = {
		requests: [book], ran: ['r1'], seen: [], orders: [], afterLeaving: [], disruptions: [[]], plannedStops: [], unexpectedEnds: [],
	};
	const order = {
		engine: 'e', holder: 'daemon-0', fence: 1, at: 0,
	};

	test('pass a run in which all went well', () => {
		expect(findViolations(healthyRun)).toEqual([]);
	});

	test.each<[string, Partial<Observations>, RegExp]>([
		['a booking that ran twice', {ran: ['r1', 'r1']}, /ran 2 times/v],
		['a refusal of what ran', {requests: [{...book, status: 503}]}, /refused with 503 and ran/v],
		['an answer to another request', {requests: [{...book, answeredId: 'r2'}]}, /answered with the id r2/v],
		['a body that is cut and looks complete', {requests: [{...book, received: 'don'}]}, /got the body don/v],
		['a stream without its last events', {requests: [{...book, kind: 'flag', received: 'id: 1\ndata: x\n\n'}]}, /events 1/v],
		['a late final answer', {requests: [{...book, endedAt: 9000}]}, /no final answer/v],
		['a request that nobody sent', {
			seen: [{
				method: 'POST', url: '/book/r9', headers: {'x-request-id': 'r9'}, body: '', receivedAt: 0,
			}],
		}, /no caller sent/v],
		['two holders of one fencing number', {orders: [order, {...order, holder: 'daemon-1', at: 9000}]}, /fencing number 1/v],
		['holders in close turns', {
			orders: [order, {
				...order, holder: 'daemon-1', fence: 2, at: 1000,
			}],
		}, /1000 ms after daemon-0/v],
		['a lower fencing number after a higher one', {orders: [{...order, fence: 2}, {...order, at: 9000}]}, /after a higher one/v],
		['a request to an upstream that has left', {
			afterLeaving: [{
				request: 'r1', upstream: 'u', leftAt: 0, at: 4000,
			}],
		}, /marked as leaving/v],
		['an open request that a planned stop cut', {plannedStops: [{daemon: 0, at: 50}], requests: [{...book, isComplete: false, status: 0}]}, /planned stop/v],
		['a process that ended by itself', {unexpectedEnds: ['daemon-0 ended with code 1']}, /ended with code 1/v],
	])('find %s', (_name, change, expected) => {
		expect(findViolations({...healthyRun, ...change}).join('\n')).toMatch(expected);
	});
});
