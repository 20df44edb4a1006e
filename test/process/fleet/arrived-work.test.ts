import {describe, expect, test} from 'vitest';
import {ManualClock} from '../../../src/process/clock.ts';
import type {FleetScheduler} from '../../../src/process/fleet/fleet-scheduler.ts';
import {UpstreamRegistry} from '../../../src/process/fleet/upstream-registry.ts';
import type {PlacementDemand} from '../../../src/request/delivery/upstream-scheduler.ts';
import type {PoolScaling} from '../../../src/version/routes/route-configuration.ts';
import {
	createModelService, createRequest, createRoute, createUpstream,
} from '../../fixtures/fleet/configuration.ts';
import {createScheduler} from '../../fixtures/fleet/scheduler.ts';

const scaling: PoolScaling = {
	minUpstreams: 1, maxUpstreams: 9, bootMs: 4000, reclaimablePrice: undefined, zonePrices: new Map([['zone-a', 1]]),
};

function createScalableScheduler(bounds: PoolScaling | undefined): FleetScheduler {
	const clock = new ManualClock(1000);
	const registry = new UpstreamRegistry();
	registry.set(createUpstream({id: 'u-1', stage: 'prefill'}));
	registry.set(createUpstream({id: 'u-2', stage: 'decode'}));
	const services = new Map([['model', {...createModelService(), scaling: bounds}]]);
	return createScheduler({clock, registry, services: () => services});
}

function createDemand(id: string, tokens: number, patienceMs: number): PlacementDemand {
	return {
		service: 'model',
		account: undefined,
		triedUpstreams: new Set(),
		arrivedAt: 1000,
		deadlineAt: 1000 + patienceMs,
		signal: new AbortController().signal,
		request: createRequest({id, callerTimeoutMs: patienceMs, prompt: {tokens, maxOutputTokens: 8, parts: [{id: `part-${id}`, tokens}]}}),
		route: createRoute({
			kind: 'stream', timeoutMs: patienceMs, targetLatencyMs: 400, targets: [{service: 'model', weight: 1}],
		}),
	};
}

describe('work that arrives', () => {
	test('is counted in engine time by the speed of the engines, with what is refused', async () => {
		const scheduler = createScalableScheduler(scaling);
		await scheduler.placePrefill(createDemand('r-1', 5000, 5000));
		const {arrivedMs, refusedMs} = scheduler.work()[0]!;
		expect(arrivedMs).toBeGreaterThan(30);
		expect(arrivedMs).toBeLessThan(40);
		expect(refusedMs).toBe(0);
		await scheduler.placePrefill(createDemand('r-2', 50_000, 200));
		const [after] = scheduler.work();
		expect(after!.arrivedMs - arrivedMs).toBeGreaterThan(300);
		expect(after!.refusedMs).toBeCloseTo(after!.arrivedMs - arrivedMs);
	});

	test('is not counted for services without bounds', async () => {
		const scheduler = createScalableScheduler(undefined);
		await scheduler.placePrefill(createDemand('r-1', 5000, 5000));
		expect(scheduler.work()).toEqual([]);
	});

	test('has a surplus of decode engines reduced only for services with bounds', () => {
		expect(createScalableScheduler(scaling).measureDemand('model', 64).isElastic).toBe(true);
		expect(createScalableScheduler(undefined).measureDemand('model', 64)).not.toHaveProperty('isElastic');
	});
});
