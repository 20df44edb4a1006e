import {readFileSync, writeFileSync} from 'node:fs';
import {createSocket} from 'node:dgram';
import {request} from 'node:http';
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {
	beforeAll, describe, expect, test, vi,
} from 'vitest';
import {
	buildDaemon, DaemonProcess, portsPerDaemon, toDaemonPorts, type DaemonPorts,
} from '../../fixtures/fleet/daemon-process.ts';
import {createOperatorConfiguration} from '../../fixtures/fleet/fleet-fixture.ts';
import {StoreServer} from '../../fixtures/fleet/store-server.ts';
import {UpstreamServer} from '../../fixtures/fleet/upstream-server.ts';
import {chooseFreePorts} from '../../fixtures/free-ports.ts';
import {createRawUpstream} from '../../request/upstream-fixture.ts';

/** The built daemon in a separate process, with a store and one upstream. */
class DaemonFixture implements AsyncDisposable {
	readonly store = new StoreServer();
	readonly upstream = new UpstreamServer({id: 'u-1'});
	process!: DaemonProcess;
	ports!: DaemonPorts;

	/** `entry` overrides fields of the upstream's row; `preload` is loaded before the daemon. */
	async start(bundle: string, entry: Readonly<Record<string, unknown>> = {}, preload?: string): Promise<void> {
		await this.store.start();
		await this.upstream.start();
		this.store.put('servers', 'u-1', this.upstream.entry(entry));
		this.store.put('op', 'config', createOperatorConfiguration());
		this.ports = toDaemonPorts(await chooseFreePorts(portsPerDaemon));
		this.process = new DaemonProcess({
			bundle, name: 'daemon-1', availabilityZone: 'zone-a', storeAddress: this.store.address, ports: this.ports, preload,
		});
		this.process.start();
	}

	async waitUntilReady(): Promise<void> {
		for (let tries = 0; await sendRequest(this.ports.readiness, '/api/ready') !== 200; tries += 1) {
			if (tries > 200) {
				throw new Error('The daemon did not become ready.');
			}

			await delay(50);
		}
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await this.process[Symbol.asyncDispose]();
		await this.upstream[Symbol.asyncDispose]();
		await this.store[Symbol.asyncDispose]();
	}
}

/** Sends a request and returns the status of the response; 0 if there is none. */
async function sendRequest(port: number, target: string, id = 'r'): Promise<number> {
	const {promise, resolve} = Promise.withResolvers<number>();
	const sent = request({
		host: '127.0.0.1', port, path: target, agent: false, headers: {host: 'a.example', 'x-request-id': id, 'x-deadline-ms': '3000'},
	}, response => {
		response.resume();
		response.once('end', () => {
			resolve(response.statusCode ?? 0);
		});
	});
	sent.once('error', () => {
		resolve(0);
	});
	sent.end();
	return promise;
}

async function sendLater(port: number, target: string, delayMs: number): Promise<number> {
	await delay(delayMs);
	return sendRequest(port, target);
}

/** Longest time between two answers of the readiness endpoint, which is asked all the time until `end` resolves, in milliseconds. */
async function measureStandstill(port: number, end: Promise<unknown>): Promise<number> {
	const controller = new AbortController();
	const stop = () => {
		controller.abort();
	};

	void end.then(stop, stop);
	let longestMs = 0;
	let answeredAt = performance.now();
	while (!controller.signal.aborted) {
		await sendRequest(port, '/api/ready');
		longestMs = Math.max(longestMs, performance.now() - answeredAt);
		answeredAt = performance.now();
		await delay(5);
	}

	return longestMs;
}

/** A request must have its answer within half a second of its timeout, in milliseconds. */
const maxStandstillMs = 500;
/** Bytes that are no answer and make the HTTP client fail an assertion. */
const assertingAnswers = ['HTTP/1.1 073 \r\nContent-Length: 4\r\n\r\nZ%q{', 'HTTP/1.1 000 \r\n\r\nZ%q{'];

describe('daemon process', () => {
	let bundle = '';
	beforeAll(() => {
		bundle = buildDaemon();
	});

	test('completes requests in flight after repeated SIGTERM signals and exits with code 0', async () => {
		await using daemon = new DaemonFixture();
		await daemon.start(bundle);
		await daemon.waitUntilReady();
		expect(await sendRequest(daemon.ports.callers, '/lookup/1', 'before')).toBe(200);
		daemon.upstream.behaviour.delayMs = 800;
		const open = sendRequest(daemon.ports.callers, '/lookup/1', 'open');
		await delay(200);
		daemon.process.signal('SIGTERM');
		await delay(100);
		daemon.process.signal('SIGTERM');
		expect(await sendRequest(daemon.ports.readiness, '/api/ready')).toBe(503);
		expect(await open).toBe(200);
		expect(await daemon.process.waitForExit()).toBe(0);
		expect(daemon.process.output).toContain('"event":"process.stopped"');
	}, 20_000);

	test('refuses requests with status 503 after a crash while the store is down, and becomes ready again', async () => {
		await using daemon = new DaemonFixture();
		await daemon.start(bundle);
		await daemon.waitUntilReady();
		daemon.process.signal('SIGKILL');
		await daemon.process.waitForExit();
		daemon.store.faults.status = 503;
		daemon.process.start();
		let status = 0;
		for (let tries = 0; status === 0 && tries < 100; tries += 1) {
			await delay(50);
			status = await sendRequest(daemon.ports.callers, '/none/1');
		}

		expect(status).toBe(503);
		daemon.store.faults.status = undefined;
		await daemon.waitUntilReady();
		expect(await sendRequest(daemon.ports.callers, '/lookup/1')).toBe(200);
	}, 20_000);

	test('exits with code 1 if its ports are in use', async () => {
		await using daemon = new DaemonFixture();
		await daemon.start(bundle);
		await daemon.waitUntilReady();
		await using second = new DaemonProcess({
			bundle, name: 'daemon-2', availabilityZone: 'zone-a', storeAddress: daemon.store.address, ports: daemon.ports,
		});
		second.start();
		expect(await second.waitForExit()).toBe(1);
		expect(second.output).toContain('EADDRINUSE');
		// The report of an unexpected end must show its cause.
		await vi.waitFor(() => {
			expect(second.unexpectedExits).toEqual([expect.stringMatching(/^daemon-2 ended with code 1, signal null: .*EADDRINUSE/v)]);
		});
	}, 10_000);

	// Guards against a daemon that serves, ignores SIGTERM and is killed with requests in flight.
	test('exits with code 1 if its port for datagrams of other daemons is in use', async () => {
		await using daemon = new DaemonFixture();
		await daemon.start(bundle);
		await daemon.waitUntilReady();
		daemon.process.signal('SIGTERM');
		await daemon.process.waitForExit();
		const other = createSocket('udp4');
		await new Promise<void>(resolve => {
			other.bind(daemon.ports.peers, '127.0.0.1', resolve);
		});
		daemon.process.start();
		expect(await Promise.race([daemon.process.waitForExit(), delay(8000, 'running')])).toBe(1);
		other.close();
	}, 30_000);

	// Guards against an assertion that stops the event loop: Node.js 20 parses the bundle to quote the condition, which takes seconds.
	test.each(assertingAnswers)('goes on serving when an answer makes the HTTP client fail an assertion: %j', async answer => {
		await using daemon = new DaemonFixture();
		await using faulty = await createRawUpstream('faulty', socket => {
			socket.write(answer);
		});
		await daemon.start(bundle, {address: faulty.host.address});
		await daemon.waitUntilReady();
		const status = sendLater(daemon.ports.callers, '/book/1', 100);
		expect(await measureStandstill(daemon.ports.readiness, Promise.all([status, delay(1000)]))).toBeLessThan(maxStandstillMs);
		expect(await status).toBe(502);
	}, 40_000);

	// Guards against requests that were read and lost because an error in another part of the daemon ended the process at once.
	test.each([
		['', () => undefined],
		[' and nobody reads its standard error', (daemon: DaemonProcess) => {
			daemon.closeErrorOutput();
		}],
	])('answers the requests in flight when an uncaught error ends it%s, and exits with code 1', async (_, prepare) => {
		await using daemon = new DaemonFixture();
		await daemon.start(bundle, {}, path.join(import.meta.dirname, '../../fixtures/fleet/throw-on-signal.cjs'));
		await daemon.waitUntilReady();
		daemon.upstream.behaviour.delayMs = 800;
		prepare(daemon.process);
		const open = [sendRequest(daemon.ports.callers, '/lookup/1', 'lookup'), sendRequest(daemon.ports.callers, '/book/1', 'booking')];
		await delay(200);
		daemon.process.signal('SIGUSR2');
		await delay(100);
		daemon.process.signal('SIGUSR2');
		expect(await Promise.all(open)).toEqual([200, 200]);
		expect(await daemon.process.waitForExit()).toBe(1);
		expect(daemon.process.output).toMatch(/"event":"process\.failed".*"requests":\["lookup","booking"\]/v);
		expect(daemon.process.output.match(/"event":"process\.failed"/gv)).toHaveLength(1);
	}, 20_000);

	test('reloads its settings on SIGHUP while it serves requests, and exposes metrics', async () => {
		await using daemon = new DaemonFixture();
		await daemon.start(bundle);
		await daemon.waitUntilReady();
		daemon.process.signal('SIGHUP');
		expect(await sendRequest(daemon.ports.callers, '/lookup/1')).toBe(200);
		expect(await sendRequest(daemon.ports.metrics, '/metrics')).toBe(200);
		await delay(300);
		expect(daemon.process.output).toContain('"event":"process.reload"');
	}, 20_000);

	// Guards against settings that stay out of force because no signal announced them, and against a broken file that is applied in part.
	test('applies a changed settings file without a signal, and rejects a broken one as a whole', async () => {
		await using daemon = new DaemonFixture();
		await daemon.start(bundle);
		await daemon.waitUntilReady();
		const {settingsPath} = daemon.process;
		const text = readFileSync(settingsPath, 'utf8');
		writeFileSync(settingsPath, text.replace('retry-slack = 56', 'retry-slack = 99'));
		await vi.waitFor(() => {
			expect(daemon.process.output).toMatch(/"event":"process\.reload".*"retrySlack":99/v);
		}, {timeout: 8000, interval: 100});
		writeFileSync(settingsPath, text.replace('retry-slack = 56', 'retry-slack = many').replace('drain-ms = 2000', 'drain-ms = 1'));
		for (let count = 0; count < 5; count += 1) {
			daemon.process.signal('SIGHUP');
		}

		await vi.waitFor(() => {
			expect(daemon.process.output).toContain('"event":"process.reloadFailed"');
		}, {timeout: 8000, interval: 100});
		expect(await sendRequest(daemon.ports.callers, '/lookup/1')).toBe(200);
		expect(daemon.process.output.match(/"event":"process\.reload"/gv)).toHaveLength(1);
	}, 30_000);
});
