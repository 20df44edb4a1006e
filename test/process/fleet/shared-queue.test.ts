import {setImmediate as nextTurn} from 'node:timers/promises';
import {
	describe, expect, test, vi,
} from 'vitest';
import {AccountUsage} from '../../../src/process/accounts/account-usage.ts';
import type {FleetScheduler} from '../../../src/process/fleet/fleet-scheduler.ts';
import {UpstreamRegistry} from '../../../src/process/fleet/upstream-registry.ts';
import {PeerLoadTracker} from '../../../src/process/peers/peer-load-tracker.ts';
import type {PeerMessage} from '../../../src/process/peers/peer-message.ts';
import {isPlaced, type PlacementDemand} from '../../../src/request/delivery/upstream-scheduler.ts';
import {
	createModelService, createRequest, createRoute, createUpstream,
} from '../../fixtures/fleet/configuration.ts';
import {createScheduler} from '../../fixtures/fleet/scheduler.ts';
import {createUpstreamBackpressure} from '../../fixtures/upstream-backpressure.ts';

const service = 'model';
/** Prompts so far; each has an id of its own, so that no engine has cached it. */
let promptCount = 0;

/** A scheduler of one prefill and one decode engine, at a clock that the test sets. */
function createFixture(): {readonly scheduler: FleetScheduler; readonly usage: AccountUsage; readonly peerLoads: PeerLoadTracker} {
	const registry = new UpstreamRegistry();
	registry.set(createUpstream({id: 'p-1', service, stage: 'prefill'}));
	registry.set(createUpstream({id: 'd-1', service, stage: 'decode'}));
	const usage = new AccountUsage();
	const peerLoads = new PeerLoadTracker();
	const scheduler = createScheduler({
		clock: {now: () => 1000}, registry, backpressure: createUpstreamBackpressure(), accountUsage: usage, services: () => new Map([[service, createModelService(service)]]), peers: {peerLoads},
	});
	for (const upstream of ['p-1', 'd-1']) {
		scheduler.update(registry.get(upstream)!);
	}

	return {
		scheduler, usage, peerLoads,
	};
}

function createDemand(account: string | undefined, id: string, tokens = 16_000, priority = 1): PlacementDemand {
	return {
		service,
		account,
		triedUpstreams: new Set(),
		arrivedAt: 1000,
		deadlineAt: 6000,
		signal: new AbortController().signal,
		request: createRequest({id, callerTimeoutMs: 5000, prompt: {tokens, maxOutputTokens: 10, parts: [{id: `own-${id}`, tokens}]}}),
		route: createRoute({
			kind: 'stream', timeoutMs: 5000, targetLatencyMs: 2000, priority, targets: [{service, weight: 1}],
		}),
	};
}

/** Makes the service scarce: the large account has asked for and used much more than the small one. */
function makeScarce(usage: AccountUsage): void {
	usage.ask(service, 'large', 2_000_000, 1000);
	usage.place(service, 'large', 1_000_000, 1000);
	usage.ask(service, 'small', 20_000, 1000);
	usage.place(service, 'small', 20_000, 1000);
}

/** Places prompts of an account until one is refused; returns how many were taken, at most 100. */
async function countTaken(scheduler: FleetScheduler, account: string | undefined, priority = 1): Promise<number> {
	for (let count = 0; count < 100; count += 1) {
		promptCount += 1;
		const result = await Promise.race([scheduler.placePrefill(createDemand(account, `${account}-${promptCount}`, 16_000, priority)), nextTurn('waiting' as const)]);
		if (result !== 'waiting' && !isPlaced(result)) {
			return count;
		}
	}

	return 100;
}

describe('prompts that wait at a daemon of a scarce service', () => {
	test('are placed in the order of their accounts\' shares, those of an urgent route first all the same', async () => {
		const {scheduler, usage} = createFixture();
		makeScarce(usage);
		const placed: string[] = [];
		const place = async (demand: PlacementDemand) => {
			const result = await scheduler.placePrefill(demand);
			placed.push(`${demand.account}-${demand.route.priority}`);
			if (isPlaced(result)) {
				result.release({kind: 'served', elapsedMs: 100});
			}
		};

		const busy = await scheduler.placePrefill(createDemand(undefined, 'busy', 40_000));
		const waiting = [place(createDemand('large', 'l-1')), place(createDemand('small', 's-1')), place(createDemand('large', 'l-2', 16_000, 0))];
		if (isPlaced(busy)) {
			busy.release({kind: 'served', elapsedMs: 100});
		}

		await Promise.all(waiting);
		expect(placed).toEqual(['large-0', 'small-1', 'large-1']);
	});

	// Guards against small accounts that are refused for a burst behind which they do not wait.
	test('are refused for the work that goes before them alone', async () => {
		const {scheduler, usage} = createFixture();
		makeScarce(usage);
		const large = await countTaken(scheduler, 'large');
		expect(large).toBeLessThan(100);
		expect(await countTaken(scheduler, 'large')).toBe(0);
		expect(await countTaken(scheduler, 'small')).toBeGreaterThan(0);
	});

	// Guards against callers that wait until they give up behind others that came later.
	test('are refused at once when those of accounts within their share have overtaken them for too long', async () => {
		const {scheduler, usage} = createFixture();
		makeScarce(usage);
		const refused: string[] = [];
		const place = async (demand: PlacementDemand) => {
			if (!isPlaced(await scheduler.placePrefill(demand))) {
				refused.push(demand.account ?? '');
			}
		};

		for (let count = 0; count < 40; count += 1) {
			void place(createDemand('large', `l-${count}`));
		}

		await nextTurn();
		expect(refused).toEqual([]);
		for (let count = 0; count < 10; count += 1) {
			void place(createDemand('small', `s-${count}`));
		}

		await nextTurn();
		expect(refused.length).toBeGreaterThanOrEqual(2);
		expect(new Set(refused)).toEqual(new Set(['large']));
	});

	test('are not refused for what other daemons hold for accounts beyond their share', async () => {
		const {scheduler, usage, peerLoads} = createFixture();
		makeScarce(usage);
		const message: PeerMessage = {
			daemon: 'other',
			entry: {address: '127.0.0.1:9', availabilityZone: 'zone-a', linkMbps: 10},
			isSnapshot: true,
			loads: [],
			prefills: [],
			queued: new Map([[1, 1e6]]),
			excessQueued: new Map([[1, 1e6]]),
			usage: [],
			crashNews: [],
			limits: [],
			leaving: [],
			tables: [], work: [],
		};
		peerLoads.apply(message, 1000);
		expect(await countTaken(scheduler, 'large')).toBe(0);
		expect(await countTaken(scheduler, 'small')).toBeGreaterThan(0);
		peerLoads.apply({...message, excessQueued: new Map()}, 1000);
		expect(await countTaken(scheduler, 'small')).toBe(0);
	});

	test('are taken and refused as before without accounts', async () => {
		const [without, scarce] = [createFixture(), createFixture()];
		makeScarce(scarce.usage);
		expect(await countTaken(without.scheduler, undefined)).toBe(await countTaken(scarce.scheduler, 'large'));
	});
});

test('runs that wait for the limit of an upstream are placed in the order of their accounts\' shares', async () => {
	vi.useFakeTimers();
	const registry = new UpstreamRegistry();
	registry.set(createUpstream({id: 'u-1', service: 'desk', stage: undefined}));
	const clock = {now: () => performance.now()};
	const backpressure = createUpstreamBackpressure({clock});
	const usage = new AccountUsage();
	const scheduler = createScheduler({
		clock, registry, backpressure, accountUsage: usage, services: () => new Map(),
	});
	scheduler.update(registry.get('u-1')!);
	const now = clock.now();
	usage.ask('desk', 'large', 100, now);
	usage.place('desk', 'large', 50, now);
	usage.ask('desk', 'small', 1, now);
	usage.place('desk', 'small', 1, now);
	backpressure.hear('u-1', {
		requestsPerSecond: 2, isLeaving: false, pauseMs: undefined, isConclusive: true, malformedHeaders: [],
	}, now);
	while (backpressure.take('u-1')) {
		// Uses up what the limit allows at once.
	}

	const placed: string[] = [];
	const place = async (account: string, priority: number) => {
		const result = await scheduler.placePlain({
			...createDemand(account, account), service: 'desk', arrivedAt: now, deadlineAt: now + 60_000, route: createRoute({targetLatencyMs: 60_000, timeoutMs: 60_000, priority}),
		});
		placed.push(isPlaced(result) ? `${account}-${priority}` : result.reason);
	};

	const waiting = [place('large', 1), place('small', 1), place('large', 0)];
	await vi.advanceTimersByTimeAsync(10_000);
	await Promise.all(waiting);
	vi.useRealTimers();
	expect(placed).toEqual(['large-0', 'small-1', 'large-1']);
});
