import {once} from 'node:events';
import {connect} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {
	describe, expect, it, vi,
} from 'vitest';
import {Agent, request, type Dispatcher} from 'undici';
import {demoKey, demoModels, demoService} from '../../src/demo/local-deployment.ts';
import {readStatus} from '../fixtures/peer-status.ts';
import {isReady, SpawnedDeployment} from '../fixtures/spawned-deployment.ts';

const balancerDelayMs = 400;
const balancerPollIntervalMs = 50;
/** Nothing is sent when the last poll is older, so that a slow test process does not send to a daemon that has already closed. */
const maxReadinessAgeMs = balancerDelayMs / 2;

describe.concurrent('a daemon that is stopped', () => {
	it('interrupts no long stream when SIGTERM arrives twice, so that a planned stop fails no request', async () => {
		await using deployment = await SpawnedDeployment.create(['a1'], balancerDelayMs);
		const {url, child} = deployment.daemons.get('a1')!;
		const streams = Array.from({length: 5}, async () => stream(url, 500));
		await delay(300);
		const start = performance.now();
		const exit = once(child, 'exit');
		child.kill('SIGTERM');
		await delay(100);
		expect(await isReady(url), 'readiness').toBe(false);
		expect(await stream(url, 2), 'a request within the balancer delay').toBe(true);
		child.kill('SIGTERM');
		expect(await Promise.all(streams)).toEqual([true, true, true, true, true]);
		expect(performance.now() - start).toBeGreaterThan(2 * balancerDelayMs);
		expect(await exit).toEqual([0, null]);
	});

	it('answers both of two requests that are pipelined on one connection, so that none is run and cut', async () => {
		await using deployment = await SpawnedDeployment.create(['a1'], 3000);
		const {url, child} = deployment.daemons.get('a1')!;
		child.kill('SIGTERM');
		await vi.waitFor(async () => {
			expect(await isReady(url)).toBe(false);
		});
		const text = await exchange(url, bookingText(1) + bookingText(2));
		expect(text.match(/HTTP\/1\.1 200/gv)).toHaveLength(2);
		expect(text.match(/connection: close/giv)).toHaveLength(1);
	});

	it('announces the close of a connection with the answer to a request that came before, so that no next request crosses it', async () => {
		await using deployment = await SpawnedDeployment.create(['a1'], balancerDelayMs);
		const {url, child} = deployment.daemons.get('a1')!;
		const body = JSON.stringify({
			model: demoModels[0], stream: false, max_tokens: 200, messages: [{role: 'user', content: 'check'}],
		});
		const answer = exchange(url, requestText('/v1/chat/completions', body));
		await delay(100);
		child.kill('SIGTERM');
		expect(await answer).toMatch(/^HTTP\/1\.1 200[\s\S]*connection: close/iv);
	});

	it('is reported to its peers as draining during the balancer delay, so that they no longer rely on it', async () => {
		await using deployment = await SpawnedDeployment.create(['a1', 'a2'], 3000);
		const peer = deployment.daemons.get('a2')!.peerAddress!;
		const phase = async () => {
			const {hosts} = await readStatus(peer);
			return hosts.members.find(({id}) => id === 'a1')?.phase;
		};

		await vi.waitFor(async () => {
			expect(await phase()).toBe('ready');
		}, {timeout: 5000});
		deployment.daemons.get('a1')!.child.kill('SIGTERM');
		await vi.waitFor(async () => {
			expect(await phase()).toBe('draining');
		}, {timeout: 2500});
	});

	it('fails no request during a rolling restart under load while the balancer respects readiness', async () => {
		const ids = ['a1', 'a2', 'a3'];
		await using deployment = await SpawnedDeployment.create(ids, balancerDelayMs);
		const load = new BalancedLoad(deployment);
		const running = load.run();
		for (const id of ids) {
			expect(await deployment.stop(id)).toBe(0);
			await deployment.start(id);
		}

		load.stop();
		await running;
		expect(load.failures).toEqual([]);
		expect(load.succeeded).toBeGreaterThan(100);
	});
});

function requestText(path: string, body: string): string {
	return `POST ${path} HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer ${demoKey}\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
}

function bookingText(run: number): string {
	return requestText(`/services/${demoService}/bookings`, JSON.stringify({run}));
}

/** Sends bytes on one connection and returns what arrives until the daemon closes it. */
async function exchange(url: string, text: string): Promise<string> {
	const {hostname, port} = new URL(url);
	const socket = connect(Number(port), hostname);
	socket.setEncoding('utf8');
	socket.write(text);
	let received = '';
	for await (const chunk of socket as AsyncIterable<string>) {
		received += chunk;
	}

	return received;
}

/** Load of streams and bookings that a simulated balancer distributes over the daemons that report ready. */
class BalancedLoad {
	readonly failures: string[] = [];
	succeeded = 0;
	readonly #deployment: SpawnedDeployment;
	readonly #agent = new Agent();
	#ready: readonly string[] = [];
	#polledAt = 0;
	#isStopped = false;

	constructor(deployment: SpawnedDeployment) {
		this.#deployment = deployment;
	}

	stop(): void {
		this.#isStopped = true;
	}

	async run(): Promise<void> {
		const pending: Array<Promise<void>> = [];
		await this.#poll();
		const polling = this.#keepPolling();
		for (let index = 0; !this.#isStopped; index += 1) {
			const isFresh = performance.now() - this.#polledAt < maxReadinessAgeMs;
			if (isFresh && this.#ready.length > 0) {
				pending.push(this.#send(this.#ready[index % this.#ready.length]!, index));
			}

			await delay(10);
		}

		await Promise.all(pending);
		await polling;
		await this.#agent.close();
	}

	async #keepPolling(): Promise<void> {
		while (!this.#isStopped) {
			await delay(balancerPollIntervalMs);
			await this.#poll();
		}
	}

	async #poll(): Promise<void> {
		const start = performance.now();
		const urls = [...this.#deployment.daemons.values()].map(({url}) => url);
		const states = await Promise.all(urls.map(async url => isReady(url)));
		this.#ready = urls.filter((_, index) => states[index]);
		this.#polledAt = start;
	}

	async #send(url: string, index: number): Promise<void> {
		try {
			const isComplete = index % 5 === 0 ? await book(url, this.#agent) : await stream(url, 8, this.#agent);
			this.succeeded += isComplete ? 1 : 0;
			if (!isComplete) {
				this.failures.push(`${index} at ${url}`);
			}
		} catch (error) {
			this.failures.push(`${index} at ${url}: ${String(error)}`);
		}
	}
}

async function stream(url: string, tokens: number, dispatcher?: Dispatcher): Promise<boolean> {
	const body = JSON.stringify({
		model: demoModels[0], stream: true, max_tokens: tokens, messages: [{role: 'user', content: 'check'}],
	});
	const response = await post(`${url}/v1/chat/completions`, body, dispatcher);
	const text = await response.body.text();
	return response.statusCode === 200 && text.endsWith('data: [DONE]\n\n');
}

async function book(url: string, dispatcher?: Dispatcher): Promise<boolean> {
	const response = await post(`${url}/services/${demoService}/bookings`, '{"run":1}', dispatcher);
	await response.body.dump();
	return response.statusCode === 200;
}

async function post(url: string, body: string, dispatcher?: Dispatcher): Promise<Dispatcher.ResponseData> {
	return request(url, {
		method: 'POST', headers: {authorization: `Bearer ${demoKey}`}, body, ...(dispatcher === undefined ? {} : {dispatcher}),
	});
}
