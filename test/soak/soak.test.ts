import {
	mkdtempSync, readdirSync, readFileSync, rmSync, statSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {
	afterAll, beforeAll, describe, expect, test,
} from 'vitest';
import {buildDaemon} from '../fixtures/fleet/daemon-process.ts';
import type {CallerRequest} from './caller-load.ts';
import {keepEvidence} from './evidence.ts';
import {generateFaults, isChange} from './fault-schedule.ts';
import {findViolations, type Observations} from './invariants.ts';
import {runSoak} from './soak.ts';

// Guards against violations of what callers and engines may rely on while daemons, the store and upstreams fail.
// Seeds 10 and 42 repeat runs that found the named faults.
describe('fault soak', () => {
	let bundle = '';
	beforeAll(() => {
		bundle = buildDaemon();
	});

	test.each([
		['short run', 1, 3, 5000, false],
		['short run', 2, 3, 5000, false],
		['the proxy forwarded a reset as a FIN', 10, 4, 8000, false],
		['a SIGHUP during startup ended a daemon', 42, 4, 8000, false],
		['with a request that crashes upstreams', 3, 4, 12_000, true],
	])('has no violations: %s, seed %i', async (_reason, seed, daemons, faultPeriodMs, hasCrashingCaller) => {
		const {violations, served} = await runSoak({
			bundle, seed, daemons, faultPeriodMs, hasCrashingCaller,
		});
		expect(violations).toEqual([]);
		expect(served).toBeGreaterThan(50);
	}, 60_000);

	// Before such entries were rejected, this seed lost six requests to entries with an unusable address.
	test('loses no request beside configurations, standstills, odd entries and planned stops, seed 5', async () => {
		const {violations, served} = await runSoak({
			bundle, seed: 5, daemons: 4, faultPeriodMs: 8000, groups: {hasFailures: false, hasChanges: true},
		});
		expect(violations).toEqual([]);
		expect(served).toBeGreaterThan(50);
	}, 60_000);
});

// Guards against runs that a seed does not reproduce, and against faults that last into the check of the recovery.
describe('fault schedule', () => {
	const bothGroups = {hasFailures: true, hasChanges: true};

	test('is the same for the same seed and ends within the fault period', () => {
		expect(generateFaults(7, 8000, bothGroups)).toEqual(generateFaults(7, 8000, bothGroups));
		expect(Math.max(...generateFaults(7, 8000, bothGroups).map(({at, forMs}) => at + forMs))).toBeLessThanOrEqual(8000);
	});

	test('has the same failures with and without changes', () => {
		expect(generateFaults(7, 8000, bothGroups).filter(fault => !isChange(fault))).toEqual(generateFaults(7, 8000));
	});
});

// Guards against checks that miss a violation.
describe('soak invariants', () => {
	const book: CallerRequest = {
		id: 'r1', kind: 'book', daemon: 0, body: 'body of r1', sentAt: 0, endedAt: 100, status: 200, seal: 'seal-desk-1', answeredId: 'r1', received: 'done1', isComplete: true, bodyMs: 0,
	};
	const healthyRun: Observations = {
		requests: [book],
		ran: ['r1'],
		seen: [],
		orders: [],
		crashTimes: [],
		afterLeaving: [],
		disruptions: [[]],
		upstreamDisruptions: new Map(),
		kills: [[]],
		stops: [[]],
		leastTimeoutRatio: 1,
		plannedStops: [],
		unexpectedEnds: [],
	};
	const order = {
		engine: 'e', holder: 'daemon-0', fence: 1, at: 0,
	};

	const unanswered: CallerRequest = {
		...book, status: 0, wholeAt: 50, received: '', isComplete: false,
	};
	const passedOn = {
		method: 'POST', url: '/book/r1', headers: {'x-request-id': 'r1'}, body: book.body, receivedAt: 60,
	};

	test.each<[string, Partial<Observations>]>([
		['a run without violations', {}],
		['a request in flight at a process that is killed', {requests: [unanswered], seen: [passedOn], kills: [[{from: 80, to: 900}]]}],
		['a request that arrives as an idle connection of a stopping daemon closes', {requests: [unanswered], ran: [], stops: [[{from: 0, to: 900}]]}],
		['a stream that its upstream broke off', {requests: [{...unanswered, kind: 'flag', status: 200}], upstreamDisruptions: new Map([['r1', [{from: 80, to: 900}]]])}],
		['a stream that lasted until the timeout of its route', {
			requests: [{
				...unanswered, kind: 'flag', status: 200, endedAt: 4000,
			}],
		}],
	])('report nothing for %s', (_name, change) => {
		expect(findViolations({...healthyRun, ...change})).toEqual([]);
	});

	test.each<[string, Partial<Observations>, RegExp]>([
		['a non-idempotent request that ran twice', {ran: ['r1', 'r1']}, /ran 2 times/v],
		['a refused request that ran', {requests: [{...book, status: 503}]}, /refused with 503 and ran/v],
		['an answer with the id of another request', {requests: [{...book, answeredId: 'r2'}]}, /answered with the id r2/v],
		['a truncated body that appears complete', {requests: [{...book, received: 'don'}]}, /got the body don/v],
		['a stream that ends as complete without its last events', {requests: [{...book, kind: 'flag', received: 'id: 1\ndata: x\n\n'}]}, /events 1/v],
		['a late final answer', {requests: [{...book, endedAt: 9000}]}, /no final answer/v],
		['a request that no caller sent', {
			seen: [{
				method: 'POST', url: '/book/r9', headers: {'x-request-id': 'r9'}, body: '', receivedAt: 0,
			}],
		}, /no caller sent/v],
		['a crashing request that is not recognised', {crashTimes: [0, 1, 2, 6000, 6001, 6002, 6003]}, /crashed 4 more/v],
		['two daemons that order with the same fencing number', {orders: [order, {...order, holder: 'daemon-1', at: 9000}]}, /fencing number 1/v],
		['orders of two lease holders within one lease period', {
			orders: [order, {
				...order, holder: 'daemon-1', fence: 2, at: 1000,
			}],
		}, /1000 ms after daemon-0/v],
		['a lower fencing number after a higher one', {orders: [{...order, fence: 2}, {...order, at: 9000}]}, /after a higher one/v],
		['a request to an upstream that is leaving', {
			afterLeaving: [{
				request: 'r1', upstream: 'u', leftAt: 0, at: 4000,
			}],
		}, /marked as leaving/v],
		['a request in flight that a planned stop aborted', {plannedStops: [{daemon: 0, at: 50}], requests: [{...book, isComplete: false, status: 0}]}, /planned stop/v],
		['a request that was sent whole and got neither an answer nor a refusal', {requests: [{...unanswered, endedAt: 900}]}, /r1 was sent whole .* no answer/v],
		['a request that was passed on and lost at a planned stop', {requests: [unanswered], seen: [passedOn], stops: [[{from: 0, to: 900}]]}, /r1 was sent whole/v],
		['a stream that was broken off while its upstream was sound', {
			requests: [{
				...unanswered, kind: 'flag', status: 200, received: 'id: 1\n\n',
			}],
		}, /only a part/v],
		['an incomplete stream that lacks an event', {
			requests: [{
				...unanswered, kind: 'flag', status: 200, received: 'id: 2\n\n',
			}],
		}, /broken off with the events 2/v],
		['a request that was denied although its route is configured', {requests: [{...book, status: 404}]}, /denied with 404/v],
		['a process that ended unexpectedly', {unexpectedEnds: ['daemon-0 ended with code 1']}, /ended with code 1/v],
	])('report %s', (_name, change, expected) => {
		expect(findViolations({...healthyRun, ...change}).join('\n')).toMatch(expected);
	});
});

// Guards against evidence that fills the disk or leaves out the requests concerned.
describe('soak evidence', () => {
	const folder = mkdtempSync(path.join(tmpdir(), 'wagtailtack-'));
	afterAll(() => {
		rmSync(folder, {recursive: true, force: true});
	});

	test('keeps the concerned requests of the newest runs within its size limit', () => {
		const request: CallerRequest = {
			id: 'r1', kind: 'book', daemon: 0, body: '', sentAt: 0, status: 0, received: '', isComplete: false, bodyMs: 0,
		};
		const log = `{"event":"send","request":"r1"}\n${'x'.repeat(6 * 1024 * 1024)}`;
		const runs = Array.from({length: 10}, (_, seed) => keepEvidence(folder, {
			seed, violations: ['book r1 was lost'], faults: [], startedAt: 0, requests: [request, {...request, id: 'r2'}], logs: [log, log],
		}));
		expect(readdirSync(folder)).toHaveLength(8);
		const newest = runs.at(-1)!;
		expect(JSON.parse(readFileSync(path.join(newest, 'requests.json'), 'utf8'))).toEqual([request]);
		expect(readFileSync(path.join(newest, 'requests.log'), 'utf8')).toContain('"request":"r1"');
		const bytes = readdirSync(newest).reduce((sum, name) => sum + statSync(path.join(newest, name)).size, 0);
		expect(bytes).toBeLessThanOrEqual(4 * 1024 * 1024);
	});
});
