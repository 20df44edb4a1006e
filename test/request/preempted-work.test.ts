import {setTimeout as delay} from 'node:timers/promises';
import {describe, expect, it} from 'vitest';
import {FairAdmission} from '../../src/process/admission/fair-admission.ts';
import {SystemClock} from '../../src/process/clock.ts';
import {ShareAllocator} from '../../src/process/shares/share-allocator.ts';
import {createRequestHandlerFixture, fixtureKey, type RequestHandlerFixture} from './request-handler-fixture.ts';
import {createRawUpstream} from './upstream-fixture.ts';

const model = 'model-a';
const answerAfterMs = 200;
const wholeAnswer = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok';

/** Capacity for two requests of patient work and one of live work; another one preempts patient work. */
const engineSlots = 4;

async function send({url}: RequestHandlerFixture, serviceClass: 'live' | 'patient') {
	const response = await fetch(`${url}/v1/completions`, {
		method: 'POST', body: JSON.stringify({model}), headers: {authorization: `Bearer ${fixtureKey}`, 'wagtailtack-class': serviceClass},
	});
	const text = await response.text();
	return {status: response.status, ran: response.headers.get('wagtailtack-ran'), text};
}

describe('patient work that is preempted after it was sent', () => {
	// Guards against preempted work that ends with an error although it can run again, and against a refusal that wrongly says it has not run.
	it.each([
		{
			name: 'is answered later', isGone: false, status: 200, ran: 'yes',
		},
		{
			name: 'is refused as possibly run if its model is gone', isGone: true, status: 503, ran: 'unknown',
		},
	])('$name', async ({isGone, status, ran}) => {
		let hasGone = false;
		let patientSent = 0;
		let liveSent = 0;
		await using upstream = await createRawUpstream('u', async (socket, text) => {
			const isPatient = text.includes('x-priority: 1');
			patientSent += isPatient ? 1 : 0;
			liveSent += isPatient ? 0 : 1;
			if (!isPatient || patientSent > 2) {
				await delay(answerAfterMs);
				socket.write(wholeAnswer);
			}
		});
		const admission = new FairAdmission({
			clock: new SystemClock(),
			engineSlots,
			contract: () => undefined,
			typicalLatency: () => ({msPerToken: undefined, firstTokenMs: 0}),
			engines: () => 1,
			allocator: new ShareAllocator({share: () => 1}),
		});
		await using fixture = await createRequestHandlerFixture([upstream.host], {
			admission, listeners: [admission.listener], upstreams: () => hasGone ? [] : [upstream.host],
		});
		const patient = [send(fixture, 'patient'), send(fixture, 'patient')];
		await expect.poll(() => patientSent, {interval: 5}).toBe(2);
		const live = [send(fixture, 'live')];
		await expect.poll(() => liveSent, {interval: 5}).toBe(1);
		hasGone = isGone;
		live.push(send(fixture, 'live'));
		const ended = Promise.allSettled([...patient, ...live]);
		expect(await Promise.race(patient)).toMatchObject({status, ran});
		await fixture[Symbol.asyncDispose]();
		await ended;
	});
});
