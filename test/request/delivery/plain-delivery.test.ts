import {describe, expect, test} from 'vitest';
import {FleetFixture} from '../../fixtures/fleet/fleet-fixture.ts';

describe('delivery to a plain service', () => {
	test('forwards method, path, body and id, and returns the answer', async () => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'u-1'}]);
		const received = await fleet.send({
			path: '/book/7?x=1', method: 'POST', id: 'r-7', body: 'two cartons', headers: {'x-own': 'kept', 'x-expect-instance': 'forged'},
		});
		expect(received).toMatchObject({status: 200, body: 'done1', isWhole: true});
		expect(received.headers['x-response-seal']).toBe('seal-u-1');
		expect(received.headers['x-request-id']).toBe('r-7');
		const [seen] = fleet.upstreams[0]!.receivedRequests;
		expect(seen).toMatchObject({method: 'POST', url: '/book/7?x=1', body: 'two cartons'});
		expect(seen!.headers).toMatchObject({
			host: 'a.example', 'x-own': 'kept', 'x-expect-instance': 'u-1', 'x-request-id': 'r-7',
		});
	});

	test('forwards the remaining time, limited by the timeout of the route', async () => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'u-1'}]);
		await fleet.send({path: '/lookup/1', deadlineMs: 900});
		await fleet.send({path: '/lookup/1', deadlineMs: 60_000});
		const [first, second] = fleet.upstreams[0]!.receivedRequests.map(({headers}) => Number(headers['x-deadline-ms']));
		expect(first).toBeLessThanOrEqual(900);
		expect(first).toBeGreaterThan(700);
		expect(second).toBeLessThanOrEqual(1500);
	});

	test('runs an unrepeatable request only once when its answer is lost, and does not report it as not run', async () => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'u-1', losesAnswer: true}, {id: 'u-2', losesAnswer: true}]);
		const {status} = await fleet.send({path: '/book/1', method: 'POST', body: 'x'});
		expect(status).toBe(502);
		expect(fleet.upstreams.flatMap(({executedRequests: runs}) => runs)).toHaveLength(1);
	});

	test('retries an idempotent request at another upstream when its answer is lost', async () => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'u-1', losesAnswer: true}, {id: 'u-2', losesAnswer: true}, {id: 'u-3'}]);
		const statuses = [];
		for (let count = 0; count < 6; count += 1) {
			const {status} = await fleet.send({path: '/lookup/1'});
			statuses.push(status);
		}

		expect(statuses).toContain(200);
		const ids = fleet.upstreams.flatMap(({executedRequests: runs}) => runs.map(({headers}) => headers['x-request-id']));
		expect(Math.max(...ids.map(id => ids.filter(other => other === id).length))).toBeLessThanOrEqual(2);
	});

	test('sends an unrepeatable request that was not run to another upstream', async () => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'u-1', status: 503, isMarkedNotRun: true}, {id: 'u-2'}]);
		for (let count = 0; count < 4; count += 1) {
			const {status} = await fleet.send({path: '/book/1', method: 'POST', body: 'x'});
			expect(status).toBe(200);
		}
	});

	test('reports a request as not run when every upstream states so', async () => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'u-1', status: 503, isMarkedNotRun: true}]);
		const {status, headers} = await fleet.send({
			path: '/book/1', method: 'POST', body: 'x', deadlineMs: 1000,
		});
		expect(status).toBe(503);
		expect(Number(headers['retry-after'])).toBeLessThanOrEqual(1 / 3);
	});

	test('does not report a request as not run after a 503 that does not state so', async () => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'u-1', status: 503}]);
		const {status, headers} = await fleet.send({path: '/book/1', method: 'POST', body: 'x'});
		expect([status, headers['x-response-seal'], headers['x-not-executed']]).toEqual([502, undefined, undefined]);
		expect(fleet.upstreams[0]!.executedRequests).toHaveLength(1);
	});

	test('retries an idempotent request at another upstream after an error, and delivers the error when all fail', async () => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'u-1', status: 500}, {id: 'u-2', status: 500}]);
		const {status, headers} = await fleet.send({path: '/lookup/1'});
		expect(status).toBe(500);
		expect(headers['x-response-seal']).toBeDefined();
		expect(fleet.upstreams.flatMap(({executedRequests: runs}) => runs)).toHaveLength(2);
	});

	test.each([
		['belongs to another request', {crossesAnswers: true}],
		['is truncated', {cutsBody: true}],
		['has no length and is reset', {resetsUnframed: true}],
		['has no length and is reset as it ends', {endsAndResets: true}],
		['has no signature', {isUnsigned: true}],
	])('does not deliver an answer that %s', async (_name, fault) => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'u-1', ...fault}]);
		const {status} = await fleet.send({path: '/book/1', method: 'POST', body: 'x'});
		expect(status).toBe(502);
	});

	test('delivers an answer without a length that ends with its connection', async () => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'u-1', endsUnframed: true}]);
		const {status, body, isWhole} = await fleet.send({path: '/book/1', method: 'POST', body: 'x'});
		expect({status, body, isWhole}).toEqual({status: 200, body: 'unframed', isWhole: true});
	});

	test('does not take a surplus answer on a connection for the answer to the next request', async () => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'u-1', sendsExtra: true}]);
		for (let count = 0; count < 8; count += 1) {
			const {status, body} = await fleet.send({path: '/lookup/1'});
			expect({status, body}).toEqual({status: 200, body: 'done1'});
		}
	});

	test('retries a request when another upstream has taken over the address', async () => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'u-1'}, {id: 'u-2'}]);
		fleet.upstreams[0]!.behaviour.id = 'u-9';
		for (let count = 0; count < 4; count += 1) {
			const {status} = await fleet.send({path: '/book/1', method: 'POST', body: 'x'});
			expect(status).toBe(200);
		}

		expect(fleet.upstreams[0]!.receivedRequests.length).toBeLessThanOrEqual(1);
	});

	test('cancels the work at the upstream when the caller disconnects', async () => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'u-1', delayMs: 1000}]);
		await expect(fleet.send({path: '/lookup/1', id: 'gone', disconnectAfterMs: 100})).rejects.toThrow();
		await fleet.waitUntil(() => fleet.upstreams[0]!.abortedRequestIds.includes('gone'), 500);
	});

	test('ends a request at the timeout of its route', async () => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'u-1', delayMs: 5000}]);
		const {status, elapsedMs} = await fleet.send({
			path: '/book/1', method: 'POST', body: 'x', deadlineMs: 4000,
		});
		expect(status).toBe(504);
		expect(elapsedMs).toBeGreaterThan(1400);
		expect(elapsedMs).toBeLessThan(1750);
	});

	test('answers 404 for a path without a route, and 413 for a body beyond the limit', async () => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'u-1'}]);
		expect(await fleet.status({path: '/none/1'})).toBe(404);
		expect(await fleet.status({path: '/book/1', method: 'POST', body: 'x'.repeat(100_001)})).toBe(413);
	});
});

describe('a silent upstream', () => {
	test('is awaited when no other one could answer, because it may merely be slow', async () => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'u-1', delayMs: 700}]);
		expect(await fleet.status({path: '/lookup/1'})).toBe(200);
	});

	test('is replaced by another one in time when the request is idempotent', async () => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'u-1', delayMs: 3000}, {id: 'u-2', delayMs: 3000}, {id: 'u-3'}]);
		const results = await Promise.all([1, 2, 3].map(async () => fleet.send({path: '/lookup/1'})));
		expect(results.some(({status, elapsedMs}) => status === 200 && elapsedMs > 350 && elapsedMs < 1000)).toBe(true);
	});
});
