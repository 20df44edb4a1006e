/** An engine controller records an order, sends it and reads the engine's state back; without a lease it sends nothing. */
import assert from 'node:assert/strict';
import {
	createLog, Engine, EngineController, intentGuards, intentTimes, isGoalReached, leaseKey, ManualClock, Right,
	type EngineState, type HeldLease, type Host, type Order, type OrderOutcome,
} from '../src/index.ts';
import {MemoryTable} from '../src/stand-ins/platform/memory-table.ts';

class EmbeddedEngine extends Engine {
	state: EngineState = {
		role: 'mixed', model: 'press', adapters: [], version: '1', draining: false, fencing: 0, orderId: '', phase: 'ready', inFlight: 0,
	};

	async readState() {
		return Right(this.state);
	}

	async sendOrder(_address: string, {orderId, fencing, wanted}: Order, isAuthorized: () => boolean): Promise<OrderOutcome> {
		if (!isAuthorized()) {
			return {kind: 'not-sent', message: 'The lease has ended.'};
		}

		this.state = {
			...this.state, orderId, fencing, draining: wanted.drain ?? this.state.draining,
		};
		return {kind: 'accepted'};
	}
}

const group = 'press@zone-a';
const planKey = {partition: 'plan', sort: 'p1'};
const host: Host = {
	kind: 'engine', address: '127.0.0.1:1', id: 'e1', availabilityZone: 'zone-a', state: 'live', serves: 'press', enforcesFencing: true,
};
const held: HeldLease = {
	token: 't1', fencing: 7, revision: 1, grantedAt: 0, expiresAt: 7500, renewAt: 2500,
};
const clock = new ManualClock();
const engine = new EmbeddedEngine();
await using table = new MemoryTable();
await table.write([leaseKey(group), planKey].map(key => ({
	kind: 'put' as const, key, expected: 0, body: '{}',
})));
const controller = new EngineController({
	log: createLog('error', 'hidden'), table, clock, engine, group, intent: {times: intentTimes, guards: intentGuards},
	lease: () => clock.now() < held.expiresAt ? held : undefined,
}, held, host);

async function runUntilReached(id: string, drain: boolean, milliseconds: number): Promise<boolean> {
	const goal = {
		id, planId: 'p1', wanted: {drain}, planCheck: {kind: 'check', key: planKey, expected: 1} as const,
	};
	for (const end = clock.now() + milliseconds; clock.now() < end;) {
		const isBusy = await controller.step(goal);
		if (!isBusy) {
			clock.advance(250);
		}
	}

	return isGoalReached(controller.facts, goal);
}

assert.ok(await runUntilReached('drain', true, 5000));
assert.deepEqual([engine.state.draining, engine.state.fencing], [true, 7]);
clock.advance(5000);
assert.ok(!await runUntilReached('return', false, 5000));
assert.ok(engine.state.draining);
console.log('The order was executed under the lease, and no order was sent after the lease expired.');
