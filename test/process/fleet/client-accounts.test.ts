import {describe, expect, test} from 'vitest';
import {createOperatorConfiguration, FleetFixture, type CallerResponse} from '../../fixtures/fleet/fleet-fixture.ts';

const northKey = 'key-of-north';
const southKey = 'key-of-south';
const north = {name: 'north', api_keys: [northKey, 'second-key-of-north'], priority: 0};
const south = {name: 'south', api_keys: [southKey]};
const tenants = [north, south];
const baseRoutes = createOperatorConfiguration().routes as ReadonlyArray<Readonly<Record<string, unknown>>>;
const routes = [...baseRoutes, {
	...baseRoutes[0], name: 'notice', path_prefix: '/notice/', public: true,
}];
const configuration = {tenants, routes};
const asNorth = {authorization: `Bearer ${northKey}`, 'x-tenant': 'south'};

async function apply(fleet: FleetFixture, version: number, values: Readonly<Record<string, unknown>>): Promise<void> {
	fleet.store.put('op', 'config', createOperatorConfiguration({...configuration, ...values, version}));
	await fleet.waitUntil(() => fleet.logLines.some(line => line.event === 'configuration.inForce' && line.version === version));
}

/** Checks that no upstream, log line or metric has seen a key, and that each upstream was told the account alone. */
async function expectHidden(fleet: FleetFixture, account: string | undefined): Promise<void> {
	const received = fleet.upstreams.flatMap(({receivedRequests}) => receivedRequests).filter(({headers}) => headers['x-request-id'] !== undefined);
	expect(received.length).toBeGreaterThan(0);
	for (const {headers} of received) {
		expect(headers['x-tenant']).toBe(account);
		expect(headers.authorization).toBeUndefined();
		expect(JSON.stringify(headers)).not.toContain('key-of');
	}

	expect(JSON.stringify(fleet.logLines)).not.toContain('key-of');
	expect(await fleet.metrics()).not.toContain('key-of');
}

describe('a request with the key of an account', () => {
	test.each<[string, (fleet: FleetFixture) => Promise<CallerResponse>]>([
		['run by a plain service', async fleet => fleet.send({path: '/lookup/1', headers: asNorth})],
		['that is not repeatable', async fleet => fleet.send({
			path: '/book/1', method: 'POST', body: 'x', headers: asNorth,
		})],
		['with a prefill and a decode', async fleet => fleet.stream('/brief/1', {headers: asNorth})],
		['with a short prompt', async fleet => fleet.stream('/brief/1', {headers: {...asNorth, 'x-token-counts': '20,3', 'x-prompt-prefix': '5c1e:20'}})],
	])('%s reaches upstreams under the name of the account, without the key', async (_name, send) => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'u-1'}, {id: 'p-1', stage: 'prefill'}, {id: 'd-1', stage: 'decode'}], {configuration});
		const response = await send(fleet);
		expect(response.status).toBe(200);
		await expectHidden(fleet, 'north');
		expect(JSON.stringify(response)).not.toContain('key-of');
	});

	test.each<[string, Parameters<FleetFixture['start']>[0], (fleet: FleetFixture) => Promise<CallerResponse>, number]>([
		['repeated after a failure', [{id: 'u-1', status: 500}, {id: 'u-2', status: 500}], async fleet => fleet.send({path: '/lookup/1', headers: asNorth}), 2],
		['sent to a second upstream beside a silent one', [{id: 'u-1', delayMs: 900}, {id: 'u-2', delayMs: 900}], async fleet => fleet.send({path: '/lookup/1', headers: asNorth}), 2],
		['resumed after its stream broke', [
			{id: 'p-1', stage: 'prefill'},
			{
				id: 'd-1', stage: 'decode', eventCount: 6, closesAfterEvents: 3,
			},
			{
				id: 'd-2', stage: 'decode', eventCount: 6, closesAfterEvents: 3,
			},
		], async fleet => fleet.stream('/brief/1', {headers: asNorth}), 2],
	])('%s bears the name of the account each time', async (_name, upstreams, send, sends) => {
		await using fleet = new FleetFixture();
		await fleet.start(upstreams, {configuration});
		await send(fleet);
		expect(fleet.upstreams.flatMap(({executedRequests}) => executedRequests).length).toBeGreaterThanOrEqual(sends);
		await expectHidden(fleet, 'north');
	});

	test('has the priority of the account at the upstream, or that of the route without one', async () => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'p-1', stage: 'prefill'}, {id: 'd-1', stage: 'decode'}], {configuration});
		await fleet.stream('/brief/1', {headers: asNorth});
		await fleet.stream('/brief/1', {headers: {authorization: `Bearer ${southKey}`}});
		const priorities = (index: number) => fleet.upstreams[index]!.receivedRequests.filter(({headers}) => headers['x-request-id'] !== undefined).map(({headers}) => headers['x-request-priority']);
		expect(priorities(0)).toEqual(['0', '2']);
		expect(priorities(1)).toEqual(['0', '2']);
	});
});

describe('a request without a valid key', () => {
	test.each([
		['no header', {}],
		['an unknown key', {authorization: 'Bearer key-of-nobody'}],
		['another scheme', {authorization: `Basic ${northKey}`}],
		['the name of an account alone', {'x-tenant': 'north'}],
	])('is refused with 401 for %s, and reaches no upstream', async (_name, headers) => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'u-1'}], {configuration});
		const response = await fleet.send({path: '/lookup/1', headers});
		expect(response.status).toBe(401);
		expect(response.headers['retry-after']).toBeUndefined();
		expect(fleet.upstreams[0]!.executedRequests).toEqual([]);
		expect(JSON.stringify([response, fleet.logLines])).not.toContain('key-of');
		expect(/wagtailtack_access_refusals_total\{reason="\w+"\} 1/v.exec((await fleet.metrics()))).not.toBeNull();
	});

	test('runs on a public route, with nothing that shows or names an account', async () => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'u-1'}], {configuration});
		expect(await fleet.status({path: '/notice/1', headers: {authorization: 'Bearer key-of-nobody', 'x-tenant': 'north'}})).toBe(200);
		await expectHidden(fleet, undefined);
	});

	test('gets 404 where there is no route', async () => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'u-1'}], {configuration});
		expect(await fleet.status({path: '/nothing/1'})).toBe(404);
	});

	test('gets 503 until a configuration is known', async () => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'u-1'}], {isPrepared: false});
		expect(await fleet.status({path: '/lookup/1', headers: {authorization: 'Bearer key-of-nobody'}})).toBe(503);
	});

	test('gets 503 instead of 401 while the store does not confirm the configuration, and known keys are served', async () => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'u-1'}], {configuration});
		fleet.store.faults.status = 500;
		await fleet.waitUntil(() => fleet.logLines.some(({event, table}) => event === 'store.lost' && table === 'op'));
		expect(await fleet.status({path: '/lookup/1', headers: {authorization: 'Bearer key-of-nobody'}})).toBe(503);
		expect(await fleet.status({path: '/lookup/1', headers: asNorth})).toBe(200);
	}, 15_000);
});

describe('without accounts in the configuration', () => {
	test('the headers of a caller are forwarded unchanged', async () => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'u-1'}]);
		expect(await fleet.status({path: '/lookup/1', headers: asNorth})).toBe(200);
		const headers = fleet.upstreams[0]!.executedRequests[0]?.headers;
		expect([headers?.authorization, headers?.['x-tenant']]).toEqual([asNorth.authorization, asNorth['x-tenant']]);
	});

	test('no request with a key of earlier accounts is refused', async () => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'u-1'}], {configuration});
		await apply(fleet, 7, {tenants: undefined});
		expect(await fleet.status({path: '/lookup/1'})).toBe(200);
	});
});

describe('a key that is withdrawn', () => {
	const withoutNorth = {tenants: [{...north, api_keys: ['second-key-of-north']}, south]};

	test('is refused from then on, and one that is added is accepted', async () => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'u-1'}], {configuration});
		expect(await fleet.status({path: '/lookup/1', headers: asNorth})).toBe(200);
		await apply(fleet, 7, {tenants: [{...north, api_keys: ['key-of-now']}]});
		expect(await fleet.status({path: '/lookup/1', headers: asNorth})).toBe(401);
		expect(await fleet.status({path: '/lookup/1', headers: {authorization: 'Bearer key-of-now'}})).toBe(200);
	});

	// Guards against requests that are sent with a key that was valid when they began to wait.
	test('is refused with 401 while its request waits for the limit of an upstream', async () => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'u-1', requestLimit: 1}], {configuration: {...configuration, routes: routes.map(route => ({...route, target_latency_ms: 9000, timeout_ms: 9000}))}});
		const headers = {authorization: `Bearer ${southKey}`};
		await fleet.send({path: '/lookup/1', headers});
		const waiting = Array.from({length: 3}, async () => fleet.status({path: '/lookup/1', headers: asNorth}));
		const kept = fleet.send({path: '/lookup/1', headers});
		await fleet.waitUntil(() => fleet.logLines.filter(({event}) => event === 'queued').length === 4);
		const sentBefore = fleet.upstreams[0]!.executedRequests.length;
		await apply(fleet, 7, {...withoutNorth, routes: routes.map(route => ({...route, target_latency_ms: 9000, timeout_ms: 9000}))});
		expect(await Promise.all(waiting)).toEqual([401, 401, 401]);
		const accounts = fleet.upstreams[0]!.executedRequests.slice(sentBefore).map(request => request.headers['x-tenant']);
		expect(accounts).not.toContain('north');
		expect(fleet.logLines.filter(({event}) => event === 'request.accessEnded').map(({account, change}) => [account, change])).toEqual(Array.from({length: 3}, () => ['north', 'withdrawn']));
		const {status} = await kept;
		expect(status).toBe(200);
	}, 15_000);

	// Guards against a 401, which promises that the request has not run, after a run, and against a retry with a withdrawn key.
	test('lets a request that runs end, and is not used for a retry', async () => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'u-1', delayMs: 350, losesAnswer: true}, {id: 'u-2', delayMs: 350, losesAnswer: true}], {configuration});
		const sent = fleet.send({path: '/lookup/1', headers: asNorth});
		await fleet.waitUntil(() => fleet.upstreams.some(({executedRequests}) => executedRequests.length > 0));
		await apply(fleet, 7, withoutNorth);
		const {status} = await sent;
		expect(status).toBe(502);
		expect(fleet.upstreams.flatMap(({executedRequests}) => executedRequests)).toHaveLength(1);
	});

	test('ends no stream that has begun', async () => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'p-1', stage: 'prefill'}, {
			id: 'd-1', stage: 'decode', eventCount: 10, eventIntervalMs: 50,
		}], {configuration});
		const sent = fleet.stream('/brief/1', {headers: asNorth});
		await fleet.waitUntil(() => fleet.upstreams[1]!.executedRequests.length === 1);
		await apply(fleet, 7, withoutNorth);
		const {status, isWhole} = await sent;
		expect([status, isWhole]).toEqual([200, true]);
	});

	test('is not used for the decode after a prefill', async () => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'p-1', stage: 'prefill', delayMs: 500}, {id: 'd-1', stage: 'decode'}], {configuration});
		const sent = fleet.stream('/brief/1', {headers: asNorth});
		await fleet.waitUntil(() => fleet.upstreams[0]!.receivedRequests.some(({headers}) => headers['x-inference-stage'] === 'prefill'));
		await apply(fleet, 7, withoutNorth);
		const {status} = await sent;
		expect(status).toBe(401);
		expect(fleet.upstreams[1]!.executedRequests).toEqual([]);
	});
});

test('a daemon that starts refuses a withdrawn key and accepts an added one from its first answer on', async () => {
	await using fleet = new FleetFixture();
	await fleet.start([{id: 'u-1'}], {configuration});
	await apply(fleet, 7, {tenants: [{...north, api_keys: ['key-of-now']}]});
	await fleet.startDaemon();
	await fleet.waitUntil(() => fleet.areReady);
	expect(await fleet.status({path: '/lookup/1', headers: asNorth, daemon: 1})).toBe(401);
	expect(await fleet.status({path: '/lookup/1', headers: {authorization: 'Bearer key-of-now'}, daemon: 1})).toBe(200);
});
