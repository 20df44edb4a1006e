import {setTimeout as delay} from 'node:timers/promises';
import {request} from 'undici';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {EngineServer} from '../../../src/stand-ins/engine/engine-server.ts';

// Guards against an engine stand-in that answers unlike an engine, and against faults that have no effect when set.
describe('the engine stand-in', () => {
	let engine: EngineServer;
	let url: string;

	beforeEach(async () => {
		engine = new EngineServer({id: 'e1', model: 'press', speed: {stepBaseMs: 2}});
		const {port} = await engine.listen({host: '127.0.0.1', port: 0});
		url = `http://127.0.0.1:${port}`;
	});

	afterEach(async () => {
		await engine[Symbol.asyncDispose]();
	});

	it('streams one event per token and [DONE]', async () => {
		const text = await complete({prompt: 'a', stream: true, max_tokens: 3});
		expect(text.match(/"text":"token\d /gv)).toEqual(['"text":"token0 ', '"text":"token1 ', '"text":"token2 ']);
		expect(text).toMatch(/data: \[DONE\]\n\n$/v);
	});

	it('resumes after the tokens that the caller already has', async () => {
		const text = await complete({prompt: 'a', max_tokens: 4, resume_from: 2});
		expect(text).toContain('"text":"token2 token3 "');
	});

	it('cancels the work when the caller disconnects', async () => {
		const abort = new AbortController();
		const response = await post('/v1/completions', {
			model: 'press', prompt: 'a', stream: true, max_tokens: 1000,
		}, abort.signal);
		expect(await metric('engine_running_requests')).toBe(1);
		response.body.on('error', () => undefined);
		abort.abort();
		await delay(100);
		expect(await metric('engine_running_requests')).toBe(0);
	});

	it('skips the prefill of an imported KV cache', async () => {
		const prompt = 'x'.repeat(40_000);
		const exported = await post('/kv/export', {model: 'press', prompt});
		const kv = await exported.body.json() as {readonly handle: string};
		const imported = await post('/kv/import', kv);
		await imported.body.dump();
		const startedAt = performance.now();
		await complete({prompt, kv_handle: kv.handle, max_tokens: 1});
		const withKvMs = performance.now() - startedAt;
		await complete({prompt: `y${prompt}`, max_tokens: 1});
		expect(performance.now() - startedAt - withKvMs).toBeGreaterThan(withKvMs * 3);
	});

	it('publishes cache events with the set delay and loss', async () => {
		for (const name of ['a', 'b', 'c']) {
			await complete({prompt: name.repeat(8000), max_tokens: 1});
		}

		expect(await cacheSequences()).toEqual([1, 2, 3]);
		engine.setFaults({dropEvery: 2});
		expect(await cacheSequences()).toEqual([1, 3]);
		engine.setFaults({eventDelayMs: 60_000});
		expect(await cacheSequences()).toEqual([]);
	});

	it('reports the load with the set lag', async () => {
		const running = complete({prompt: 'a', max_tokens: 60});
		await delay(20);
		expect(await metric('engine_running_requests')).toBe(1);
		engine.setFaults({reportLagMs: 60_000});
		expect(await metric('engine_running_requests')).toBe(0);
		await running;
	});

	it('crashes on a marked prompt, aborts all requests and restarts', async () => {
		engine.setFaults({crashOn: 'poison', restartMs: 50});
		const unrelated = complete({prompt: 'a', stream: true, max_tokens: 1000});
		const poison = complete({prompt: 'poison'});
		const results = await Promise.allSettled([unrelated, poison]);
		expect(results.map(result => result.status)).toEqual(['rejected', 'rejected']);
		await delay(100);
		expect(await complete({prompt: 'a', max_tokens: 1})).toContain('token0');
	});

	it('truncates a stream before [DONE] when the fault is set', async () => {
		engine.setFaults({truncateAfterTokens: 2});
		const text = await complete({prompt: 'a', stream: true, max_tokens: 10});
		expect(text).toContain('token1');
		expect(text).not.toContain('[DONE]');
	});

	it('refuses new work and announces that it is leaving', async () => {
		engine.setFaults({leaving: true});
		const response = await post('/v1/completions', {model: 'press', prompt: 'a'});
		await response.body.dump();
		expect(response.statusCode).toBe(503);
		expect(response.headers['wagtailtack-leaving']).toBe('true');
	});

	async function post(path: string, body: Record<string, unknown>, signal?: AbortSignal) {
		return request(url + path, {method: 'POST', body: JSON.stringify(body), ...(signal === undefined ? {} : {signal})});
	}

	async function complete(body: Record<string, unknown>): Promise<string> {
		const response = await post('/v1/completions', {model: 'press', ...body});
		return response.body.text();
	}

	async function metric(name: string): Promise<number> {
		const response = await request(`${url}/metrics`);
		const text = await response.body.text();
		return Number(new RegExp(String.raw`^${name} (\d+)$`, 'mv').exec(text)?.[1]);
	}

	async function cacheSequences(): Promise<readonly number[]> {
		const response = await request(`${url}/cache-events?after=0`);
		const {events} = await response.body.json() as {readonly events: ReadonlyArray<{readonly sequence: number}>};
		return events.map(({sequence}) => sequence);
	}
});
