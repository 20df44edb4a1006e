import process from 'node:process';
import {describe, expect, test} from 'vitest';
import {
	createEndlessAnswers, createEndlessBodies, writeEndlessly, type EndlessAnswer,
} from '../../fixtures/endless-answers.ts';
import {FleetFixture} from '../../fixtures/fleet/fleet-fixture.ts';
import {createRawUpstream, type RawUpstream} from '../../request/upstream-fixture.ts';

/** Time within which the caller must have its answer, in milliseconds; the routes' timeouts are 1,500 ms and more. */
const answerBoundMs = 1200;
/** Bytes that the upstream may have sent by then; socket buffers on both sides hold several megabytes. */
const sentBoundBytes = 48 * 1024 * 1024;
/** Growth of the process, with the buffers of both ends. */
const memoryBoundBytes = 128 * 1024 * 1024;

const headers = 'X-Request-Id: endless\r\nX-Response-Seal: seal\r\n';
// The connections' own test has the whole table; here are one kind of head, of chunk framing and of body.
const answers = createEndlessAnswers(headers).filter(({name}) => name === 'a status line without end' || name === 'a chunk extension without end after a part of the body');
const bodies = createEndlessBodies(headers).filter(({name}) => name !== 'chunks without end');

type Role = {
	readonly service: string;
	readonly stage?: 'prefill' | 'decode';
};

/** Adds an upstream to the list that answers everything with an endless answer, but health checks and reports. */
async function addEndlessUpstream(fleet: FleetFixture, answer: EndlessAnswer, {service, stage}: Role): Promise<{readonly upstream: RawUpstream; readonly closed: Promise<number>}> {
	const closed = Promise.withResolvers<number>();
	const upstream = await createRawUpstream('endless', async (socket, text) => {
		if (text.startsWith('GET /api/report')) {
			socket.write('HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n');
		} else {
			closed.resolve(await writeEndlessly(socket, answer));
		}
	});
	fleet.store.put('servers', `endless-${stage ?? 'plain'}`, {
		service, address: upstream.host.address, zone: 'zone-a', slots: 128, state: 'ready', cold_remaining_ms: 0, sequence: 1, born: 1, ...(stage === undefined ? {} : {stage}),
	});
	return {upstream, closed: closed.promise};
}

async function isListed(fleet: FleetFixture, count: number): Promise<void> {
	await fleet.waitUntil(() => fleet.logLines.filter(({event}) => event === 'upstream.appeared').length >= count);
}

describe('an answer that never ends', () => {
	test.each([...answers, ...bodies])('of a plain service fails the request within a bound of bytes and time: $name', async answer => {
		await using fleet = new FleetFixture();
		await fleet.start([]);
		const {upstream, closed} = await addEndlessUpstream(fleet, answer, {service: 'desk'});
		await using _ = upstream;
		await isListed(fleet, 1);
		const memory = process.memoryUsage().rss;
		const response = await fleet.send({
			path: '/book/1', id: 'endless', method: 'POST', body: 'x',
		});
		expect(response.status).toBe(502);
		expect(response.elapsedMs).toBeLessThan(answerBoundMs);
		expect(await closed).toBeLessThan(sentBoundBytes);
		expect(process.memoryUsage().rss - memory).toBeLessThan(memoryBoundBytes);
		// The upstream counts as failing.
		await fleet.waitUntil(() => fleet.logLines.some(({event, outcome}) => event === 'sent' && outcome === 'lost'));
	});

	test.each([...answers, ...bodies])('of an engine that prefills is given up, and the prompt is prefilled elsewhere: $name', async answer => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'decode', stage: 'decode'}]);
		const {upstream, closed} = await addEndlessUpstream(fleet, answer, {service: 'model', stage: 'prefill'});
		await using _ = upstream;
		await isListed(fleet, 2);
		const response = await fleet.stream('/brief/1', {id: 'endless', headers: {'x-token-counts': '91460,80', 'x-prompt-prefix': '5c1e:90800,91bd:410,e440:250'}});
		expect(response.status).toBe(200);
		expect(response.isWhole).toBe(true);
		expect(response.elapsedMs).toBeLessThan(answerBoundMs + 1000);
		expect(await closed).toBeLessThan(sentBoundBytes);
	});

	test.each([...answers, bodies.at(-1)!])('of an engine that generates ends the request, or breaks off its stream visibly: $name', async answer => {
		await using fleet = new FleetFixture();
		await fleet.start([]);
		const {upstream, closed} = await addEndlessUpstream(fleet, answer, {service: 'model', stage: 'decode'});
		await using _ = upstream;
		await isListed(fleet, 1);
		const response = await fleet.stream('/flag/1', {id: 'endless'});
		expect(response.status === 502 || (response.status === 200 && !response.isWhole)).toBe(true);
		expect(response.elapsedMs).toBeLessThan(answerBoundMs);
		expect(await closed).toBeLessThan(sentBoundBytes);
		await fleet.waitUntil(() => fleet.logLines.some(({event, outcome}) => event === 'sent' && outcome === 'lost'));
	});
});
