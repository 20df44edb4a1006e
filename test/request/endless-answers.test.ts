import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {describe, expect, it} from 'vitest';
import {
	createEndlessAnswers, createEndlessBodies, writeEndlessly, type EndlessAnswer,
} from '../fixtures/endless-answers.ts';
import {scheduledNow, waitScheduled} from '../fixtures/scheduled-time.ts';
import {AttemptListener, type Attempt, type AttemptEnd} from '../../src/request/attempt-listener.ts';
import {createRequestHandlerFixture, fixtureKey} from './request-handler-fixture.ts';
import {completeStream, createRawUpstream} from './upstream-fixture.ts';

/** Time within which the caller must have its answer, in milliseconds. */
const answerBoundMs = 2000;
/** Time by which a sound request must be answered beside such answers, in milliseconds. */
const maxDelayMs = 1000;
/** Bytes that the upstream may have sent by then; socket buffers on both sides hold several megabytes. */
const sentBoundBytes = 32 * 1024 * 1024;
/** Growth of the process, with the buffers of both ends. */
const memoryBoundBytes = 96 * 1024 * 1024;

const answers = createEndlessAnswers('');
const manySmallParts = [...answers, ...createEndlessBodies('Content-Type: text/event-stream\r\n')].filter(({name}) => /small|one byte/v.test(name));
const eventStream = createEndlessBodies('').at(-1)!;

/** Records how attempts end. */
class RecordedEnds extends AttemptListener {
	readonly outcomes: string[] = [];

	attemptStarted(): void {
		// Only the end is of interest.
	}

	attemptEnded(_attempt: Attempt, {outcome}: AttemptEnd): void {
		this.outcomes.push(outcome);
	}
}

async function ask(url: string, answer: string): Promise<Response> {
	return fetch(`${url}/v1/chat/completions`, {
		method: 'POST', headers: {authorization: `Bearer ${fixtureKey}`}, body: JSON.stringify({model: 'model-a', stream: true, user: answer}),
	});
}

async function askTimed(url: string): Promise<{readonly text: string; readonly elapsedMs: number}> {
	const startedAt = scheduledNow();
	const response = await ask(url, 'short');
	return {text: await response.text(), elapsedMs: scheduledNow() - startedAt};
}

/** An upstream that answers requests of the user "endless" with an endless answer and all others properly. */
async function createUpstream(answer: EndlessAnswer, onClosed: (bytes: number) => void) {
	return createRawUpstream('u', async (socket, text) => {
		if (text.includes('"endless"')) {
			onClosed(await writeEndlessly(socket, answer));
		} else {
			socket.write(completeStream);
		}
	});
}

describe('an answer that never ends, on the product\'s own interface', () => {
	// Guards against a caller that is held and a daemon that reads without limit, since such bytes belong to no part that has a limit of its own.
	it.each(answers)('is given up within a bound of bytes and time: $name', async answer => {
		const closed = Promise.withResolvers<number>();
		await using upstream = await createUpstream(answer, closed.resolve);
		await using fixture = await createRequestHandlerFixture([upstream.host]);
		const memory = process.memoryUsage().rss;
		const startMs = performance.now();
		const response = await ask(fixture.url, 'endless');
		const text = await response.text().catch(() => 'aborted');
		expect(performance.now() - startMs).toBeLessThan(answerBoundMs);
		expect(await closed.promise).toBeLessThan(sentBoundBytes);
		expect(process.memoryUsage().rss - memory).toBeLessThan(memoryBoundBytes);
		if (response.status === 200) {
			expect(text).toMatch(/aborted|"code":/v);
		} else {
			expect(response.status).toBe(502);
			expect(response.headers.get('wagtailtack-ran')).toBe('unknown');
		}
	});

	// Guards against a request being refused as one that crashes upstreams because the daemon itself closes connections with endless answers.
	it.each([...answers, eventStream])('ends its attempt as an invalid answer, never as a lost connection: $name', async answer => {
		const closed = Promise.withResolvers<number>();
		await using upstream = await createUpstream(answer, closed.resolve);
		const ends = new RecordedEnds();
		await using fixture = await createRequestHandlerFixture([upstream.host], {listeners: [ends]});
		const response = await ask(fixture.url, 'endless');
		await response.text().catch(() => 'aborted');
		await closed.promise;
		expect(new Set(ends.outcomes)).toEqual(new Set(['invalid_answer']));
	});

	// Guards against the second head of an answer being taken for an error of the connection.
	it.each([1, 3])('does not include an answer after %i informational ones, which is relayed', async count => {
		await using upstream = await createRawUpstream('u', async socket => {
			socket.write(`${'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n'.repeat(count)}${completeStream}`);
		});
		const ends = new RecordedEnds();
		await using fixture = await createRequestHandlerFixture([upstream.host], {listeners: [ends]});
		const response = await ask(fixture.url, 'short');
		expect(await response.text()).toContain('[DONE]');
		expect([response.status, ends.outcomes]).toEqual([200, ['complete']]);
	});

	it('is broken off visibly when one of its events has no end', async () => {
		const closed = Promise.withResolvers<number>();
		await using upstream = await createUpstream(eventStream, closed.resolve);
		await using fixture = await createRequestHandlerFixture([upstream.host]);
		const startMs = performance.now();
		const response = await ask(fixture.url, 'endless');
		const text = await response.text().catch(() => 'aborted');
		expect(performance.now() - startMs).toBeLessThan(answerBoundMs);
		expect(await closed.promise).toBeLessThan(sentBoundBytes);
		expect(`${response.status} ${text}`).toMatch(/^502|aborted|"code":/v);
	});

	// Guards against small fields and chunks being parsed without limit, which holds up all callers.
	it.each(manySmallParts)('does not slow down other requests when many such answers come: $name', async answer => {
		await using upstream = await createUpstream(answer, () => undefined);
		await using fixture = await createRequestHandlerFixture([upstream.host]);
		const endless: Array<Promise<unknown>> = [];
		const sound: Array<Promise<{readonly text: string; readonly elapsedMs: number}>> = [];
		for (let count = 0; count < 60; count += 1) {
			endless.push(ask(fixture.url, 'endless').then(async response => response.text()).catch(() => 'aborted'));
			sound.push(askTimed(fixture.url));
			await waitScheduled(20);
		}

		const answered = await Promise.all(sound);
		expect(answered.filter(({text}) => !text.includes('[DONE]'))).toEqual([]);
		expect(Math.max(...answered.map(({elapsedMs}) => elapsedMs))).toBeLessThan(maxDelayMs);
		await Promise.all(endless);
	}, 60_000);

	it('does not slow down other requests', async () => {
		const closed = Promise.withResolvers<number>();
		await using upstream = await createUpstream(answers.find(({name}) => name === 'a chunk extension without end')!, closed.resolve);
		await using fixture = await createRequestHandlerFixture([upstream.host]);
		const endless = ask(fixture.url, 'endless').then(async response => response.text()).catch(() => 'aborted');
		for (let count = 0; count < 20; count += 1) {
			const startMs = scheduledNow();
			const response = await ask(fixture.url, 'short');
			expect(await response.text()).toContain('[DONE]');
			expect(scheduledNow() - startMs).toBeLessThan(500);
		}

		await endless;
	});
});
