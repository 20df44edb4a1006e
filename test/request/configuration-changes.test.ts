import {setTimeout as delay} from 'node:timers/promises';
import {describe, expect, it} from 'vitest';
import {createLog} from '../../src/process/create-log.ts';
import {AdmissionTask} from '../../src/process/admission/admission-task.ts';
import {FairAdmission} from '../../src/process/admission/fair-admission.ts';
import {SystemClock} from '../../src/process/clock.ts';
import {hashKey} from '../../src/process/key-directory.ts';
import {ShareAllocator} from '../../src/process/shares/share-allocator.ts';
import {createRequestHandlerFixture, fixtureKey, type RequestHandlerFixture} from './request-handler-fixture.ts';
import {
	createRawUpstream, formatChunk, formatEvent, streamHead, type RawAnswer,
} from './upstream-fixture.ts';

const model = 'model-a';
const service = 'service-a';
const workMs = 1200;
const promptRefusalMs = 500;

const wholeAnswer: RawAnswer = async socket => {
	socket.write('HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwh');
	await delay(workMs);
	socket.write('ole');
};

const streamAnswer: RawAnswer = async socket => {
	socket.write(streamHead + formatChunk(formatEvent('a')));
	await delay(workMs);
	socket.write(formatChunk('data: [DONE]\n\n') + '0\r\n\r\n');
};

async function send({url}: RequestHandlerFixture, serves: string, stream: boolean) {
	const startMs = performance.now();
	const response = await fetch(url + (serves === model ? '/v1/completions' : `/services/${serves}/bookings`), {
		method: 'POST', body: JSON.stringify({model, stream}), headers: {authorization: `Bearer ${fixtureKey}`},
	});
	const text = await response.text().catch(() => 'cut');
	return {
		status: response.status, ran: response.headers.get('wagtailtack-ran'), text, elapsedMs: performance.now() - startMs,
	};
}

describe.concurrent('a configuration that is applied while requests run', () => {
	// Guards against running work that is cut, or sent again, because what it was accepted under is gone.
	it.each([
		{name: 'an answer in one piece', serves: model, stream: false},
		{name: 'a stream', serves: model, stream: true},
		{name: 'a booking', serves: service, stream: false},
	])('lets $name end whole, although its client account, its route and its upstreams are gone', async ({serves, stream}) => {
		await using upstream = await createRawUpstream('u', stream ? streamAnswer : wholeAnswer, serves);
		let isGone = false;
		await using fixture = await createRequestHandlerFixture([upstream.host], {
			keys: () => isGone ? new Map() : new Map([[hashKey(fixtureKey), 'customer-a']]),
			models: () => isGone ? [] : [model],
			upstreams: () => isGone ? [] : [upstream.host],
			isUnrepeatableRoute: () => isGone,
		});
		const running = send(fixture, serves, stream);
		await delay(workMs / 2);
		isGone = true;
		const {status, ran, text} = await running;
		expect({status, ran}).toEqual({status: 200, ran: 'yes'});
		expect(text.endsWith(stream ? 'data: [DONE]\n\n' : 'whole')).toBe(true);
		expect(upstream.received).toHaveLength(1);
		expect(await send(fixture, serves, stream)).toMatchObject({status: 401});
	});

	// Guards against requests that wait in vain behind running work after the last upstream of their model is gone.
	it('refuses at once, as not run, those that wait for a model that no upstream serves any more', async () => {
		await using upstream = await createRawUpstream('u', streamAnswer);
		const clock = new SystemClock();
		let isGone = false;
		const admission = new FairAdmission({
			clock,
			engineSlots: 1,
			contract: () => undefined,
			typicalLatency: () => ({msPerToken: undefined, firstTokenMs: 0}),
			engines: () => isGone ? 0 : 1,
			allocator: new ShareAllocator({share: () => 1}),
		});
		await using task = new AdmissionTask(createLog('error', 'hidden'), admission);
		task.run();
		await using fixture = await createRequestHandlerFixture([upstream.host], {admission, listeners: [admission.listener], upstreams: () => isGone ? [] : [upstream.host]});
		const running = send(fixture, model, true);
		await expect.poll(() => upstream.received.length, {interval: 5}).toBe(1);
		const waiting = [send(fixture, model, true), send(fixture, model, false), send(fixture, model, true)];
		await delay(100);
		isGone = true;
		for (const {status, ran, text, elapsedMs} of await Promise.all(waiting)) {
			expect({status, ran, code: (JSON.parse(text) as {readonly error: {readonly code: string}}).error.code}).toEqual({status: 503, ran: 'no', code: 'no_upstream'});
			expect(elapsedMs).toBeLessThan(promptRefusalMs);
		}

		expect(await running).toMatchObject({status: 200});
		expect(upstream.received).toHaveLength(1);
	});
});
