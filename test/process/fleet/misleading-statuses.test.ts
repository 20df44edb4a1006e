import {describe, expect, test} from 'vitest';
import {FleetFixture} from '../../fixtures/fleet/fleet-fixture.ts';

// Guards against callers that repeat a request which has run, because a status tells them that it has not.
describe('an upstream that runs requests and fails them with a status that promises that they have not run', () => {
	test.each([503, 429, 408])('fails a booking, whose caller gets 502 in place of %i', async status => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'u-1', status}]);
		const answer = await fleet.send({path: '/book/1', method: 'POST', body: 'x'});
		expect(answer.status).toBe(502);
		expect(answer.headers['x-response-seal']).toBeUndefined();
		expect(fleet.upstreams[0]!.startedRequestIds).toHaveLength(1);
	});

	test.each([503, 429])('fails a stream that cannot be resumed, whose caller gets 502 in place of %i', async status => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'p-1', stage: 'prefill'}, {id: 'd-1', stage: 'decode', status}]);
		const answer = await fleet.stream('/flag/1');
		expect(answer.status).toBe(502);
		expect(answer.headers['x-response-seal']).toBeUndefined();
	});

	test('fails a lookup, whose caller may repeat it and gets the answer as it is', async () => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'u-1', status: 503}]);
		const answer = await fleet.send({path: '/lookup/1'});
		expect([answer.status, answer.headers['x-response-seal'] === undefined]).toEqual([503, false]);
	});

	test.each([503, 429])('is told apart from one that states that it has not run a booking (%i)', async status => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'u-1', status, isMarkedNotRun: true}]);
		expect(await fleet.status({path: '/book/1', method: 'POST', body: 'x'})).toBe(503);
	});
});
