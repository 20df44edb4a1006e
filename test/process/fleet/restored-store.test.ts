import {setTimeout as delay} from 'node:timers/promises';
import {describe, expect, test} from 'vitest';
import {createOperatorConfiguration, FleetFixture} from '../../fixtures/fleet/fleet-fixture.ts';
import type {StoreCopy} from '../../fixtures/fleet/store-server.ts';

/** Time within which an acknowledged configuration must be in force, in milliseconds. */
const configApplyMs = 2000;
/** Time after which an upstream that is leaving must get no more requests, in milliseconds. */
const drainMs = 2000;
const awayMs = 300;
const daemons = 3;
const routes = createOperatorConfiguration().routes as ReadonlyArray<Readonly<Record<string, unknown>>>;

/** Configuration with a further route, `/added/`. */
function withAddedRoute(version: number): Readonly<Record<string, unknown>> {
	return createOperatorConfiguration({version, routes: [...routes, {...routes[0], name: 'added', path_prefix: '/added/'}]});
}

/** Raises the store's version by writes that no daemon reads. */
function raiseVersion(fleet: FleetFixture, writes: number): void {
	for (let count = 0; count < writes; count += 1) {
		fleet.store.put('status', 'unread', String(count));
	}
}

/** Waits until all daemons know all that is in the store, also that its version is the present one. */
async function settle(): Promise<void> {
	await delay(configApplyMs);
}

/** Takes the store away, restores it from a copy and lets it come back after `write` has changed it. */
async function restore(fleet: FleetFixture, copy: StoreCopy, write: () => Promise<void> | void): Promise<void> {
	fleet.store.faults.status = 503;
	fleet.store.closeConnections();
	await delay(awayMs);
	fleet.store.restore(copy);
	await write();
	delete fleet.store.faults.status;
}

async function expectAddedRoute(fleet: FleetFixture): Promise<void> {
	await delay(configApplyMs);
	const statuses = await Promise.all(Array.from({length: daemons}, async (_, daemon) => fleet.status({path: '/added/1', daemon})));
	expect(statuses).toEqual([200, 200, 200]);
}

describe.concurrent('a store that is restored from an older copy', () => {
	// Guards against a version that was given out again being taken for the known one, so that no 410 shows the restore.
	test('does not hide a route that was added before its versions were asked for again', async () => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'u-1'}], {daemons});
		const copy = fleet.store.takeCopy();
		fleet.store.put('op', 'config', createOperatorConfiguration({version: 2}));
		raiseVersion(fleet, 20);
		await settle();
		await restore(fleet, copy, () => {
			fleet.store.put('op', 'config', withAddedRoute(3));
			raiseVersion(fleet, 40);
		});
		await expectAddedRoute(fleet);
	}, 15_000);

	test('does not hide an upstream that was added before its versions were asked for again', async () => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'u-1'}], {daemons});
		const copy = fleet.store.takeCopy();
		raiseVersion(fleet, 20);
		await settle();
		await restore(fleet, copy, async () => {
			await fleet.addUpstream({id: 'u-2'});
			raiseVersion(fleet, 40);
		});
		await delay(drainMs);
		for (let count = 0; count < 30; count += 1) {
			await fleet.send({path: `/lookup/${count}`, daemon: count % daemons});
		}

		expect(fleet.upstreams[1]!.receivedRequests.filter(({url}) => url.startsWith('/lookup/')).length).toBeGreaterThan(0);
	}, 15_000);

	test('does not keep an upstream in use whose removal got a version that was given out before', async () => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'u-1'}, {id: 'u-2'}], {daemons});
		const copy = fleet.store.takeCopy();
		raiseVersion(fleet, 20);
		await settle();
		await restore(fleet, copy, () => {
			raiseVersion(fleet, 15);
		});
		// By then the daemons have read the restored store, whose versions are still below the ones that they know.
		await delay(1000);
		fleet.store.remove('servers', 'u-2');
		raiseVersion(fleet, 40);
		await delay(drainMs);
		const removedAt = performance.now();
		for (let count = 0; count < 60; count += 1) {
			await fleet.send({path: `/lookup/${count}`, daemon: count % daemons});
		}

		expect(fleet.upstreams[1]!.receivedRequests.filter(({url, receivedAt}) => url.startsWith('/lookup/') && receivedAt > removedAt)).toEqual([]);
	}, 15_000);

	// Guards against daemons that read the table again without a pause while the store's versions are below the known one.
	test('is called at most three times as often as before', async () => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'u-1'}], {daemons});
		const copy = fleet.store.takeCopy();
		fleet.store.put('op', 'config', createOperatorConfiguration({version: 2}));
		raiseVersion(fleet, 50);
		await settle();
		const windowMs = 4000;
		const before = fleet.store.calls.length;
		await delay(windowMs);
		const callsBefore = fleet.store.calls.length - before;
		await restore(fleet, copy, () => undefined);
		const back = fleet.store.calls.length;
		await delay(windowMs);
		expect(fleet.store.calls.length - back).toBeLessThanOrEqual(3 * callsBefore);
	}, 20_000);

	test('gets the entries of the daemons again that the copy lacks', async () => {
		await using fleet = new FleetFixture();
		const copy = fleet.store.takeCopy();
		await fleet.start([{id: 'u-1'}], {daemons});
		const entry = () => fleet.store.read('wagtailtack', 'daemons', 'daemon-1');
		// By then the daemons have read the entries a second time, and read them next after a minute.
		await delay(4000);
		await restore(fleet, copy, () => {
			fleet.store.put('op', 'config', createOperatorConfiguration());
		});
		expect(entry()).toBeUndefined();
		await fleet.waitUntil(() => entry() !== undefined);
	}, 15_000);

	// Guards against a daemon that answers 404 for a route that the others serve.
	test('does not take a daemon back that starts afterwards: it serves the configuration of the others, and no upstream that they know to be gone', async () => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'u-1'}, {id: 'u-2'}], {daemons: daemons - 1});
		const copy = fleet.store.takeCopy();
		fleet.store.put('op', 'config', withAddedRoute(2));
		fleet.store.remove('servers', 'u-2');
		await settle();
		await restore(fleet, copy, () => undefined);
		await delay(500);
		await fleet.startDaemon();
		await fleet.waitUntil(() => fleet.areReady);
		expect(await fleet.status({path: '/added/1', daemon: daemons - 1})).toBe(200);
		const startedAt = performance.now();
		for (let count = 0; count < 20; count += 1) {
			await fleet.send({path: `/lookup/${count}`, daemon: daemons - 1});
		}

		expect(fleet.upstreams[1]!.receivedRequests.filter(({url, receivedAt}) => url.startsWith('/lookup/') && receivedAt > startedAt)).toEqual([]);
	}, 15_000);
});
