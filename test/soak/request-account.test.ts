import {describe, expect, test} from 'vitest';
import type {CallerRequest} from './caller-load.ts';
import {
	accountRequests, readRequestLines, type AccountInput, type PlannedWork,
} from './request-account.ts';

const cut: CallerRequest = {
	id: 'r1', kind: 'book', daemon: 0, body: '', sentAt: 10_000, wholeAt: 10_010, closedAt: 10_400, endedAt: 10_400, ending: 'closed', status: 0, received: '', isComplete: false, bodyMs: 0,
};
const served: CallerRequest = {
	...cut, id: 'r2', ending: 'complete', status: 200, isComplete: true,
};
const sigterm: PlannedWork = {kind: 'SIGTERM', daemon: 0, at: 10_100};
const base: AccountInput = {
	requests: [cut], lines: [[]], passedOn: new Set(['r1']), plannedWork: [], disruptions: [[]], upstreamDisruptions: new Map(), timeoutMs: () => 1500,
};
const configuration: PlannedWork = {kind: 'configuration', at: 9000};

// Guards against an account that misses a request that was lost around planned work.
describe('the account of requests finds a violation in', () => {
	test.each<[string, Partial<AccountInput>]>([
		['a request that was passed on and cut after a SIGTERM', {plannedWork: [sigterm]}],
		['a request that was read late and cut after a SIGTERM', {plannedWork: [sigterm], passedOn: new Set()}],
		['a request that was passed on and cut at once', {plannedWork: [sigterm], requests: [{...cut, closedAt: 10_110}]}],
		['a part of a stream after a SIGTERM', {
			plannedWork: [sigterm], requests: [{
				...cut, kind: 'flag', status: 200, received: 'id: 1',
			}],
		}],
		['a request sent late and cut in the last sixth of the grace period', {plannedWork: [{...sigterm, at: 3000}]}],
		['an early request that was reset unread in the last sixth of the grace period', {
			plannedWork: [{...sigterm, at: 3500}], passedOn: new Set(), requests: [{...cut, sentAt: 6000, wholeAt: 6010}], timeoutMs: () => 5000,
		}],
		['a request sent before the end of the reload', {plannedWork: [{kind: 'SIGHUP', daemon: 0, at: 8100}]}],
		['a request cut beside a configuration only', {plannedWork: [configuration]}],
		['a plain request beside a disruption of the store', {plannedWork: [sigterm], disruptions: [[{from: 9000, to: 10_200, cause: 'store'}]]}],
		['a request beside another planned stop', {plannedWork: [sigterm], disruptions: [[{from: 10_100, to: 10_500, cause: 'plannedStop'}]]}],
	])('%s', (_name, change) => {
		const {violations} = accountRequests({...base, ...change});
		expect(violations).toHaveLength(1);
		expect(violations[0]).toContain('r1 was closed by daemon-0');
	});
});

// Guards against reports of what the operators' rule allows.
describe('the account of requests finds no violation in', () => {
	test.each<[string, Partial<AccountInput>]>([
		['a complete answer', {plannedWork: [sigterm], requests: [served]}],
		['a request that was not sent whole', {plannedWork: [sigterm], requests: [{...cut, wholeAt: undefined}]}],
		['a request that crossed the close', {plannedWork: [sigterm], passedOn: new Set(), requests: [{...cut, closedAt: 10_200}]}],
		['a SIGTERM of another daemon', {plannedWork: [{...sigterm, daemon: 1}]}],
		['a request cut later than 1 s after the grace period', {plannedWork: [{...sigterm, at: 1300}]}],
		['an early request in the last sixth of the grace period', {plannedWork: [{...sigterm, at: 3500}], requests: [{...cut, sentAt: 6000, wholeAt: 6010}], timeoutMs: () => 5000}],
		['a request sent after the reload', {plannedWork: [{kind: 'SIGHUP', daemon: 0, at: 7900}]}],
		['a request whose timeout was reached', {plannedWork: [sigterm], timeoutMs: () => 390}],
		['an upstream that broke off', {plannedWork: [sigterm], upstreamDisruptions: new Map([['r1', [{from: 10_050, to: 10_100}]]])}],
		['an unplanned disruption within the contact time', {plannedWork: [sigterm], disruptions: [[{from: 7000, to: 7100, cause: 'host'}]]}],
		['a stream beside a disruption of the store', {plannedWork: [sigterm], requests: [{...cut, kind: 'flag'}], disruptions: [[{from: 9000, to: 9100, cause: 'store'}]]}],
		['a request that used seven tenths of its time beside a configuration', {plannedWork: [configuration], timeoutMs: () => 500}],
		['cuts that are as frequent at other times', {
			plannedWork: [configuration], requests: [cut, {...cut, id: 'r3', closedAt: 13_400}], passedOn: new Set(['r1', 'r3']), timeoutMs: () => 9000,
		}],
	])('%s', (_name, change) => {
		expect(accountRequests({...base, ...change}).violations).toEqual([]);
	});
});

test('the account of requests reports each cut with its log lines, and the cuts by daemon and second', () => {
	const log = [
		'cut":"connection.closed"}',
		'{"time":110015,"event":"request.received","daemon":"daemon-0","request":"r1","configuration":7}',
		'{"time":110390,"event":"connection.closed","daemon":"daemon-0","reason":"shutdown","requests":["r9","r1"]}',
		'{"time":110390,"event":"send","daemon":"daemon-0","request":"r1"}',
	].join('\n');
	const versions: Array<number | undefined> = [];
	const {report} = accountRequests({
		...base,
		requests: [cut, served],
		lines: [readRequestLines(log, 100_000)],
		plannedWork: [configuration],
		timeoutMs(_request, version) {
			versions.push(version);
			return 1500;
		},
	});
	expect(versions).toEqual([7]);
	expect(report).toEqual([
		'book r1 was closed by daemon-0 without an answer, 390 ms after its last byte at 10.01 s (no excuse; passed on; '
		+ 'request.received {} 5 ms after its last byte, connection.closed {"reason":"shutdown"} 380 ms after its last byte)',
		'daemon-0 cuts by second: 10 s: 1',
		'daemon-0 cuts without an excuse: 1 of 2 requests beside a configuration, 0 of 0 at other times (Infinity times as often)',
	]);
});

// Guards against memory that grows with the length of a run.
test('the account of requests judges the last minute', () => {
	const {report} = accountRequests({...base, requests: [cut, {...served, closedAt: 70_500}]});
	expect(report).toEqual(['1 requests that ended over 60 s before the last one were not judged']);
});
