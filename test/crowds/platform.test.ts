import {
	beforeAll, describe, expect, test,
} from 'vitest';
import {
	CallerCrowd, createCrowds, type CrowdKind, type CrowdTarget,
} from '../fixtures/caller-crowd.ts';
import {
	buildDaemon, DaemonProcess, portsPerDaemon, toDaemonPorts, type DaemonPorts,
} from '../fixtures/fleet/daemon-process.ts';
import {createOperatorConfiguration} from '../fixtures/fleet/fleet-fixture.ts';
import {StoreServer} from '../fixtures/fleet/store-server.ts';
import {UpstreamServer} from '../fixtures/fleet/upstream-server.ts';
import {chooseFreePorts} from '../fixtures/free-ports.ts';
import {isServed} from '../fixtures/ordinary-caller.ts';
import {DescriptorWatch, readPeakMemory} from '../fixtures/process-usage.ts';

/** Memory of the host, in megabytes; what the process uses must stay below it. */
const memoryMb = 210;
/** Descriptors of the host; what the process uses must stay below them, less those reserved for files. */
const descriptors = 1000;
const reservedDescriptors = 200;
const mebibyte = 1024 * 1024;
const host = 'a.example';
const testTimeoutMs = 60_000;

/** The built daemon in a separate process, with a store and one upstream. */
class CrowdFixture implements AsyncDisposable {
	readonly store = new StoreServer();
	readonly upstream = new UpstreamServer({id: 'u-1'});
	process!: DaemonProcess;
	ports!: DaemonPorts;

	async start(bundle: string): Promise<void> {
		await this.store.start();
		await this.upstream.start();
		this.store.put('servers', 'u-1', this.upstream.entry());
		this.store.put('op', 'config', createOperatorConfiguration({
			limits: {
				max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3000, idle_timeout_ms: 15_000,
			},
		}));
		this.ports = toDaemonPorts(await chooseFreePorts(portsPerDaemon));
		this.process = new DaemonProcess({
			bundle, name: 'daemon-1', availabilityZone: 'zone-a', storeAddress: this.store.address, ports: this.ports, memoryMb, limitLines: [`max-descriptors = ${descriptors}`],
		});
		this.process.start();
		expect(await this.answers(this.ports.readiness, '/api/ready')).toBe(true);
	}

	/** True if an ordinary request gets a 200 in one of its tries. */
	async answers(port: number, path: string): Promise<boolean> {
		return isServed({port, path, headers: {host, 'x-request-id': 'ordinary', 'x-deadline-ms': '3000'}});
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await this.process[Symbol.asyncDispose]();
		await this.upstream[Symbol.asyncDispose]();
		await this.store[Symbol.asyncDispose]();
	}
}

/** Sends a crowd to one of the daemon's ports and checks that the daemon stays within its bounds and serves others. */
async function checkCrowd(bundle: string, door: keyof DaemonPorts, kind: CrowdKind): Promise<void> {
	await using fixture = new CrowdFixture();
	await fixture.start(bundle);
	const {ports, process} = fixture;
	const {pid} = process;
	using watch = new DescriptorWatch(pid);
	const {isServedBeside} = await withCrowd(fixture, ports[door], kind);
	const isServedAfter = await fixture.answers(ports.callers, '/lookup/1');
	const isReady = await fixture.answers(ports.readiness, '/api/ready');
	expect(process.unexpectedExits).toEqual([]);
	expect({
		isServedBeside, isServedAfter, isReady, memoryMb: Math.max(memoryMb, readPeakMemory(pid) / mebibyte), descriptors: Math.max(descriptors - reservedDescriptors, watch.peak),
	}).toEqual({
		isServedBeside: true, isServedAfter: true, isReady: true, memoryMb, descriptors: descriptors - reservedDescriptors,
	});
}

async function withCrowd(fixture: CrowdFixture, port: number, kind: CrowdKind): Promise<{readonly isServedBeside: boolean}> {
	using _crowd = await CallerCrowd.send(kind, port);
	return {isServedBeside: await fixture.answers(fixture.ports.callers, '/lookup/1')};
}

describe('a crowd of callers outside the limits, on the operator\'s platform', {concurrent: false}, () => {
	const built = {bundle: ''};
	beforeAll(() => {
		built.bundle = buildDaemon();
	});

	/** Kinds of crowds for paths that are never routed: what they send needs no route. */
	const unroutedKinds = /bodies/v;
	const sideKinds = /chunks of one|ahead|nothing|long field/v;
	const places: ReadonlyArray<{readonly place: string; readonly door: keyof DaemonPorts; readonly target: CrowdTarget; readonly kinds?: RegExp}> = [
		{place: 'at a route', door: 'callers', target: {host, path: '/lookup/1'}},
		{
			place: 'at a path without a route', door: 'callers', target: {host, path: '/none/1'}, kinds: unroutedKinds,
		},
		{
			place: 'at a host without a route', door: 'callers', target: {host: 'none.example', path: '/'}, kinds: /chunks of/v,
		},
		{place: 'at the readiness address', door: 'readiness', target: {host, path: '/api/ready'}},
		{
			place: 'at the address of the metrics', door: 'metrics', target: {host, path: '/metrics'}, kinds: sideKinds,
		},
		{
			place: 'at the address for other daemons', door: 'peers', target: {host, path: '/tables/servers'}, kinds: sideKinds,
		},
	];
	for (const {place, door, target, kinds = /./v} of places) {
		for (const kind of createCrowds(target).filter(({name}) => kinds.test(name))) {
			test(`${place}: ${kind.name}`, {timeout: testTimeoutMs}, async () => {
				await checkCrowd(built.bundle, door, kind);
			});
		}
	}
});
