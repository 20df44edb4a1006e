import {describe, expect, test} from 'vitest';
import {FleetFixture, readEventIds} from '../../fixtures/fleet/fleet-fixture.ts';

const prefillAndDecode = [{id: 'p-1', stage: 'prefill'}, {id: 'd-1', stage: 'decode'}] as const;
const twoDecoders = [...prefillAndDecode, {id: 'd-2', stage: 'decode'}] as const;

function find(fleet: FleetFixture, id: string) {
	return fleet.upstreams.find(({behaviour}) => behaviour.id === id)!;
}

describe('delivery of a stream', () => {
	test('runs the prefill at one engine and the decode at another', async () => {
		await using fleet = new FleetFixture();
		await fleet.start(prefillAndDecode);
		const received = await fleet.stream('/brief/1', {id: 'r-1'});
		expect(received).toMatchObject({status: 200, isWhole: true});
		expect(readEventIds(received.body)).toEqual(['1', '2', '3']);
		expect(find(fleet, 'p-1').receivedRequests[0]!.headers).toMatchObject({'x-inference-stage': 'prefill', 'x-expect-instance': 'p-1', 'x-model': 'm'});
		expect(find(fleet, 'd-1').receivedRequests[0]!.headers).toMatchObject({'x-kv-source': `${find(fleet, 'p-1').address}/h1`, 'x-request-priority': '2'});
	});

	test('does not forward headers that only the daemon may set', async () => {
		await using fleet = new FleetFixture();
		await fleet.start(prefillAndDecode);
		await fleet.stream('/brief/1', {
			headers: {
				'x-kv-source': '10.0.0.1:1/forged',
				'x-kv-hold': 'forged',
				'x-pin-ms': '4000',
				'x-kv-backup': '10.0.0.1:1',
				'x-inference-stage': 'decode',
				'x-request-priority': '0',
				'kv-fetch': '10.0.0.1:1',
			},
		});
		for (const {headers} of fleet.upstreams.flatMap(({receivedRequests: seen}) => seen)) {
			expect(JSON.stringify(headers)).not.toMatch(/forged|10\.0\.0\.1|4000/v);
			expect(headers['x-request-priority']).not.toBe('0');
		}
	});

	// Guards against a stream that is cut short being passed on as complete, when only the end of its connection ends it.
	test.each([
		['ends after its last event', {endsUnframed: true}, {isWhole: true, ids: ['1', '2', '3']}],
		['ends inside an event', {endsInsideEvent: true}, {isWhole: false, ids: ['1', '2']}],
		['is reset', {resetsUnframed: true}, {isWhole: false, ids: ['1', '2', '3']}],
	])('relays a stream without length or chunks that %s, complete only if it was', async (_end, trouble, expected) => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'p-1', stage: 'prefill'}, {id: 'd-1', stage: 'decode', ...trouble}]);
		const {status, body, isWhole} = await fleet.stream('/flag/1');
		expect({status, isWhole, ids: readEventIds(body)}).toEqual({status: 200, ...expected});
	});

	test('lets the decoding engine prefill the prompt when no other one can', async () => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'd-1', stage: 'decode'}]);
		const {status, body} = await fleet.stream('/flag/1');
		expect(status).toBe(200);
		expect(readEventIds(body)).toEqual(['1', '2', '3']);
	});

	test.each([
		['rejected', {status: 503, isMarkedNotRun: true}],
		['lost', {losesAnswer: true}],
	])('counts each %s prefill against the retry budget, so that failing engines get no retry storm', async (_outcome, trouble) => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'p-1', stage: 'prefill'}, {id: 'p-2', stage: 'prefill'}, {id: 'p-3', stage: 'prefill'}, {id: 'd-1', stage: 'decode'}]);
		for (const {behaviour} of fleet.upstreams.filter(({behaviour: {stage}}) => stage === 'prefill')) {
			Object.assign(behaviour, trouble);
		}

		const requests = 60;
		for (let count = 0; count < requests; count += 1) {
			await fleet.stream('/flag/1');
		}

		const arrivals = fleet.upstreams.reduce((sum, {receivedRequests: seen}) => sum + seen.filter(({url}) => url.startsWith('/flag/')).length, 0);
		// The fixture allows 0.2 further sends for each request, and 120 for all daemons, of which one daemon may use at most 1/24.
		expect(arrivals - requests).toBeLessThanOrEqual((requests * 0.2) + (120 / 24));
	});

	test('is refused immediately as not run while no engine decodes, without a useless prefill', async () => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'p-1', stage: 'prefill'}]);
		const {status, elapsedMs} = await fleet.stream('/brief/1');
		expect(status).toBe(503);
		expect(elapsedMs).toBeLessThan(400);
		expect(find(fleet, 'p-1').receivedRequests.filter(({url}) => url.startsWith('/brief/'))).toEqual([]);
	});

	test('retries a failed prefill at another engine', async () => {
		await using fleet = new FleetFixture();
		await fleet.start([...prefillAndDecode, {id: 'p-2', stage: 'prefill'}]);
		find(fleet, 'p-1').behaviour.losesAnswer = true;
		for (let count = 0; count < 4; count += 1) {
			const {status} = await fleet.stream('/flag/1');
			expect(status).toBe(200);
		}
	});

	test('resumes a resumable stream after the last complete event, under the first signature', async () => {
		await using fleet = new FleetFixture();
		await fleet.start(twoDecoders);
		for (const id of ['d-1', 'd-2']) {
			Object.assign(find(fleet, id).behaviour, {eventCount: 6, closesAfterEvents: 3});
		}

		const {status, body, isWhole, headers} = await fleet.stream('/brief/1');
		expect({status, isWhole}).toEqual({status: 200, isWhole: true});
		expect(readEventIds(body)).toEqual(['1', '2', '3', '4', '5', '6']);
		expect(body).not.toMatch(/da$|daid/mv);
		const runs = ['d-1', 'd-2'].flatMap(id => find(fleet, id).executedRequests);
		expect(new Set(runs.map(({headers: sent}) => sent['last-event-id']))).toEqual(new Set([undefined, '3']));
		expect(runs).toHaveLength(2);
		expect(headers['x-response-seal']).toMatch(/^seal-d-/v);
	});

	test('starts after the last event that the caller has', async () => {
		await using fleet = new FleetFixture();
		await fleet.start(prefillAndDecode);
		const {body} = await fleet.stream('/brief/1', {headers: {'last-event-id': '2'}});
		expect(readEventIds(body)).toEqual(['3']);
	});

	test('aborts a truncated stream that cannot be resumed, so that it does not look complete', async () => {
		await using fleet = new FleetFixture();
		await fleet.start(twoDecoders);
		for (const id of ['d-1', 'd-2']) {
			Object.assign(find(fleet, id).behaviour, {eventCount: 6, closesAfterEvents: 3});
		}

		const {body, isWhole} = await fleet.stream('/flag/1');
		expect(isWhole).toBe(false);
		expect(readEventIds(body)).toEqual(['1', '2', '3']);
		expect(['d-1', 'd-2'].flatMap(id => find(fleet, id).executedRequests)).toHaveLength(1);
	});

	test('does not resume a stream beyond the attempt limit of its route', async () => {
		await using fleet = new FleetFixture();
		await fleet.start([...twoDecoders, {id: 'd-3', stage: 'decode'}]);
		for (const id of ['d-1', 'd-2', 'd-3']) {
			Object.assign(find(fleet, id).behaviour, {eventCount: 9, closesAfterEvents: 2});
		}

		const {body, isWhole} = await fleet.stream('/brief/1');
		expect(isWhole).toBe(false);
		expect(readEventIds(body)).toEqual(['1', '2', '3', '4']);
	});

	test('does not resume a stream shortly before its deadline', async () => {
		await using fleet = new FleetFixture();
		await fleet.start(twoDecoders);
		for (const id of ['d-1', 'd-2']) {
			Object.assign(find(fleet, id).behaviour, {eventCount: 9, closesAfterEvents: 3, eventIntervalMs: 190});
		}

		const {isWhole} = await fleet.stream('/brief/1', {deadlineMs: 650});
		expect(isWhole).toBe(false);
		expect(['d-1', 'd-2'].flatMap(id => find(fleet, id).executedRequests)).toHaveLength(1);
	});

	test('resumes a stream that goes silent, and cancels the work at the silent engine', async () => {
		await using fleet = new FleetFixture();
		await fleet.start(twoDecoders);
		for (const id of ['d-1', 'd-2']) {
			Object.assign(find(fleet, id).behaviour, {eventCount: 4, stallsAfterEvents: 2});
		}

		const {body, isWhole} = await fleet.stream('/brief/1', {id: 'silent'});
		expect(isWhole).toBe(true);
		expect(readEventIds(body)).toEqual(['1', '2', '3', '4']);
		await fleet.waitUntil(() => ['d-1', 'd-2'].some(id => find(fleet, id).abortedRequestIds.includes('silent')), 400);
	});

	test('passes on the error answer of an engine unchanged', async () => {
		await using fleet = new FleetFixture();
		await fleet.start(prefillAndDecode);
		Object.assign(find(fleet, 'd-1').behaviour, {status: 500});
		const {status, headers, body} = await fleet.stream('/flag/1');
		expect({status, body}).toEqual({status: 500, body: 'failed'});
		expect(headers['x-response-seal']).toBe('seal-d-1');
	});

	test('reports a stream as not run when no engine accepted it, and releases the prompt', async () => {
		await using fleet = new FleetFixture();
		await fleet.start(prefillAndDecode);
		Object.assign(find(fleet, 'd-1').behaviour, {status: 503, isMarkedNotRun: true});
		const {status, headers} = await fleet.stream('/flag/1');
		expect(status).toBe(503);
		expect(headers['retry-after']).toBeDefined();
		await fleet.waitUntil(() => find(fleet, 'p-1').receivedRequests.some(({method, url}) => method === 'DELETE' && url === '/api/kv-handle/h1'));
	});

	test('does not report a stream as not run when the answer of an engine is lost', async () => {
		await using fleet = new FleetFixture();
		await fleet.start(twoDecoders);
		for (const id of ['d-1', 'd-2']) {
			find(fleet, id).behaviour.losesAnswer = true;
		}

		const {status} = await fleet.stream('/flag/1');
		expect(status).toBe(502);
		expect(['d-1', 'd-2'].flatMap(id => find(fleet, id).executedRequests)).toHaveLength(1);
	});

	test('cancels the prefill and does not decode when the caller disconnects', async () => {
		await using fleet = new FleetFixture();
		await fleet.start(prefillAndDecode);
		find(fleet, 'p-1').behaviour.delayMs = 500;
		await expect(fleet.stream('/flag/1', {id: 'gone', disconnectAfterMs: 100})).rejects.toThrow();
		await fleet.waitUntil(() => find(fleet, 'p-1').abortedRequestIds.includes('gone'), 400);
		expect(find(fleet, 'd-1').receivedRequests).toEqual([]);
	});

	test('cancels the decode when the caller disconnects after the prefill', async () => {
		await using fleet = new FleetFixture();
		await fleet.start(prefillAndDecode);
		find(fleet, 'd-1').behaviour.delayMs = 500;
		await expect(fleet.stream('/flag/1', {id: 'gone', disconnectAfterMs: 150})).rejects.toThrow();
		await fleet.waitUntil(() => find(fleet, 'd-1').abortedRequestIds.includes('gone'), 400);
	});
});

describe('a silent engine', () => {
	test('is awaited when no other one could take over, because it may merely be slow', async () => {
		await using fleet = new FleetFixture();
		await fleet.start(prefillAndDecode);
		Object.assign(find(fleet, 'd-1').behaviour, {eventCount: 3, eventIntervalMs: 1100});
		const {body, isWhole} = await fleet.stream('/brief/1');
		expect(isWhole).toBe(true);
		expect(readEventIds(body)).toEqual(['1', '2', '3']);
	});
});

describe('engines to avoid', () => {
	test('are used when no other one decodes, whatever the state of the prefill engines', async () => {
		await using fleet = new FleetFixture();
		await fleet.start(prefillAndDecode);
		const decoder = find(fleet, 'd-1');
		decoder.behaviour.losesAnswer = true;
		const {status: lost} = await fleet.stream('/flag/1');
		decoder.behaviour.losesAnswer = false;
		const {status} = await fleet.stream('/flag/1');
		expect([lost, status]).toEqual([502, 200]);
	});
});
