import {expect, test} from 'vitest';
import {FleetFixture} from '../../fixtures/fleet/fleet-fixture.ts';
import {UpstreamServer} from '../../fixtures/fleet/upstream-server.ts';

/** A port above 65,535. */
const unusableAddress = '127.0.0.1:99999';

async function addUnusable(fleet: FleetFixture, id: string, stage?: 'decode'): Promise<void> {
	fleet.store.put('servers', id, new UpstreamServer({id, stage}).entry({address: unusableAddress}));
	await fleet.waitUntil(() => fleet.logLines.some(({event, upstream}) => event === 'upstream.appeared' && upstream === id));
}

test('an unrepeatable request that meets an upstream with an unusable address is served by another one', async () => {
	await using fleet = new FleetFixture();
	await fleet.start([{id: 'u-1'}]);
	await addUnusable(fleet, 'u-2');
	for (let count = 0; count < 6; count += 1) {
		expect(await fleet.status({path: '/book/1', method: 'POST', body: 'x'})).toBe(200);
	}
});

test('an unrepeatable request for which all addresses are unusable is refused as not run', async () => {
	await using fleet = new FleetFixture();
	await fleet.start([]);
	await addUnusable(fleet, 'u-1');
	expect(await fleet.status({path: '/book/1', method: 'POST', body: 'x'})).toBe(503);
});

test('a stream that meets an engine with an unusable address is refused as not run', async () => {
	await using fleet = new FleetFixture();
	await fleet.start([{id: 'p-1', stage: 'prefill'}]);
	await addUnusable(fleet, 'd-1', 'decode');
	expect(await fleet.stream('/flag/1')).toMatchObject({status: 503, isWhole: true});
});
