import {request} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {
	beforeAll, describe, expect, test,
} from 'vitest';
import {createEndlessAnswers, createEndlessBodies, writeEndlessly} from '../../fixtures/endless-answers.ts';
import {
	buildDaemon, DaemonProcess, portsPerDaemon, toDaemonPorts,
} from '../../fixtures/fleet/daemon-process.ts';
import {createOperatorConfiguration} from '../../fixtures/fleet/fleet-fixture.ts';
import {StoreServer} from '../../fixtures/fleet/store-server.ts';
import {UpstreamServer} from '../../fixtures/fleet/upstream-server.ts';
import {chooseFreePorts} from '../../fixtures/free-ports.ts';
import {createRawUpstream} from '../../request/upstream-fixture.ts';

const durationMs = 10_000;
const lookupIntervalMs = 25;
const workMs = 30;
/** Time by which each sound lookup must be answered, in milliseconds. */
const maxLookupMs = 1000;
/** Time by which each faulty booking must be answered, in milliseconds. */
const maxBookingMs = 1000;
/** Peak memory above that of a daemon with sound answers alone, in bytes. */
const maxAdditionalMemory = 64 * 1024 * 1024;

const headers = 'X-Request-Id: endless\r\nX-Response-Seal: seal\r\n';
const names = new Set(['small header fields without end', 'small trailers without end after a part of the body', 'the smallest header fields without end']);
const smallFields = createEndlessAnswers(headers).filter(({name}) => names.has(name));
const smallChunks = createEndlessBodies(headers).filter(({name}) => name === 'chunks of one byte without end');

type Answer = {readonly status: number; readonly elapsedMs: number};

async function send(port: number, path: string, id: string): Promise<Answer> {
	const startedAt = performance.now();
	const {promise, resolve} = Promise.withResolvers<number>();
	const sent = request({
		host: '127.0.0.1', port, path, method: path.startsWith('/book/') ? 'POST' : 'GET', agent: false, headers: {host: 'a.example', 'x-request-id': id, 'x-deadline-ms': '3000'},
	}, response => {
		response.resume();
		response.once('close', () => {
			resolve(response.complete ? response.statusCode ?? 0 : 0);
		});
	});
	sent.once('error', () => {
		resolve(0);
	});
	sent.end();
	return {status: await promise, elapsedMs: performance.now() - startedAt};
}

/** Sends requests at regular times for a while, and waits for their answers. */
async function sendRegularly(port: number, path: string, intervalMs: number): Promise<readonly Answer[]> {
	const answers: Array<Promise<Answer>> = [];
	for (const startedAt = performance.now(); performance.now() - startedAt < durationMs;) {
		answers.push(send(port, `${path}${answers.length}`, `${path}-${answers.length}`));
		await delay(Math.max(0, (startedAt + (answers.length * intervalMs)) - performance.now()));
	}

	return Promise.all(answers);
}

/** A store, one sound upstream, and several that answer bookings without end. */
class Deployment implements AsyncDisposable {
	readonly resources = new AsyncDisposableStack();
	faultyAnswers = 0;
	#daemons = 0;
	#storeAddress = '';

	async start(faultyUpstreams: number, answers: typeof smallFields): Promise<void> {
		const store = this.resources.use(new StoreServer());
		await store.start();
		this.#storeAddress = store.address;
		const upstream = this.resources.use(new UpstreamServer({id: 'sound', delayMs: workMs}));
		await upstream.start();
		store.put('servers', 'sound', upstream.entry());
		for (let index = 0; index < faultyUpstreams; index += 1) {
			const faulty = this.resources.use(await createRawUpstream('faulty', async socket => {
				this.faultyAnswers += 1;
				await writeEndlessly(socket, answers[this.faultyAnswers % answers.length]!);
			}));
			store.put('servers', `faulty-${index}`, upstream.entry({service: 'faulty', address: faulty.host.address, slots: 128}));
		}

		const {routes, services} = createOperatorConfiguration() as {readonly routes: ReadonlyArray<{readonly name: string}>; readonly services: readonly unknown[]};
		store.put('op', 'config', createOperatorConfiguration({
			routes: routes.map(route => route.name === 'book' ? {...route, service: 'faulty'} : route),
			services: [...services, {name: 'faulty', health_path: '/healthz', max_connections: 1000}],
		}));
	}

	async startDaemon(bundle: string): Promise<{readonly daemon: DaemonProcess; readonly callers: number}> {
		this.#daemons += 1;
		const ports = toDaemonPorts(await chooseFreePorts(portsPerDaemon));
		const daemon = this.resources.use(new DaemonProcess({
			bundle, name: `daemon-${this.#daemons}`, availabilityZone: 'zone-a', storeAddress: this.#storeAddress, ports,
		}));
		daemon.start();
		while (!await daemon.isReady()) {
			await delay(50);
		}

		return {daemon, callers: ports.callers};
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await this.resources.disposeAsync();
	}
}

describe('answers without end beside sound work', () => {
	let bundle = '';
	beforeAll(() => {
		bundle = buildDaemon();
	});

	// Guards against a daemon that parses or keeps such bytes beyond a limit: all its callers wait, or it runs out of memory.
	test.each([
		['small fields, ten a second', 1, 100, smallFields],
		['small fields, a hundred a second from three upstreams', 3, 10, smallFields],
		['chunks of one byte, ten a second', 1, 100, smallChunks],
	])('delay no caller and use no memory: %s', async (_, upstreams, intervalMs, answers) => {
		await using deployment = new Deployment();
		await deployment.start(upstreams, answers);
		const faulty = await deployment.startDaemon(bundle);
		const control = await deployment.startDaemon(bundle);
		const [lookups, bookings] = await Promise.all([
			sendRegularly(faulty.callers, '/lookup/', lookupIntervalMs),
			sendRegularly(faulty.callers, '/book/', intervalMs),
			sendRegularly(control.callers, '/lookup/', lookupIntervalMs),
		]);
		expect(lookups.filter(({status}) => status !== 200)).toEqual([]);
		expect(Math.max(...lookups.map(({elapsedMs}) => elapsedMs))).toBeLessThan(maxLookupMs);
		expect(bookings.filter(({status}) => status !== 502 && status !== 503)).toEqual([]);
		expect(Math.max(...bookings.map(({elapsedMs}) => elapsedMs))).toBeLessThan(maxBookingMs);
		expect(deployment.faultyAnswers).toBeGreaterThan(bookings.length / 2);
		expect(faulty.daemon.peakMemoryBytes - control.daemon.peakMemoryBytes).toBeLessThan(maxAdditionalMemory);
	}, 60_000);
});
