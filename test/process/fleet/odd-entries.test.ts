import {request} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {
	afterAll, beforeAll, beforeEach, describe, expect, test, vi,
} from 'vitest';
import {
	buildDaemon, DaemonProcess, portsPerDaemon, toDaemonPorts, type DaemonPorts,
} from '../../fixtures/fleet/daemon-process.ts';
import {createOperatorConfiguration} from '../../fixtures/fleet/fleet-fixture.ts';
import {absentUpstreams, unusableEntries} from '../../fixtures/fleet/odd-entries.ts';
import {StoreServer} from '../../fixtures/fleet/store-server.ts';
import {UpstreamServer} from '../../fixtures/fleet/upstream-server.ts';
import {chooseFreePorts} from '../../fixtures/free-ports.ts';

const table = 'servers';
/** Time within which a change of the list must be known, in milliseconds; the fixture's settings allow 2 s, and the machine may be busy. */
const changeBoundMs = 4000;
/** The daemon writes its log every 100 ms. */
const logDelayMs = 200;
const requestsPerRoute = 20;
const kinds = [...Map.groupBy(unusableEntries, ({kind}) => kind)].map(([kind, entries]) => ({kind, entries}));

/** A built daemon beside two good upstreams, and a third one that comes and goes. */
class ListFixture implements AsyncDisposable {
	readonly store = new StoreServer();
	readonly upstreams = [new UpstreamServer({id: 'u-1'}), new UpstreamServer({id: 'u-2'})];
	readonly changing = new UpstreamServer({id: 'u-3'});
	process!: DaemonProcess;
	#ports!: DaemonPorts;
	#changes = 0;
	#requests = 0;

	/** Starts the daemon with further rows in the list. */
	async start(rows: ReadonlyMap<string, unknown> = new Map()): Promise<void> {
		await this.store.start();
		for (const [id, value] of rows) {
			this.store.put(table, id, value);
		}

		for (const upstream of this.upstreams) {
			await upstream.start();
			this.store.put(table, upstream.behaviour.id, upstream.entry());
		}

		await this.changing.start();
		this.store.put('op', 'config', createOperatorConfiguration());
		this.#ports = toDaemonPorts(await chooseFreePorts(portsPerDaemon));
		this.process = new DaemonProcess({
			bundle: buildDaemon(), name: 'daemon-1', availabilityZone: 'zone-a', storeAddress: this.store.address, ports: this.#ports,
		});
		this.process.start();
		await this.waitUntilReady();
	}

	async waitUntilReady(): Promise<void> {
		await vi.waitFor(async () => {
			expect(await this.process.isReady()).toBe(true);
		}, {timeout: changeBoundMs, interval: 20});
	}

	/** Writes the entry of the third upstream, and returns once the daemon uses it. */
	async waitForChange(): Promise<void> {
		this.store.remove(table, 'u-3');
		this.#changes += 1;
		const born = 1000 + this.#changes;
		this.store.put(table, 'u-3', this.changing.entry({born, sequence: this.#changes}));
		await vi.waitFor(() => {
			expect(this.process.unexpectedExits).toEqual([]);
			expect(this.process.output).toMatch(new RegExp(String.raw`"event":"upstream\.(?:appeared|restarted)".*"upstream":"u-3".*"heartbeat":${this.#changes}\}`, 'v'));
		}, {timeout: changeBoundMs, interval: 10});
	}

	/** Sends requests of both kinds and returns the statuses. */
	async sendRequests(): Promise<readonly number[]> {
		const paths = Array.from({length: requestsPerRoute}).flatMap(() => ['/lookup/1', '/book/1']);
		return Promise.all(paths.map(async path => this.#send(path)));
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await this.process[Symbol.asyncDispose]();
		for (const upstream of [...this.upstreams, this.changing]) {
			await upstream[Symbol.asyncDispose]();
		}

		await this.store[Symbol.asyncDispose]();
	}

	/** Returns the status of the response; 0 if there is none. */
	async #send(path: string): Promise<number> {
		this.#requests += 1;
		const {promise, resolve} = Promise.withResolvers<number>();
		const sent = request({
			host: '127.0.0.1', port: this.#ports.callers, path, agent: false, method: path.startsWith('/book/') ? 'POST' : 'GET', headers: {host: 'a.example', 'x-request-id': `r-${this.#requests}`},
		}, response => {
			response.resume();
			response.once('close', () => {
				resolve(response.statusCode ?? 0);
			});
		});
		sent.once('error', () => {
			resolve(0);
		});
		sent.end();
		return promise;
	}
}

const allServed = Array.from({length: 2 * requestsPerRoute}, () => 200);

describe('an entry of another writer in the list of upstreams', () => {
	const fixture = new ListFixture();
	beforeAll(async () => {
		await fixture.start();
	}, 30_000);
	afterAll(async () => {
		await fixture[Symbol.asyncDispose]();
	});
	let outputLength = 0;
	beforeEach(async () => {
		if (fixture.process.unexpectedExits.length > 0) {
			fixture.process.unexpectedExits.length = 0;
			fixture.process.start();
			await fixture.waitUntilReady();
		}

		outputLength = fixture.process.output.length;
		return () => {
			for (const {id} of [...unusableEntries, ...absentUpstreams]) {
				fixture.store.remove(table, id);
			}
		};
	});

	test.each(kinds)('does not end the daemon, fail requests or stop it from following the list: entries $kind', async ({entries}) => {
		for (const {id, value} of entries) {
			fixture.store.put(table, id, value);
		}

		await fixture.waitForChange();
		const statuses = await fixture.sendRequests();
		expect(fixture.process.unexpectedExits).toEqual([]);
		expect(statuses).toEqual(allServed);
		await delay(logDelayMs);
		expect(fixture.process.output.slice(outputLength)).not.toContain('request.crashed');
	});

	test('does not end the daemon or lose its requests, and is avoided: upstreams that do not exist', async () => {
		for (const {id, value} of absentUpstreams) {
			fixture.store.put(table, id, value);
		}

		await fixture.waitForChange();
		const statuses = await fixture.sendRequests();
		expect(fixture.process.unexpectedExits).toEqual([]);
		// Requests that may be sent once are refused after a refused connection.
		expect([200, 503]).toEqual(expect.arrayContaining([...new Set(statuses)]));
		expect(await fixture.sendRequests()).toEqual(allServed);
	});

	test('does not keep a restarted daemon from serving and following the list', async () => {
		for (const {id, value} of unusableEntries) {
			fixture.store.put(table, id, value);
		}

		fixture.process.signal('SIGKILL');
		await fixture.process.waitForExit();
		fixture.process.start();
		await fixture.waitUntilReady();
		await fixture.waitForChange();
		const statuses = await fixture.sendRequests();
		expect(fixture.process.unexpectedExits).toEqual([]);
		expect(statuses).toEqual(allServed);
	}, 20_000);
});

describe('engines of another writer in the list of upstreams', () => {
	test('with a port out of range do not end the daemon when it orders them', async () => {
		await using engine = new UpstreamServer({id: 'e-1', stage: 'decode'});
		await using ordered = new UpstreamServer({id: 'e-2', stage: 'decode'});
		await engine.start();
		await ordered.start();
		const odd = engine.entry({address: '127.0.0.1:99999'});
		await using fixture = new ListFixture();
		await fixture.start(new Map([['e-1', engine.entry()], ['e-2', ordered.entry()], ['e-3', odd], ['e-4', odd]]));
		await vi.waitFor(() => {
			expect(fixture.process.unexpectedExits).toEqual([]);
			expect(ordered.behaviour.acceptedOrders).toBe(1);
		}, {timeout: 8000, interval: 20});
		await delay(logDelayMs);
		expect(fixture.process.unexpectedExits).toEqual([]);
	}, 20_000);
});
