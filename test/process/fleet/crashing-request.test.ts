import {setTimeout as delay} from 'node:timers/promises';
import {describe, expect, test} from 'vitest';
import {FleetFixture} from '../../fixtures/fleet/fleet-fixture.ts';

const crashPath = '/lookup/21a54b';
const restartMs = 300;
/** Time after the third crash within which every daemon must refuse the request, in milliseconds. */
const contactMs = 3000;

describe('a request that crashes the upstreams that run it', () => {
	test('crashes at most three, and is refused then when it comes back from another address', async () => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'u-1', crashPath}, {id: 'u-2', crashPath}, {id: 'u-3', crashPath}]);
		const stop = fleet.restartCrashed(restartMs);
		const countCrashes = () => fleet.upstreams.reduce((sum, {startedRequestIds}) => sum + startedRequestIds.length, 0);
		for (let caller = 2; caller < 12; caller += 1) {
			await fleet.send({path: crashPath, callerHost: `127.0.1.${caller}`});
			await delay(2 * restartMs);
		}

		await delay(contactMs);
		await fleet.waitUntil(() => fleet.upstreams.every(({isDown}) => !isDown));
		const crashes = countCrashes();
		const answers = [];
		for (let caller = 2; caller < 8; caller += 1) {
			answers.push(await fleet.send({path: crashPath, callerHost: `127.0.2.${caller}`}));
			await delay(100);
		}

		await stop();
		expect(crashes).toBeLessThanOrEqual(3);
		expect(countCrashes()).toBe(crashes);
		for (const {status, headers} of answers) {
			expect(status).toBe(503);
			expect(Number(headers['retry-after'])).toBeGreaterThan(0);
		}
	});

	// Guards against crashes that are known only in the memory of daemons: all of them may be killed at once, and more than once.
	test.each([
		['two crashes', 2],
		['each crash', 1],
	])('crashes at most three when all daemons are killed after %s', async (_, sendsPerLife) => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'u-1', crashPath}, {id: 'u-2', crashPath}, {id: 'u-3', crashPath}], {daemons: 2});
		const stop = fleet.restartCrashed(restartMs);
		const countCrashes = () => fleet.upstreams.reduce((sum, {startedRequestIds}) => sum + startedRequestIds.length, 0);
		for (let life = 0; life < 8; life += 1) {
			for (let send = 0; send < sendsPerLife; send += 1) {
				await fleet.send({path: crashPath, method: 'POST', daemon: send % 2});
				await delay(3 * restartMs);
			}

			await fleet.killDaemons();
			await fleet.startDaemon();
			await fleet.startDaemon();
			await fleet.waitUntil(() => fleet.areReady);
		}

		await stop();
		expect(countCrashes()).toBeGreaterThanOrEqual(2);
		expect(countCrashes()).toBeLessThanOrEqual(3);
	}, 40_000);

	test('is no longer suspected once an upstream has answered it', async () => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'u-1', crashPath: '/book/7'}, {id: 'u-2', crashPath: '/book/7'}, {id: 'u-3', crashPath: '/book/7'}]);
		const stop = fleet.restartCrashed(restartMs);
		expect(await fleet.status({path: '/book/7', method: 'POST'})).toBe(502);
		await fleet.waitForLine('crash.attributed');
		for (const {behaviour} of fleet.upstreams) {
			behaviour.crashPath = undefined;
		}

		expect(await fleet.status({path: '/book/7', method: 'POST'})).toBe(200);
		await fleet.waitForLine('crash.cleared');
		await stop();
	});
});
