import {setTimeout as delay} from 'node:timers/promises';
import {describe, expect, test} from 'vitest';
import {FleetFixture} from '../../fixtures/fleet/fleet-fixture.ts';

/** Time within which daemons must act on what the store has acknowledged, in milliseconds (`contactMs`). */
const contactMs = 3000;

describe('open connections to the store that go silent while new ones work', () => {
	// Guards against daemons that take this for an outage of the store and keep an upstream in use that has left the list.
	test('do not keep an upstream in use that leaves the list just afterwards', async () => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'u-1'}, {id: 'u-2'}], {daemons: 3});
		await delay(500);
		fleet.store.silenceConnections();
		await delay(100);
		fleet.store.remove('servers', 'u-2');
		const removedAt = performance.now();
		const leaving = fleet.upstreams[1]!;
		for (let count = 0; performance.now() - removedAt < contactMs + 1500; count += 1) {
			await fleet.send({path: `/lookup/${count}`, daemon: count % 3});
			await delay(10);
		}

		expect(leaving.receivedRequests.filter(({url, receivedAt}) => url.startsWith('/lookup/') && receivedAt - removedAt > contactMs)).toEqual([]);
		expect(fleet.logLines.filter(({event}) => event === 'store.unanswered').length).toBeGreaterThan(0);
	});
});
