import {connect, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {describe, expect, test} from 'vitest';
import {createOperatorConfiguration, FleetFixture} from '../../fixtures/fleet/fleet-fixture.ts';

const base = createOperatorConfiguration();
const baseLimits = base.limits as Readonly<Record<string, unknown>>;
const baseServices = base.services as ReadonlyArray<Readonly<Record<string, unknown>>>;

const changes: ReadonlyArray<readonly [string, Readonly<Record<string, unknown>>]> = [
	['without routes', {routes: []}],
	['without services', {services: []}],
	['without routes and services', {routes: [], services: []}],
	['without the engines of the model service', {services: baseServices.map(({engine: _engine, ...service}) => service)}],
	['with small limits', {
		limits: {
			max_header_bytes: 1024, max_body_bytes: 1, header_timeout_ms: 1, idle_timeout_ms: 1,
		},
	}],
];

async function applyConfiguration(fleet: FleetFixture, values: Readonly<Record<string, unknown>>): Promise<void> {
	fleet.store.put('op', 'config', createOperatorConfiguration({...values, version: 7}));
	await fleet.waitUntil(() => fleet.logLines.some(({event, version}) => event === 'configuration.inForce' && version === 7));
}

async function expectNoneUnanswered(fleet: FleetFixture, count: number): Promise<void> {
	await fleet.waitUntil(() => fleet.logLines.filter(({event}) => event === 'request.ended').length === count);
	expect(await fleet.metric('wagtailtack_requests_read_total')).toBe(count);
	expect(await fleet.metric('wagtailtack_requests_unanswered_total')).toBe(0);
	expect(fleet.logLines.filter(({event}) => event === 'connection.closed' || event === 'request.crashed')).toEqual([]);
}

describe('a request that runs or waits while the configuration changes', () => {
	test.each(changes)('is answered once after a change to one %s', async (_name, values) => {
		await using fleet = new FleetFixture();
		await fleet.start([
			{id: 'u-1', delayMs: 600},
			{id: 'p-1', stage: 'prefill', delayMs: 300},
			{
				id: 'd-1', stage: 'decode', eventCount: 10, eventIntervalMs: 50,
			},
		]);
		const sent = [
			fleet.send({path: '/book/1', method: 'POST', body: 'x'}),
			fleet.send({path: '/lookup/1'}),
			fleet.stream('/brief/1'),
			fleet.stream('/flag/1'),
		];
		await fleet.waitUntil(() => fleet.logLines.filter(({event}) => event === 'request.received').length === sent.length);
		await applyConfiguration(fleet, values);
		const responses = await Promise.all(sent);
		expect(responses.map(({isWhole, status}) => isWhole && (status === 200 || status === 503))).toEqual([true, true, true, true]);
		for (const {id} of fleet.upstreams.flatMap(({executedRequests}) => executedRequests.map(({headers}) => ({id: headers['x-request-id']})))) {
			const runs = fleet.upstreams.flatMap(({executedRequests}) => executedRequests.filter(({headers}) => headers['x-request-id'] === id));
			expect(runs).toHaveLength(1);
		}

		await expectNoneUnanswered(fleet, sent.length);
	}, 15_000);

	test('is answered once when it waits for the limit of an upstream whose service is dropped', async () => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'u-1', requestLimit: 1}]);
		await fleet.send({path: '/lookup/1'});
		const sent = Array.from({length: 5}, async () => fleet.send({path: '/lookup/1', deadlineMs: 3000}));
		await fleet.waitUntil(() => fleet.logLines.filter(({event}) => event === 'request.received').length === sent.length + 1);
		await applyConfiguration(fleet, {routes: [], services: []});
		const responses = await Promise.all(sent);
		expect(responses.every(({isWhole, status}) => isWhole && (status === 200 || status === 503))).toBe(true);
		await expectNoneUnanswered(fleet, sent.length + 1);
	}, 15_000);
});

describe('connections of callers while their limits change', () => {
	function open(fleet: FleetFixture): {readonly socket: Socket; readonly text: () => string} {
		const [host, port] = fleet.callerAddress.split(':');
		const socket = connect(Number(port), host);
		let text = '';
		socket.setEncoding('utf8').on('data', (chunk: string) => {
			text += chunk;
		});
		return {socket, text: () => text};
	}

	const lookUp = 'GET /lookup/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: r\r\n\r\n';
	/** Longer than a request of these tests takes. */
	const longRoutes = (base.routes as ReadonlyArray<Readonly<Record<string, unknown>>>).map(route => ({...route, timeout_ms: 9000}));
	const shortLimits = {routes: longRoutes, limits: {...baseLimits, header_timeout_ms: 1, idle_timeout_ms: 1}};

	test('an idle connection is kept as long as its last answer promised', async () => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'u-1'}]);
		const {socket, text} = open(fleet);
		socket.write(lookUp);
		await fleet.waitUntil(() => text().includes('done'));
		await applyConfiguration(fleet, shortLimits);
		await delay(3500);
		socket.write(lookUp);
		await fleet.waitUntil(() => text().match(/HTTP\/1\.1 200/gv)?.length === 2);
		socket.destroy();
	}, 15_000);

	test('a request whose body arrives slowly, in chunks or after 100 Continue, is answered', async () => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'u-1'}]);
		fleet.store.put('op', 'config', createOperatorConfiguration({routes: longRoutes, version: 6}));
		await fleet.waitUntil(() => fleet.logLines.some(({event, version}) => event === 'configuration.inForce' && version === 6));
		const slow = open(fleet);
		slow.socket.write('POST /book/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: slow\r\nContent-Length: 4\r\n\r\nab');
		const expecting = open(fleet);
		expecting.socket.write('POST /book/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: expecting\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n');
		await fleet.waitUntil(() => expecting.text().includes('100 Continue'));
		await applyConfiguration(fleet, shortLimits);
		// Longer than the time-outs of the changed limits.
		await delay(3500);
		slow.socket.write('cd');
		expecting.socket.write('ok');
		await fleet.waitUntil(() => slow.text().includes('done') && expecting.text().includes('done'));
		slow.socket.destroy();
		expecting.socket.destroy();
		await expectNoneUnanswered(fleet, 2);
	}, 15_000);

	test('a request that arrives while its connection idles out is answered if it was read', async () => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'u-1', delayMs: 3200}]);
		await applyConfiguration(fleet, shortLimits);
		const {socket, text} = open(fleet);
		socket.write(lookUp);
		await fleet.waitUntil(() => text().includes('done'), 8000);
		socket.destroy();
		expect(text().match(/HTTP\/1\.1 200/gv)).toHaveLength(1);
		await expectNoneUnanswered(fleet, 1);
	}, 20_000);
});
