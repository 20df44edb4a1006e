import {setTimeout as delay} from 'node:timers/promises';
import {describe, expect, test} from 'vitest';
import {FleetFixture} from '../../fixtures/fleet/fleet-fixture.ts';
import type {UpstreamServer} from '../../fixtures/fleet/upstream-server.ts';

/** Time after which a leaving upstream may get nothing more, in milliseconds. */
const drainMs = 2000;
/** Time after which a pause must be kept to, in milliseconds. */
const pauseStartMs = 500;
/** Length of the load on upstreams that all refuse, in milliseconds. */
const loadMs = 2400;
/** Requests that an upstream may get from each daemon during a pause. */
const allowedDuringPause = 2;

/** Sends a lookup every 12 ms, to the daemons in turn; returns the answers, with the time from the first send to that of each request. */
async function load(fleet: FleetFixture, daemons: number, durationMs: number) {
	const send = async (index: number, sentMs: number) => ({...await fleet.send({path: `/lookup/${index}`, daemon: index % daemons, deadlineMs: 1500}), sentMs});
	const answers = [];
	for (const startedAt = performance.now(); performance.now() - startedAt < durationMs;) {
		answers.push(send(answers.length, performance.now() - startedAt));
		await delay(12);
	}

	return Promise.all(answers);
}

/** Requests that an upstream got between two times after its first one, in milliseconds. */
function requestsBetween({receivedRequests}: UpstreamServer, fromMs: number, toMs: number): number {
	const first = receivedRequests[0]!.receivedAt;
	return receivedRequests.filter(({receivedAt}) => receivedAt > first + fromMs && receivedAt < first + toMs).length;
}

describe('an upstream that says in its answers that it is leaving', () => {
	test('gets no new work from any daemon, although the list shows it as ready', async () => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'u-1', isLeaving: true}, {id: 'u-2'}, {id: 'u-3'}], {daemons: 4});
		const answers = await load(fleet, 4, 4000);
		const [leaving] = fleet.upstreams;
		expect(requestsBetween(leaving!, drainMs, Number.POSITIVE_INFINITY)).toBe(0);
		expect(leaving!.receivedRequests.length).toBeLessThanOrEqual(8);
		expect(answers.filter(({status}) => status !== 200)).toEqual([]);
	});

	// Guards against a daemon that has just started using an upstream that the others know to be leaving.
	test('gets nothing from a daemon that starts later', async () => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'u-1', isLeaving: true}, {id: 'u-2'}], {daemons: 1});
		await load(fleet, 1, 300);
		await fleet.startDaemon();
		await fleet.waitUntil(() => fleet.logLines.some(({event, source, peer, pastEntries}) => (event === 'upstream.announcedLeaving' && source === 'daemon-1')
			|| (event === 'start.inherited' && peer === 'daemon-1' && pastEntries === 1)));
		const before = fleet.upstreams[0]!.receivedRequests.length;
		await load(fleet, 2, 500);
		expect(fleet.upstreams[0]!.receivedRequests).toHaveLength(before);
	});

	test('is used again after it has restarted under its id', async () => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'u-1', isLeaving: true}, {id: 'u-2'}]);
		await load(fleet, 1, 300);
		const [restarted] = fleet.upstreams;
		const before = restarted!.receivedRequests.length;
		restarted!.behaviour.isLeaving = false;
		fleet.store.put('servers', 'u-1', restarted!.entry({born: 2000}));
		await delay(300);
		await load(fleet, 1, 300);
		expect(restarted!.receivedRequests.length).toBeGreaterThan(before);
	});
});

describe('an upstream that refuses with a time after which it may be tried again', () => {
	const refusing = {status: 503, isMarkedNotRun: true, retryAfterSeconds: 3};

	test('is left alone by each daemon for that time, and its callers are refused at once with the time that is left', async () => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'u-1', ...refusing}, {id: 'u-2', ...refusing}, {id: 'u-3', ...refusing}], {daemons: 4});
		const answers = await load(fleet, 4, loadMs);
		for (const upstream of fleet.upstreams) {
			expect(requestsBetween(upstream, pauseStartMs, Number.POSITIVE_INFINITY)).toBeLessThanOrEqual(allowedDuringPause * 4);
		}

		// A busy machine sends fewer requests; the first ones run before the upstreams have asked for a pause.
		const late = answers.filter(({sentMs}) => sentMs > loadMs / 2);
		expect(new Set(late.map(({status}) => status))).toEqual(new Set([503]));
		expect(Math.max(...late.map(({elapsedMs}) => elapsedMs))).toBeLessThan(250);
		expect(late.every(({headers}) => Number(headers['retry-after']) > 0)).toBe(true);
	});

	test('gets requests again when the time is over', async () => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'u-1', ...refusing, retryAfterSeconds: 1}]);
		await load(fleet, 1, 300);
		fleet.upstreams[0]!.behaviour.status = undefined;
		await delay(900);
		const answers = await load(fleet, 1, 300);
		expect(answers.at(-1)!.status).toBe(200);
	});

	test('does not keep other upstreams from serving', async () => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'u-1', ...refusing}, {id: 'u-2'}], {daemons: 2});
		const answers = await load(fleet, 2, 2500);
		expect(requestsBetween(fleet.upstreams[0]!, pauseStartMs, 2400)).toBeLessThanOrEqual(allowedDuringPause * 2);
		expect(answers.filter(({status}) => status !== 200)).toEqual([]);
	});
});
