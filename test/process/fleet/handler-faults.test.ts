import {
	describe, expect, test, vi,
} from 'vitest';
import {HttpCallerProtocol} from '../../../platform/http-caller-protocol.ts';
import {HttpUpstreamProtocol} from '../../../platform/http-upstream-protocol.ts';
import {FleetScheduler} from '../../../src/process/fleet/fleet-scheduler.ts';
import {UpstreamClients} from '../../../src/connection/links/upstream-clients.ts';
import {FleetFixture, type CallerResponse} from '../../fixtures/fleet/fleet-fixture.ts';

const deadlineMs = 500;
/** A caller is owed an answer this long after its deadline. */
const lateAnswerMs = 500;
const book = {
	path: '/book/1', method: 'POST', body: 'x', deadlineMs,
};

function fail(): never {
	throw new Error('injected fault');
}

async function startFleet(upstreams: Parameters<FleetFixture['start']>[0] = [{id: 'u-1'}]): Promise<FleetFixture> {
	const fleet = new FleetFixture();
	await fleet.start(upstreams);
	return fleet;
}

async function sendWithFault(fleet: FleetFixture, sent: Parameters<FleetFixture['send']>[0], spy: {readonly mockRestore: () => void}): Promise<CallerResponse> {
	try {
		return await fleet.send(sent);
	} finally {
		spy.mockRestore();
	}
}

describe('a fault of the daemon itself', () => {
	test.each([
		['in decoding, after the body was read', () => {
			let calls = 0;
			const {decode} = HttpCallerProtocol.prototype;
			return vi.spyOn(HttpCallerProtocol.prototype, 'decode').mockImplementation(function (this: HttpCallerProtocol, message, body) {
				calls += 1;
				return calls === 1 ? decode.call(this, message, body) : fail();
			});
		}],
		['in the placement', () => vi.spyOn(FleetScheduler.prototype, 'placePlain').mockImplementation(fail)],
		['in encoding the send', () => vi.spyOn(HttpUpstreamProtocol.prototype, 'encode').mockImplementation(fail)],
		['at the send', () => vi.spyOn(UpstreamClients.prototype, 'send').mockImplementation(fail)],
	])('%s ends with a refusal as not run, not with a closed connection', async (_stage, inject) => {
		await using fleet = await startFleet();
		const response = await sendWithFault(fleet, book, inject());
		expect({status: response.status, isWhole: response.isWhole}).toEqual({status: 503, isWhole: true});
		expect(Number(response.headers['retry-after'])).toBeGreaterThan(0);
		expect(fleet.upstreams[0]!.executedRequests).toEqual([]);
		await fleet.waitUntil(() => fleet.logLines.some(({event, outcome}) => event === 'request.ended' && outcome === 'handlerError'));
		expect(await fleet.metric('wagtailtack_requests_unanswered_total')).toBe(0);
		expect(await fleet.metric('wagtailtack_route_open_requests')).toBe(0);
	});

	test('after the request has run ends with 502, which promises nothing', async () => {
		await using fleet = await startFleet();
		const response = await sendWithFault(fleet, book, vi.spyOn(HttpUpstreamProtocol.prototype, 'decodeAnswer').mockImplementation(fail));
		expect({status: response.status, isWhole: response.isWhole}).toEqual({status: 502, isWhole: true});
		expect(fleet.upstreams[0]!.executedRequests).toHaveLength(1);
	});

	test('at the second send of a request that may have run ends with 502', async () => {
		await using fleet = await startFleet([{id: 'u-1', losesAnswer: true}, {id: 'u-2', losesAnswer: true}]);
		let calls = 0;
		const {placePlain} = FleetScheduler.prototype;
		const spy = vi.spyOn(FleetScheduler.prototype, 'placePlain').mockImplementation(async function (this: FleetScheduler, demand) {
			calls += 1;
			return calls === 1 ? placePlain.call(this, demand) : fail();
		});
		const response = await sendWithFault(fleet, {...book, path: '/lookup/1'}, spy);
		expect({status: response.status, isWhole: response.isWhole}).toEqual({status: 502, isWhole: true});
	});

	test('in the middle of a stream cuts the answer visibly', async () => {
		await using fleet = await startFleet([{id: 'p-1', stage: 'prefill'}, {id: 'd-1', stage: 'decode', closesAfterEvents: 1}, {id: 'd-2', stage: 'decode', closesAfterEvents: 1}]);
		let calls = 0;
		const {placeDecode} = FleetScheduler.prototype;
		const spy = vi.spyOn(FleetScheduler.prototype, 'placeDecode').mockImplementation(async function (this: FleetScheduler, demand, source) {
			calls += 1;
			return calls === 1 ? placeDecode.call(this, demand, source) : fail();
		});
		try {
			expect(await fleet.stream('/brief/1')).toMatchObject({status: 200, isWhole: false});
		} finally {
			spy.mockRestore();
		}
	});

	test('that leaves a delivery without an end is answered for within half a second of the deadline', async () => {
		await using fleet = await startFleet();
		const {promise} = Promise.withResolvers<never>();
		const response = await sendWithFault(fleet, book, vi.spyOn(FleetScheduler.prototype, 'placePlain').mockReturnValue(promise));
		expect({status: response.status, isWhole: response.isWhole}).toEqual({status: 503, isWhole: true});
		expect(response.elapsedMs).toBeLessThan(deadlineMs + lateAnswerMs);
		await fleet.waitUntil(() => fleet.logLines.some(({event}) => event === 'request.ended'));
	});

	test('releases the place at the upstream', async () => {
		await using fleet = await startFleet();
		const releases: string[] = [];
		const {placePlain} = FleetScheduler.prototype;
		const placed = vi.spyOn(FleetScheduler.prototype, 'placePlain').mockImplementation(async function (this: FleetScheduler, demand) {
			const placement = await placePlain.call(this, demand);
			return 'upstream' in placement
				? {
					...placement,
					release(end) {
						releases.push(end.kind);
						placement.release(end);
					},
				}
				: placement;
		});
		await sendWithFault(fleet, book, vi.spyOn(UpstreamClients.prototype, 'send').mockImplementation(fail));
		placed.mockRestore();
		expect(releases).toEqual(['cancelled']);
	});
});
