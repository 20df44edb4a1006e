import {expect, test} from 'vitest';
import {PlatformDuties, type DutyResult, type PoolOrder} from '../../../src/ports/platform-duties.ts';
import {createOperatorConfiguration, FleetFixture} from '../../fixtures/fleet/fleet-fixture.ts';

class RecordedDuties extends PlatformDuties {
	readonly orders: PoolOrder[] = [];

	override async reportUsage(): Promise<DutyResult> {
		throw new Error('not used');
	}

	override async orderPool(order: PoolOrder, _authority: unknown, shouldStart: () => boolean): Promise<DutyResult> {
		expect(shouldStart()).toBe(true);
		this.orders.push(order);
		return 'accepted';
	}

	async [Symbol.asyncDispose](): Promise<void> {
		// Holds nothing open.
	}
}

const upstreams = [0, 1, 2, 3, 4, 5].map(index => index === 3
	? {id: 'u-3', stage: 'decode' as const, delayMs: 0}
	: {id: `u-${index}`, stage: 'prefill' as const, delayMs: 300});
const services = createOperatorConfiguration().services as ReadonlyArray<Readonly<Record<string, unknown>>>;
const scaledServices = services.map(service => service.name === 'model'
	? {
		...service,
		scaling: {
			min_replicas: 1, max_replicas: 12, boot_s: 4, spot_price: 0.2, zone_prices: {'zone-a': 1},
		},
	}
	: service);

/** Starts two daemons of which the first one holds the duty. */
async function start(fleet: FleetFixture, duties: RecordedDuties, configuration: Readonly<Record<string, unknown>>): Promise<void> {
	fleet.poolDuty = number => ({duties, authority: () => number === 1 ? {holder: 'daemon-1', fencing: 3} : undefined});
	await fleet.start(upstreams, {daemons: 2, configuration});
}

test('the holder of the duty orders reclaimable upstreams by the work that arrives at another daemon', async () => {
	await using duties = new RecordedDuties();
	await using fleet = new FleetFixture();
	await start(fleet, duties, {services: scaledServices});
	await fleet.waitUntil(() => duties.orders.some(({isReclaimable, count}) => isReclaimable && count >= 4), 8000);
	expect(duties.orders.every(({service, availabilityZone}) => service === 'model' && availabilityZone === 'zone-a')).toBe(true);
	await Promise.all(Array.from({length: 60}, async (_, index) => fleet.stream('/brief/a', {daemon: 1, headers: {'x-prompt-prefix': `${index}:40000`, 'x-token-counts': '40000,3'}})));
	await fleet.waitUntil(() => fleet.logLines.some(({event, needed}) => event === 'pool.target' && Number(needed) > 12), 8000);
	const metrics = await fleet.metrics();
	expect(metrics).toMatch(/^wagtailtack_pool_upstreams\{service="model",zone="zone-a",kind="ordinary",figure="present"\} 6$/mv);
	expect(metrics).toMatch(/^wagtailtack_pool_orders_total\{result="accepted"\} [1-9]/mv);
}, 30_000);

test('nothing is ordered for services without bounds', async () => {
	await using duties = new RecordedDuties();
	await using fleet = new FleetFixture();
	await start(fleet, duties, {});
	await new Promise(resolve => {
		setTimeout(resolve, 4000);
	});
	expect(duties.orders).toEqual([]);
}, 20_000);
