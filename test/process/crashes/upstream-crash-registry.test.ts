import {create} from '@bufbuild/protobuf';
import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import {CrashingRequestSchema} from '../../../src/generated/peer_pb.js';
import type {Host} from '../../../src/ports/host-list.ts';
import {ManualClock} from '../../../src/process/clock.ts';
import {decodeCrashNews, encodeCrashNews} from '../../../src/process/crashes/crash-news.ts';
import {CrashMonitor} from '../../../src/process/crashes/crash-monitor.ts';
import type {CrashNews} from '../../../src/process/crashes/crash-attribution.ts';
import {UpstreamCrashRegistry} from '../../../src/process/crashes/upstream-crash-registry.ts';
import type {AttemptEnd, Attempt} from '../../../src/request/attempt-listener.ts';
import type {RequestDemand} from '../../../src/request/request-demand.ts';
import {identify} from '../../fixtures/request-identity.ts';

const demand: RequestDemand = {
	requestId: 'r',
	customer: 'tuul',
	method: 'POST',
	call: {
		kind: 'model', model: 'press', path: '/v1/completions', stream: false,
	},
	serviceClass: 'live',
	...identify('p'),
	body: new Uint8Array(),
};

function attempt(attemptId: number, upstream: string): Attempt {
	const host: Host = {
		kind: 'engine', address: '', id: upstream, availabilityZone: '', state: 'live', serves: 'press', enforcesFencing: true,
	};
	return {
		attemptId, demand, upstream: host, startedAt: 0,
	};
}

describe('UpstreamCrashRegistry', () => {
	function runTwice(end: Omit<AttemptEnd, 'ran' | 'totalMs'>) {
		const clock = new ManualClock();
		const news: CrashNews[] = [];
		const monitor = new CrashMonitor({
			clock,
			announce(item) {
				news.push(item);
			},
			refusesConnections: async () => false,
			isServing: () => true,
			report: () => undefined,
		});
		const registry = new UpstreamCrashRegistry(monitor);
		for (const [index, upstream] of ['u1', 'u2'].entries()) {
			registry.attemptStarted(attempt(index, upstream));
			registry.attemptEnded(attempt(index, upstream), {...end, ran: 'unknown', totalMs: 10});
			monitor.upstreamDown(upstream, 'refused');
		}

		const first = registry.checkCondemned(demand);
		clock.advance(2000);
		monitor.tick();
		return {first, settled: registry.checkCondemned(demand), news};
	}

	it('refuses a request temporarily, then finally, after two upstreams crashed while running it', () => {
		const {first, settled, news} = runTwice({outcome: 'connection_lost', isLeaving: false});
		expect(first).toMatchObject({status: 503, code: 'request_under_suspicion', ran: 'no'});
		expect(settled).toMatchObject({status: 422, code: 'request_crashes_upstreams', ran: 'no'});
		expect(news.map(item => item.kind)).toEqual(['suspected', 'suspected', 'condemned']);
	});

	// Guards against requests that are refused because of failures that are not crashes.
	it.each<[string, Omit<AttemptEnd, 'ran' | 'totalMs'>]>([
		['a refusal with 503', {outcome: 'connection_lost', status: 503, isLeaving: false}],
		['a leaving upstream', {outcome: 'connection_lost', isLeaving: true}],
		['a timeout', {outcome: 'timed_out', isLeaving: false}],
		['a cancellation', {outcome: 'cancelled', isLeaving: false}],
		['an unreachable upstream', {outcome: 'not_sent', isLeaving: false}],
	])('does not count %s', (_, end) => {
		const {first, settled, news} = runTwice(end);
		expect([first, settled, news]).toEqual([undefined, undefined, []]);
	});
});

describe('crash news', () => {
	it.each<CrashNews>([
		{
			kind: 'suspected', ...identify('p'), upstream: 'u1', ageMs: 40,
		},
		{kind: 'condemned', fingerprint: 'p', refusedForMs: 600_000},
		{kind: 'cleared', fingerprint: 'p'},
		{
			kind: 'partsCondemned', promptParts: ['a', 'b'], refusedForMs: 600_000, firstCrashAgeMs: 4000,
		},
		{kind: 'partsCleared', promptParts: ['a']},
	])('of kind $kind is unchanged after encoding and decoding', news => {
		const item = encodeCrashNews(news);
		expect(item.case === 'crashingRequest' && decodeCrashNews(create(CrashingRequestSchema, item.value))).toEqual(news);
	});
});
