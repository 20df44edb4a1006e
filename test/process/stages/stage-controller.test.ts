import {describe, expect, test} from 'vitest';
import {UpstreamClients} from '../../../src/connection/links/upstream-clients.ts';
import {HttpUpstreamProtocol} from '../../../platform/http-upstream-protocol.ts';
import {ManualClock} from '../../../src/process/clock.ts';
import {DecisionLog} from '../../../src/process/fleet/decision-log.ts';
import type {HeldLease} from '../../../src/process/lease/lease-machine.ts';
import {createControllerTimes, StageController} from '../../../src/process/stages/stage-controller.ts';
import {pressureDurationMs, type StageDemand} from '../../../src/process/stages/stage-sizer.ts';
import {createUpstream} from '../../fixtures/fleet/configuration.ts';
import {UpstreamServer} from '../../fixtures/fleet/upstream-server.ts';

const times = createControllerTimes(3000);
/** Real time for a report and an order over loopback on a busy machine, in milliseconds. */
const orderCallsMs = 300;

/** A director in front of engines in one availability zone, with a lease that the test grants. */
class ControllerFixture implements AsyncDisposable {
	readonly clock = new ManualClock(1000);
	readonly engines: UpstreamServer[] = [];
	readonly links = new UpstreamClients(this.clock);
	isCandidate = false;
	rank = 0;
	demand: StageDemand = {runs: 0, slots: 128, backlogMs: 0};
	lease: HeldLease | undefined;
	controller!: StageController;

	async start(count: number): Promise<void> {
		for (let index = 0; index < count; index += 1) {
			const engine = new UpstreamServer({id: `u-${index}`, stage: 'decode'});
			await engine.start();
			this.engines.push(engine);
		}

		this.controller = new StageController({
			clock: this.clock,
			log: new DecisionLog({}, (_bytes, done) => {
				done(undefined);
			}),
			upstreamClients: this.links,
			protocol: new HttpUpstreamProtocol(),
			lease: {
				held: () => this.lease,
				setCandidate: isCandidate => {
					this.isCandidate = isCandidate;
				},
			},
			daemon: 'daemon-1',
			groups: () => [{
				service: 'model',
				upstreams: this.engines.map(({behaviour, address}) => createUpstream({id: behaviour.id, address, stage: behaviour.stage})),
				demand: this.demand,
			}],
			rank: () => this.rank,
			times,
		});
	}

	grant(fencing: number): void {
		const now = this.clock.now();
		this.lease = {
			token: `token ${fencing}`, fencing, revision: 1, grantedAt: now, expiresAt: now + 7500, renewAt: now + 2500,
		};
	}

	get orders(): ReadonlyArray<Readonly<Record<string, unknown>>> {
		return this.engines.flatMap(({seen}) => seen.filter(({url}) => url === '/api/order').map(({body}) => JSON.parse(body) as Readonly<Record<string, unknown>>));
	}

	/** Lets time pass in steps as the daemon does, with the answers of the engines. */
	async advance(ms: number): Promise<void> {
		for (let passed = 0; passed < ms; passed += 250) {
			this.clock.advance(250);
			this.controller.tick();
			await new Promise(resolve => {
				setTimeout(resolve, 15);
			});
		}

		// The last order's two calls take real time, whatever the clock says.
		await new Promise(resolve => {
			setTimeout(resolve, orderCallsMs);
		});
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await this.links[Symbol.asyncDispose]();
		await Promise.all(this.engines.map(async engine => engine[Symbol.asyncDispose]()));
	}
}

describe('stage director', () => {
	test('stands for the lease all the time as the first in order, so that it can order at once when a zone loses its last generating engine', async () => {
		await using fixture = new ControllerFixture();
		await fixture.start(3);
		fixture.engines[0]!.behaviour.stage = 'prefill';
		fixture.engines[1]!.behaviour.stage = 'prefill';
		await fixture.advance(250);
		expect(fixture.isCandidate).toBe(true);
		fixture.grant(2);
		await fixture.advance(times.handoverDelayMs);
		expect(fixture.orders).toEqual([]);
		await fixture.engines[2]!.crash();
		fixture.engines.pop();
		await fixture.advance(times.settleMs + 500);
		expect(fixture.orders).toHaveLength(1);
		expect(fixture.orders[0]).toMatchObject({stage: 'decode', fence: 2});
	});

	test('gives the lease up at a planned stop', async () => {
		await using fixture = new ControllerFixture();
		await fixture.start(2);
		await fixture.advance(250);
		fixture.controller.resign();
		expect(fixture.isCandidate).toBe(false);
	});

	test('stands for the lease only while the engines differ from the plan when it is not the first in order', async () => {
		await using fixture = new ControllerFixture();
		await fixture.start(3);
		fixture.rank = 1;
		await fixture.advance(times.settleMs + times.rankDelayMs + 500);
		expect(fixture.isCandidate).toBe(true);
		expect(fixture.orders).toEqual([]);
		fixture.grant(1);
		await fixture.advance(1000);
		expect(fixture.orders).toHaveLength(2);
		fixture.lease = undefined;
		await fixture.advance(times.orderTimeoutMs + 1000);
		expect(fixture.isCandidate).toBe(false);
		expect(fixture.orders).toHaveLength(2);
	});

	test('seeks the lease later the further back it is, so that a large fleet does not ask for it at once', async () => {
		await using fixture = new ControllerFixture();
		await fixture.start(3);
		fixture.rank = 2;
		await fixture.advance(times.settleMs + times.rankDelayMs);
		expect(fixture.isCandidate).toBe(false);
		await fixture.advance(times.rankDelayMs + 500);
		expect(fixture.isCandidate).toBe(true);
	});

	test('keeps the lease while engines still appear and the plan changes with them', async () => {
		await using fixture = new ControllerFixture();
		await fixture.start(3);
		await fixture.advance(times.settleMs + 250);
		fixture.grant(1);
		const engine = new UpstreamServer({id: 'u-9', stage: 'decode'});
		await engine.start();
		fixture.engines.push(engine);
		await fixture.advance(250);
		expect(fixture.isCandidate).toBe(true);
		await fixture.advance(times.settleMs + 250);
		expect(fixture.orders).toHaveLength(3);
	});

	test.each([
		['all engines at once before there is load', 0, 0, 20],
		['a tenth of the engines once there is load', 10, 200, 2],
	])('changes %s', async (_name, runs, backlogMs, count) => {
		await using fixture = new ControllerFixture();
		await fixture.start(24);
		fixture.engines[0]!.behaviour.stage = 'prefill';
		fixture.demand = {runs, slots: 128, backlogMs};
		fixture.grant(1);
		await fixture.advance(pressureDurationMs + times.settleMs + 500);
		expect(fixture.orders).toHaveLength(count);
	});

	test('states holder, fencing number and accepted orders', async () => {
		await using fixture = new ControllerFixture();
		await fixture.start(2);
		fixture.engines[1]!.behaviour.acceptedOrders = 4;
		fixture.grant(1);
		await fixture.advance(times.settleMs + 500);
		expect(fixture.orders).toEqual([{
			operation: 'stage', stage: 'prefill', holder: 'daemon-1', fence: 1, expected: 4,
		}]);
		const order = fixture.engines[1]!.seen.find(({url}) => url === '/api/order');
		expect(order!.headers['x-expect-instance']).toBe('u-1');
	});

	test('gives no order in close turn with another holder', async () => {
		await using fixture = new ControllerFixture();
		await fixture.start(2);
		await fixture.advance(times.settleMs);
		fixture.grant(2);
		await fixture.advance(times.handoverDelayMs - 250);
		expect(fixture.orders).toEqual([]);
		await fixture.advance(500);
		expect(fixture.orders).toHaveLength(1);
	});

	test('gives no order in the last second of its lease', async () => {
		await using fixture = new ControllerFixture();
		await fixture.start(2);
		await fixture.advance(times.settleMs);
		fixture.grant(1);
		fixture.lease = {...fixture.lease!, expiresAt: fixture.clock.now() + 1000};
		await fixture.advance(750);
		expect(fixture.orders).toEqual([]);
	});

	test('writes no order once the lease has ended between the check and the write', async () => {
		await using fixture = new ControllerFixture();
		await fixture.start(2);
		await fixture.advance(times.settleMs);
		fixture.grant(1);
		// The engine's report takes its time; the lease ends meanwhile, as for a process that was paused.
		fixture.clock.advance(250);
		fixture.controller.tick();
		fixture.clock.advance(8000);
		await new Promise(resolve => {
			setTimeout(resolve, 100);
		});
		expect(fixture.orders).toEqual([]);
	});

	test('leaves an engine alone whose answer was lost, since the order may come late', async () => {
		await using fixture = new ControllerFixture();
		await fixture.start(2);
		const [, engine] = fixture.engines;
		engine!.behaviour.losesOrders = true;
		fixture.grant(1);
		await fixture.advance(times.settleMs + 500);
		expect(fixture.orders).toHaveLength(1);
		fixture.grant(2);
		await fixture.advance(6000);
		expect(fixture.orders).toHaveLength(1);
	});
});
