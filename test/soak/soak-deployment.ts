import {setTimeout as delay} from 'node:timers/promises';
import {DaemonProcess, portsPerDaemon, toDaemonPorts} from '../fixtures/fleet/daemon-process.ts';
import {createOperatorConfiguration} from '../fixtures/fleet/fleet-fixture.ts';
import {DutyServer} from '../fixtures/fleet/duty-server.ts';
import {StoreServer, type StoreCopy} from '../fixtures/fleet/store-server.ts';
import {UpstreamServer, type UpstreamBehaviour} from '../fixtures/fleet/upstream-server.ts';
import {chooseFreePorts} from '../fixtures/free-ports.ts';
import {FaultProxy} from './fault-proxy.ts';
import type {Observations, ObservedOrder, TimeSpan} from './invariants.ts';
import type {Disruption, PlannedWork} from './request-account.ts';
import {soakAccounts, soakKey} from './soak-accounts.ts';
import {spareServices} from './changed-configuration.ts';

const zones = ['zone-a', 'zone-b', 'zone-c'];
const heartbeatMs = 400;
/** Pace of the upstreams' work, in milliseconds. */
const shortWork = {delayMs: 10, eventIntervalMs: 20};
const longWork = {delayMs: 300, eventIntervalMs: 150};
const readyTimeoutMs = 15_000;
/** Time by which each daemon lengthens the start of all, which share the machine, in milliseconds. */
const startMsPerDaemon = 500;
const restartDelayMs = 300;
/** A held daemon is paused for 70 of each 100 ms, so that a close that it announces and a request that crosses it are far apart. */
const turnMs = 100;
const heldMs = 70;
/** Part of the output of a daemon that does not become ready, in characters. */
const maxReportedOutput = 2000;

/** An upstream with the proxy whose address its entry in the store gives. */
export class SoakUpstream {
	readonly server: UpstreamServer;
	readonly proxy: FaultProxy;
	readonly availabilityZone: string;
	/** True while the upstream keeps its entry in the store up to date. */
	isListed = true;
	state: 'ready' | 'draining' = 'ready';
	/** Birth number of the entry, raised at each restart. */
	bornAt = 1000;
	/** Times during which a fault could break off answers of this upstream. */
	readonly disruptions: TimeSpan[] = [];
	readonly #service: string | undefined;
	readonly #leavingSince = new Map<string, number>();
	#sequence = 1;

	/** `service` is undefined for the service that the stand-in names by itself. */
	constructor(server: UpstreamServer, proxy: FaultProxy, availabilityZone: string, service: string | undefined) {
		this.#service = service;
		this.server = server;
		this.proxy = proxy;
		this.availabilityZone = availabilityZone;
	}

	/** For each id of this upstream that was marked as leaving, the time of the mark. */
	get leavingSince(): ReadonlyMap<string, number> {
		return this.#leavingSince;
	}

	/** Writes the upstream's entry to the store if it is listed; each heartbeat calls this. */
	writeEntry(store: StoreServer): void {
		if (!this.isListed) {
			return;
		}

		this.#sequence += 1;
		store.put('servers', this.server.behaviour.id, this.server.entry({
			address: this.proxy.address, zone: this.availabilityZone, state: this.state, sequence: this.#sequence, born: this.bornAt, ...(this.#service === undefined ? {} : {service: this.#service}),
		}));
	}

	/** Marks the upstream as leaving. */
	startLeaving(store: StoreServer): void {
		this.state = 'draining';
		this.writeEntry(store);
		this.#leavingSince.set(this.server.behaviour.id, performance.now());
	}

	/** Removes the current entry from the store. */
	removeEntry(store: StoreServer): void {
		this.isListed = false;
		store.remove('servers', this.server.behaviour.id);
	}
}

/** Store and upstreams in this process and daemons as processes of their own, on loopback with proxies in between. */
export class SoakDeployment implements AsyncDisposable {
	readonly store = new StoreServer();
	readonly duties = new DutyServer();
	readonly upstreams: SoakUpstream[] = [];
	readonly daemons: DaemonProcess[] = [];
	/** Proxy between each daemon and the store. */
	readonly storeProxies: FaultProxy[] = [];
	/** For each daemon, the times during which a fault affected it or its connection to the store. */
	readonly disruptions: Disruption[][] = [];
	/** For each daemon, the times from a SIGKILL to the restart. */
	readonly kills: TimeSpan[][] = [];
	/** For each daemon, the times from a SIGTERM to the restart. */
	readonly stops: TimeSpan[][] = [];
	readonly plannedWork: PlannedWork[] = [];
	/** The configurations written so far. */
	readonly configurations: Array<Readonly<Record<string, unknown>>> = [];
	readonly #timers: NodeJS.Timeout[] = [];
	/** For each daemon, the number of pauses that have not ended. */
	readonly #pauses = new Map<number, number>();
	/** Daemons that are being started again. */
	readonly #startingDaemons = new Set<number>();
	#version = 1;
	#longWorkCount = 0;

	/** Starts the store, the upstreams and the daemons, and waits until all daemons are ready; `hasSpareServices` adds services to which routes can be moved. */
	async start(bundle: string, daemons: number, hasSpareServices = false): Promise<void> {
		await this.store.start();
		await this.duties.start();
		this.#writeConfiguration(createOperatorConfiguration());
		for (const [index, availabilityZone] of zones.entries()) {
			await this.#addUpstream({id: `desk-${index}`}, availabilityZone);
			await this.#addUpstream({id: `engine-${index}`, stage: 'decode', eventCount: 4}, availabilityZone);
			await this.#addUpstream({id: `engine-${index + zones.length}`, stage: 'decode', eventCount: 4}, availabilityZone);
		}

		for (const [index, availabilityZone] of hasSpareServices ? zones.entries() : []) {
			await this.#addUpstream({id: `annex-${index}`}, availabilityZone, spareServices.desk);
			await this.#addUpstream({id: `spare-${index}`, stage: 'decode', eventCount: 4}, availabilityZone, spareServices.model);
		}

		this.repeat(heartbeatMs, () => {
			for (const upstream of this.upstreams) {
				upstream.writeEntry(this.store);
			}
		});
		const ports = await chooseFreePorts(daemons * portsPerDaemon);
		for (let index = 0; index < daemons; index += 1) {
			const proxy = new FaultProxy(this.store.address);
			await proxy.start();
			this.storeProxies.push(proxy);
			const daemon = new DaemonProcess({
				bundle, name: `daemon-${index}`, availabilityZone: zones[index % zones.length]!, storeAddress: proxy.address, dutiesAddress: this.duties.address, ports: toDaemonPorts(ports.slice(index * portsPerDaemon)),
			});
			daemon.start();
			this.daemons.push(daemon);
			this.disruptions.push([]);
			this.kills.push([]);
			this.stops.push([]);
		}

		await this.waitUntilReady();
	}

	/** Calls a function at an interval in milliseconds until the deployment ends. */
	repeat(intervalMs: number, run: () => void): void {
		this.#timers.push(setInterval(run, intervalMs));
	}

	/** Waits until all daemons report that they are ready; throws after a timeout. */
	async waitUntilReady(): Promise<void> {
		for (const deadline = performance.now() + readyTimeoutMs + (this.daemons.length * startMsPerDaemon); ;) {
			const ready = await Promise.all(this.daemons.map(async daemon => daemon.isReady()));
			if (ready.every(Boolean)) {
				return;
			}

			if (performance.now() > deadline) {
				const output = this.daemons.filter((_daemon, index) => ready[index] !== true).map(daemon => daemon.output.slice(-maxReportedOutput)).join('\n');
				throw new Error(`only ${ready.filter(Boolean).length} of ${ready.length} daemons became ready in time; the others wrote: ${output}`);
			}

			await delay(50);
		}
	}

	/** Writes a configuration with a higher version. */
	configure(create: (version: number) => Readonly<Record<string, unknown>> = version => createOperatorConfiguration({version})): void {
		this.#version += 1 + (this.#version % 3);
		this.#writeConfiguration(create(this.#version));
	}

	/** Ends a daemon with a signal and starts it again. */
	async stopAndRestart(index: number, signal: 'SIGKILL' | 'SIGTERM'): Promise<void> {
		const daemon = this.daemons[index]!;
		const from = performance.now();
		// Several signals may hit the same process; only the first of them restarts it.
		const isFirst = !daemon.isStopRequested;
		daemon.signal(signal);
		if (signal === 'SIGTERM') {
			this.plannedWork.push({kind: signal, daemon: index, at: from});
		}

		await daemon.waitForExit();
		if (isFirst) {
			await delay(restartDelayMs);
			this.#startingDaemons.add(index);
			daemon.start();
			void this.#awaitStart(index);
		}

		const span = {from, to: performance.now()};
		this.disruptions[index]!.push({...span, cause: signal === 'SIGKILL' ? 'host' : 'plannedStop'});
		(signal === 'SIGKILL' ? this.kills : this.stops)[index]!.push(span);
	}

	/** Holds each daemon that has started to a small share of the processor, in turns that differ by daemon, until the signal is aborted. */
	async holdDaemons(signal: AbortSignal): Promise<void> {
		await Promise.all(this.daemons.map(async (daemon, index) => {
			await delay(index * turnMs / this.daemons.length);
			while (!signal.aborted) {
				if (!this.#startingDaemons.has(index)) {
					await this.pauseDaemon(index, heldMs);
				}

				await delay(turnMs - heldMs);
			}
		}));
	}

	/** Pauses the process of a daemon; pauses may overlap. */
	async pauseDaemon(index: number, forMs: number): Promise<void> {
		const daemon = this.daemons[index]!;
		const pauses = this.#pauses.get(index) ?? 0;
		this.#pauses.set(index, pauses + 1);
		daemon.signal('SIGSTOP');
		await delay(forMs);
		const left = this.#pauses.get(index)! - 1;
		this.#pauses.set(index, left);
		if (left === 0) {
			daemon.signal('SIGCONT');
		}
	}

	/** Lengthens the work of all upstreams during an operation. */
	async withLongWork(operation: () => Promise<void>): Promise<void> {
		this.#changeLongWork(1);
		await operation();
		this.#changeLongWork(-1);
	}

	/** Restores the store from a copy; the operator and the platform write again what is lost, and upstreams do so with their next heartbeat. */
	restoreStore(copy: StoreCopy): void {
		this.store.restore(copy);
		const ids = new Set(this.upstreams.map(({server}) => server.behaviour.id));
		for (const id of this.store.keys('servers').filter(key => !ids.has(key))) {
			this.store.remove('servers', id);
		}

		const configuration = this.configurations.at(-1);
		if (configuration !== undefined) {
			this.store.put('op', 'config', configuration);
		}
	}

	/** Returns what the upstreams observed, as input for the checks. */
	observe(): Pick<Observations, 'ran' | 'seen' | 'orders' | 'crashTimes' | 'afterLeaving' | 'disruptions' | 'upstreamDisruptions' | 'kills' | 'stops'> {
		const servers = this.upstreams.map(({server}) => server);
		const upstreamDisruptions = new Map<string, TimeSpan[]>();
		for (const {server, disruptions} of this.upstreams) {
			for (const {headers} of disruptions.length === 0 ? [] : server.receivedRequests) {
				const id = String(headers['x-request-id']);
				upstreamDisruptions.set(id, [...upstreamDisruptions.get(id) ?? [], ...disruptions]);
			}
		}

		return {
			disruptions: this.disruptions,
			upstreamDisruptions,
			kills: this.kills,
			stops: this.stops,
			ran: servers.flatMap(({startedRequestIds: ran}) => ran),
			seen: servers.flatMap(({receivedRequests: seen}) => seen),
			orders: servers.flatMap(({receivedRequests: seen, address}) => seen.filter(({url}) => url === '/api/order').map(({body, receivedAt: at}): ObservedOrder => {
				const {holder, fence} = JSON.parse(body) as {readonly holder: string; readonly fence: number};
				return {
					engine: address, holder, fence, at,
				};
			})),
			crashTimes: servers.flatMap(({crashTimes}) => crashTimes),
			afterLeaving: this.upstreams.flatMap(({server, leavingSince}) => server.receivedRequests.flatMap(({headers, url, receivedAt: at}) => {
				const upstream = String(headers['x-expect-instance']);
				const leftAt = leavingSince.get(upstream);
				return leftAt === undefined || at < leftAt || url.startsWith('/api/')
					? []
					: [{
						request: String(headers['x-request-id']), upstream, leftAt, at,
					}];
			})),
		};
	}

	async [Symbol.asyncDispose](): Promise<void> {
		for (const timer of this.#timers) {
			clearInterval(timer);
		}

		await Promise.all(this.daemons.map(async daemon => daemon[Symbol.asyncDispose]()));
		await Promise.all([...this.storeProxies, ...this.upstreams.map(({proxy}) => proxy)].map(async proxy => proxy[Symbol.asyncDispose]()));
		await Promise.all(this.upstreams.map(async ({server}) => server[Symbol.asyncDispose]()));
		await this.store[Symbol.asyncDispose]();
		await this.duties[Symbol.asyncDispose]();
	}

	/** Notes when a daemon that was started again is ready, at the latest after a timeout. */
	async #awaitStart(index: number): Promise<void> {
		for (const deadline = performance.now() + readyTimeoutMs; performance.now() < deadline && !(await this.daemons[index]!.isReady());) {
			await delay(50);
		}

		this.#startingDaemons.delete(index);
	}

	#writeConfiguration(withoutAccounts: Readonly<Record<string, unknown>>): void {
		const configuration = {...withoutAccounts, tenants: soakAccounts.map(name => ({name, api_keys: [soakKey(name)]}))};
		this.plannedWork.push({kind: 'configuration', at: performance.now()});
		this.configurations.push(configuration);
		this.store.put('op', 'config', configuration);
	}

	#changeLongWork(difference: number): void {
		this.#longWorkCount += difference;
		for (const {server} of this.upstreams) {
			Object.assign(server.behaviour, this.#longWorkCount === 0 ? shortWork : longWork);
		}
	}

	async #addUpstream(behaviour: Partial<UpstreamBehaviour>, availabilityZone: string, service?: string): Promise<void> {
		const server = new UpstreamServer({...shortWork, ...behaviour});
		await server.start();
		const proxy = new FaultProxy(server.address);
		await proxy.start();
		const upstream = new SoakUpstream(server, proxy, availabilityZone, service);
		this.upstreams.push(upstream);
		upstream.writeEntry(this.store);
	}
}
