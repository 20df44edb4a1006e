import {setTimeout as delay} from 'node:timers/promises';
import {Left} from 'purify-ts';
import {
	describe, expect, it, vi,
} from 'vitest';
import {request} from 'undici';
import {Connectivity} from '../../src/connection/connectivity.ts';
import {
	createLocalDeployment, demoKey, demoModels, demoService, type LocalDeployment,
} from '../../src/demo/local-deployment.ts';
import {waitUntilReady} from '../../src/demo/mixed-load.ts';
import {HostList, type Host} from '../../src/ports/host-list.ts';
import {createLog} from '../../src/process/create-log.ts';
import type {DaemonTuning} from '../../src/process/wiring.ts';
import {FaultyTable} from '../fixtures/faulty-table.ts';
import {conditionOf} from '../fixtures/peer-status.ts';

const zones = ['zone-a', 'zone-b', 'zone-c'];
const daemonsPerZone = 2;
const membershipSpeedFactor = 4;
/** Detecting the death of a zone takes 9 s plus a heartbeat interval, divided by the speed factor; the rest is a margin for a busy machine. */
const deathTimeoutMs = 6000;
const recoveryTimeoutMs = 6000;

/** Simulates network partitions of zones, for connections between daemons and upstreams, the table and the host list. */
class PartitionSimulator {
	readonly cutZones = new Set<string>();
	/** Number of calls from a zone to addresses of other zones and to the platform. */
	calls = 0;
	/** Hosts from which the zone of an address is looked up. */
	hosts: () => readonly Host[] = () => [];

	tuningOf(zone: string): DaemonTuning {
		return {
			membershipSpeedFactor,
			connectivity: this.#connectivityOf(zone),
			wrapTable: table => new FaultyTable(table, () => this.#isCut(zone, undefined) ? 'unavailable' : 'none'),
			wrapHostList: list => new PartitionableHostList(list, () => this.#isCut(zone, undefined)),
		};
	}

	#connectivityOf(zone: string): Connectivity {
		const zoneOf = (url: string) => this.hosts().find(host => url === `http://${host.address}`)?.availabilityZone;
		const isCut = (url: string) => this.#isCut(zone, zoneOf(url));
		return new class extends Connectivity {
			canReach(url: string): boolean {
				return !isCut(url);
			}
		}();
	}

	#isCut(from: string, to: string | undefined): boolean {
		if (from === to) {
			return false;
		}

		this.calls += 1;
		return this.cutZones.has(from) || (to !== undefined && this.cutZones.has(to));
	}
}

class PartitionableHostList extends HostList {
	readonly #inner: HostList;
	readonly #isCut: () => boolean;

	constructor(inner: HostList, isCut: () => boolean) {
		super();
		this.#inner = inner;
		this.#isCut = isCut;
	}

	async read() {
		return this.#isCut() ? Left('cut off') : this.#inner.read();
	}
}

describe('an availability zone that is cut off', () => {
	it('serves requests locally, runs nothing that needs the platform, and recovers without a burst of calls', async () => {
		const partition = new PartitionSimulator();
		await using deployment = await createLocalDeployment({
			availabilityZones: zones, daemonsPerZone, log: createLog('error', 'hidden'), tuningOf: zone => partition.tuningOf(zone),
		});
		partition.hosts = () => deployment.hosts.hosts;
		await waitUntilReady(deployment);
		await waitForCondition(deployment, 'alive', recoveryTimeoutMs);
		const baselineCalls = await countCalls(partition);

		partition.cutZones.add('zone-a');
		await waitForCondition(deployment, 'dead', deathTimeoutMs);
		// The first requests may be sent to upstreams of other zones, which are avoided after that.
		await Promise.all(Array.from({length: 10}, async () => complete(deployment.urls[0]!)));
		await delay(1500);
		const answers = await Promise.all(Array.from({length: 20}, async () => complete(deployment.urls[0]!)));
		expect(answers.filter(({status}) => status === 200)).toHaveLength(20);
		const executions = countExecutions(deployment);
		// The daemons of the other zones cannot be asked whether one of them has run a request with this idempotency key.
		expect(await book(deployment.urls[0]!)).toMatchObject({status: 503, ran: 'unknown'});
		expect(countExecutions(deployment), 'bookings that reached a service').toBe(executions);
		expect(deployment.daemons[0]!.isReady()).toBe(true);

		partition.cutZones.clear();
		await waitForCondition(deployment, 'alive', recoveryTimeoutMs);
		expect(await countCalls(partition), 'calls across zones after the recovery').toBeLessThan(2 * baselineCalls);
		expect(await book(deployment.urls[0]!)).toMatchObject({status: 200, ran: 'yes'});
	});
});

function countExecutions({services}: LocalDeployment): number {
	return services.reduce((sum, service) => sum + service.executions.length, 0);
}

async function countCalls(partition: PartitionSimulator): Promise<number> {
	const before = partition.calls;
	await delay(1000);
	return partition.calls - before;
}

/** Waits until a daemon inside and a daemon outside of zone-a see each other in the given condition. */
async function waitForCondition({daemons}: LocalDeployment, condition: string, timeout: number): Promise<void> {
	const inside = daemons[0]!;
	const outside = daemons[daemonsPerZone]!;
	await vi.waitFor(async () => {
		expect(await conditionOf(addressOf(inside), 'daemon-zone-b-0')).toBe(condition);
		expect(await conditionOf(addressOf(outside), 'daemon-zone-a-0')).toBe(condition);
	}, {timeout, interval: 100});
}

function addressOf({peerAddress: {host, port}}: LocalDeployment['daemons'][number]): string {
	return `${host}:${port}`;
}

async function complete(url: string) {
	return post(`${url}/v1/chat/completions`, {
		model: demoModels[0], stream: true, max_tokens: 2, messages: [{role: 'user', content: 'check'}],
	});
}

async function book(url: string) {
	return post(`${url}/services/${demoService}/bookings`, {run: 1}, {'idempotency-key': `run-${performance.now()}`});
}

async function post(url: string, body: unknown, headers: Readonly<Record<string, string>> = {}) {
	const response = await request(url, {
		method: 'POST', headers: {authorization: `Bearer ${demoKey}`, ...headers}, body: JSON.stringify(body),
	});
	const text = await response.body.text();
	return {status: response.statusCode, ran: response.headers['wagtailtack-ran'], text};
}
