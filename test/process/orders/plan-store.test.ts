import {Left, type Either} from 'purify-ts';
import {describe, expect, it} from 'vitest';
import type {RowWrite, StoreFailure} from '../../../src/ports/table.ts';
import {checkFleetPlan, type FleetView} from '../../../src/process/orders/plan-check.ts';
import {
	cancelPlan, createPlan, listPlans, readTargets, submitPlan,
} from '../../../src/process/orders/plan-store.ts';
import {MemoryTable} from '../../../src/stand-ins/platform/memory-table.ts';
import type {FleetPlan} from '../../../src/version/fleet-plan.ts';

const plan: FleetPlan = {name: 'october', author: 'anu', steps: [{action: {kind: 'drain'}, upstreams: ['e1', 'e2'], line: 4}]};
const rival: FleetPlan = {name: 'rush', author: 'bat', steps: [{action: {kind: 'role', role: 'decode'}, upstreams: ['e2', 'e3'], line: 4}]};

/** Table that applies each write but loses the answer. */
class LosingTable extends MemoryTable {
	override async write(writes: readonly RowWrite[]): Promise<Either<StoreFailure, void>> {
		await super.write(writes);
		return Left({kind: 'unknown', message: 'lost'});
	}
}

describe('submitting a plan', () => {
	it('names the conflicting plan when two operators submit plans for the same upstream, so that only one plan holds it', async () => {
		const table = new MemoryTable();
		const results = await Promise.all([submitPlan(table, createPlan('p1', plan)), submitPlan(table, createPlan('p2', rival))]);
		expect(results.filter(result => result.isRight())).toHaveLength(1);
		expect(results.find(result => result.isLeft())?.extract()).toMatchObject({kind: 'conflict', upstream: 'e2'});
		const targets = await readTargets(table);
		expect(new Set(targets.orDefault([]).map(target => target.body.planId)).size).toBe(1);
	});

	it('recognises its own write after a lost answer, so that no plan is written twice', async () => {
		const table = new LosingTable();
		const first = await submitPlan(table, createPlan('p1', plan));
		const repeated = await submitPlan(table, createPlan('p1', plan));
		const other = await submitPlan(table, createPlan('p1', rival));
		const rows = await listPlans(table);
		expect([first.isRight(), repeated.isRight(), rows.orDefault([]).length]).toEqual([true, true, 1]);
		expect(other.extract()).toEqual({kind: 'id-in-use', planId: 'p1'});
	});

	it('releases the untouched upstreams of a cancelled plan although answers of writes are lost', async () => {
		const table = new LosingTable();
		await submitPlan(table, createPlan('p1', plan));
		const cancelled = await cancelPlan(table, 'p1');
		const next = await submitPlan(table, createPlan('p2', rival));
		expect([cancelled.isRight(), next.isRight()]).toEqual([true, true]);
	});
});

describe('checking a plan', () => {
	const state = {
		role: 'mixed', model: 'm', adapters: [], version: '1', draining: false, fencing: 0, orderId: '', phase: 'ready', inFlight: 0,
	} as const;
	const ids = ['e1', 'e2', 'e3'];
	const fleet: FleetView = {
		hosts: ids.map(id => ({
			kind: 'engine', id, address: '127.0.0.1:1', availabilityZone: id === 'e3' ? 'zone-b' : 'zone-a', state: 'live', serves: 'm', enforcesFencing: true,
		})),
		states: new Map(ids.map(id => [id, state])),
		holds: new Map([['e3', {planId: 'p9', planName: 'rush', author: 'bat'}]]),
	};

	it('refuses to drain the last ready replica of an availability zone, given the upstreams that the plan drains before it', () => {
		expect(checkFleetPlan(plan, fleet).map(({upstream, reason}) => `${upstream}: ${reason}`)).toEqual([
			'e2: it is the last ready replica of m in zone-a',
		]);
	});

	it('names the plan that holds an upstream', () => {
		expect(checkFleetPlan(rival, fleet).map(({upstream, reason}) => `${upstream}: ${reason}`)).toEqual(['e3: plan p9 (rush, bat) holds it']);
	});
});
