import {expect, test} from 'vitest';
import {FleetFixture} from '../../fixtures/fleet/fleet-fixture.ts';
import {UpstreamServer} from '../../fixtures/fleet/upstream-server.ts';

/** A port above 65,535. */
const unusableAddress = '127.0.0.1:99999';
const unusable = new Set<string>();

/** Creates a deployment whose decoder lets the unusable address of an entry through. */
function createFleet(): FleetFixture {
	return new FleetFixture(platform => ({
		...platform,
		decodeUpstream: (id, value) => platform.decodeUpstream(id, value).map(upstream => unusable.has(id) ? {...upstream, address: unusableAddress} : upstream),
	}));
}

async function addUnusable(fleet: FleetFixture, id: string, stage?: 'decode'): Promise<void> {
	unusable.add(id);
	fleet.store.put('servers', id, new UpstreamServer({id, stage}).entry({address: '127.0.0.1:1'}));
	await fleet.waitUntil(() => fleet.logLines.some(({event, upstream}) => event === 'upstream.appeared' && upstream === id));
}

test('an unrepeatable request that meets an upstream with an unusable address is served by another one', async () => {
	await using fleet = createFleet();
	await fleet.start([{id: 'u-1'}]);
	await addUnusable(fleet, 'bad-u');
	for (let count = 0; count < 6; count += 1) {
		expect(await fleet.status({path: '/book/1', method: 'POST', body: 'x'})).toBe(200);
	}
});

test('an unrepeatable request for which all addresses are unusable is refused as not run', async () => {
	await using fleet = createFleet();
	await fleet.start([]);
	await addUnusable(fleet, 'bad-u');
	expect(await fleet.status({path: '/book/1', method: 'POST', body: 'x'})).toBe(503);
});

test('a stream that meets an engine with an unusable address is refused as not run', async () => {
	await using fleet = createFleet();
	await fleet.start([{id: 'p-1', stage: 'prefill'}]);
	await addUnusable(fleet, 'bad-d', 'decode');
	expect(await fleet.stream('/flag/1')).toMatchObject({status: 503, isWhole: true});
});
