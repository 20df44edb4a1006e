import {describe, expect, test} from 'vitest';
import {DisabledCrashRegistry} from '../../src/request/crash-registry.ts';
import {LeastOutstandingRouter} from '../../src/request/router.ts';
import type {RequestHandlerOptions} from '../../src/process/request-handler.ts';
import {createRequestHandlerFixture, fixtureKey} from './request-handler-fixture.ts';
import {
	createRawUpstream, formatChunk, formatEvent, streamHead,
} from './upstream-fixture.ts';

const fail = (): never => {
	throw new Error('injected');
};

class FailingRegistry extends DisabledCrashRegistry {
	override checkCondemned(): never {
		return fail();
	}
}

class FailingRouter extends LeastOutstandingRouter {
	override choose(): never {
		return fail();
	}
}

class FailingAtEndRouter extends LeastOutstandingRouter {
	override attemptEnded(): never {
		return fail();
	}
}

async function send(url: string, headers: Readonly<Record<string, string>> = {}): Promise<Response> {
	return fetch(`${url}/v1/chat/completions`, {
		method: 'POST', body: JSON.stringify({model: 'model-a'}), headers: {authorization: `Bearer ${fixtureKey}`, ...headers},
	});
}

// Guards against whole requests whose connection is closed without an answer, so that their callers cannot tell whether they ran.
describe('a request whose handling throws', () => {
	test.each<[string, Partial<RequestHandlerOptions>, Readonly<Record<string, string>>, 'no' | 'unknown']>([
		['before its key is known', {keys: fail}, {}, 'no'],
		['with an idempotency key that may have run earlier', {keys: fail}, {'idempotency-key': 'booking-1'}, 'unknown'],
		['in the crash check', {crashRegistry: new FailingRegistry()}, {}, 'unknown'],
		['in the choice of an upstream', {router: new FailingRouter()}, {}, 'unknown'],
		['after its upstream closed the connection', {router: new FailingAtEndRouter()}, {}, 'unknown'],
	])('%s is answered with its run state', async (_name, options, headers, ran) => {
		await using upstream = await createRawUpstream('u1', socket => {
			socket.destroy();
		});
		await using fixture = await createRequestHandlerFixture([upstream.host], options);
		const response = await send(fixture.url, headers);
		expect(response.status).toBe(500);
		expect(response.headers.get('wagtailtack-ran')).toBe(ran);
		expect(await response.json()).toMatchObject({error: {code: 'internal_error', ran}});
		expect(fixture.handler.openRequests).toBe(0);
	});

	test('in the list of models is answered as not run', async () => {
		await using fixture = await createRequestHandlerFixture([], {models: fail});
		const response = await fetch(`${fixture.url}/v1/models`, {headers: {authorization: `Bearer ${fixtureKey}`}});
		expect(response.status).toBe(500);
		expect(response.headers.get('wagtailtack-ran')).toBe('no');
	});

	test('after a part of its answer was sent is cut visibly', async () => {
		await using upstream = await createRawUpstream('u1', socket => {
			socket.write(streamHead + formatChunk(formatEvent('a')), () => {
				socket.destroy();
			});
		});
		await using fixture = await createRequestHandlerFixture([upstream.host], {router: new FailingAtEndRouter()});
		const response = await send(fixture.url);
		expect(response.status).toBe(200);
		await expect(response.text()).rejects.toThrow('terminated');
	});
});
