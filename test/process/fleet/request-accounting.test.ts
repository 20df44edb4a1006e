import {connect, type Socket} from 'node:net';
import {describe, expect, test} from 'vitest';
import {FleetFixture} from '../../fixtures/fleet/fleet-fixture.ts';

const unanswered = 'wagtailtack_requests_unanswered_total';

function connectTo(fleet: FleetFixture): Socket {
	const [host, port] = fleet.callerAddress.split(':');
	const socket = connect(Number(port), host);
	socket.on('error', () => {
		socket.destroy();
	});
	return socket;
}

function encodeGet(id: string): string {
	return `GET /lookup/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: ${id}\r\nX-Deadline-Ms: 1500\r\n\r\n`;
}

describe('accounting of requests', () => {
	test('names the end of a request that was refused before its placement', async () => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'u-1'}]);
		await fleet.send({path: '/none/1', id: 'lost'});
		await fleet.send({path: '/lookup/1', id: 'served'});
		await fleet.waitUntil(() => fleet.logLines.filter(({event}) => event === 'request.ended').length === 2);
		expect(fleet.logLines.filter(({event}) => event === 'request.ended').map(({request, outcome}) => ({request, outcome}))).toEqual([
			{request: 'lost', outcome: 'refused'}, {request: 'served', outcome: 'delivered'},
		]);
		expect(await fleet.metric('wagtailtack_requests_read_total')).toBe(2);
		expect(await fleet.metric('wagtailtack_requests_ended_total{outcome="refused"}')).toBe(1);
	});

	test('names the reason of a closed connection and the ids of the requests that were not answered on it', async () => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'u-1', delayMs: 300}]);
		const socket = connectTo(fleet);
		socket.write('POST /lookup/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: cut\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n');
		setTimeout(() => {
			socket.write('nonsense\r\n');
		}, 50);
		expect(await fleet.waitForLine('connection.closed')).toMatchObject({
			reason: 'malformedRequest', status: 400, unanswered: 1, whole: 0, requests: ['cut'],
		});
		expect(await fleet.metric(unanswered)).toBe(0);
	});

	test('names the stream that was broken off, and does not count one that its upstream broke off as unanswered', async () => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'p-1', stage: 'prefill'}, {id: 'd-1', stage: 'decode', closesAfterEvents: 1}]);
		expect(await fleet.stream('/flag/1', {id: 'cut'})).toMatchObject({status: 200, isWhole: false});
		expect(await fleet.waitForLine('connection.closed')).toMatchObject({reason: 'brokenOff', whole: 1, requests: ['cut']});
		expect(await fleet.metric('wagtailtack_requests_ended_total{outcome="brokenOff"}')).toBe(1);
		expect(await fleet.metric(unanswered)).toBe(0);
	});

	test('does not take a caller that leaves for a request without an answer', async () => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'u-1', delayMs: 300}]);
		const socket = connectTo(fleet);
		socket.write(encodeGet('left'));
		await fleet.waitUntil(() => fleet.upstreams[0]!.receivedRequests.length === 1);
		socket.resetAndDestroy();
		expect(await fleet.waitForLine('request.ended')).toMatchObject({request: 'left', outcome: 'callerGone'});
		expect(fleet.logLines.some(({event}) => event === 'connection.closed')).toBe(false);
		expect(await fleet.metric(unanswered)).toBe(0);
	});
});
