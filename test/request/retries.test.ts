import {Right, type Either} from 'purify-ts';
import {describe, expect, it} from 'vitest';
import type {Host} from '../../src/ports/host-list.ts';
import type {CallerError} from '../../src/request/caller-error.ts';
import {
	Claim, ClaimStore, type ClaimResult, type ClaimRequest, type StoredAnswer,
} from '../../src/request/claim-store.ts';
import {RetryBudget} from '../../src/request/retry-budget.ts';
import {Router} from '../../src/request/router.ts';
import {createRequestHandlerFixture, fixtureKey, type RequestHandlerFixture} from './request-handler-fixture.ts';
import {
	createClosedHost, createRawUpstream, formatChunk, formatEvent, streamHead, type RawAnswer, type RawUpstream,
} from './upstream-fixture.ts';

const completeAnswer = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok';
const model = 'model-a';
const service = 'service-a';

/** Chooses the candidates in the given order. */
class OrderedRouter extends Router {
	choose(_demand: unknown, candidates: readonly Host[]): Host | undefined {
		return candidates[0];
	}

	attemptStarted(): void {
		// Nothing is learned.
	}

	attemptEnded(): void {
		// Nothing is learned.
	}
}

/** Keeps claims in memory and records the operations on them. */
class MemoryClaimStore extends ClaimStore {
	readonly log: string[] = [];
	#answer: StoredAnswer | undefined;

	async claim({idempotencyKey}: ClaimRequest): Promise<Either<CallerError, ClaimResult>> {
		this.log.push(`claim ${idempotencyKey}`);
		const answer = this.#answer;
		return Right(answer === undefined ? {kind: 'granted', claim: this.#createClaim()} : {kind: 'answered', answer});
	}

	#createClaim(): Claim {
		const {log} = this;
		const keep = (answer: StoredAnswer) => {
			this.#answer = answer;
		};

		return new class extends Claim {
			async complete(answer: StoredAnswer): Promise<void> {
				log.push('complete');
				keep(answer);
			}

			async release(): Promise<void> {
				log.push('release');
			}

			async abandon(): Promise<void> {
				log.push('abandon');
			}
		}();
	}
}

async function send({url}: RequestHandlerFixture, serves: string, headers: Readonly<Record<string, string>> = {}, stream = false) {
	const path = serves === model ? '/v1/completions' : `/services/${serves}/bookings`;
	return fetch(url + path, {
		method: 'POST', body: JSON.stringify({model: serves, stream}), headers: {authorization: `Bearer ${fixtureKey}`, ...headers},
	});
}

async function createUpstreams(answers: readonly RawAnswer[], serves: string): Promise<AsyncDisposable & {readonly list: readonly RawUpstream[]}> {
	const list = await Promise.all(answers.map(async (answer, index) => createRawUpstream(`u${index}`, answer, serves)));
	return {
		list,
		async [Symbol.asyncDispose]() {
			await Promise.all(list.map(async upstream => upstream[Symbol.asyncDispose]()));
		},
	};
}

function countRequests(upstreams: readonly RawUpstream[]): number {
	return upstreams.flatMap(upstream => upstream.received).filter(text => text !== '').length;
}

const close: RawAnswer = socket => socket.destroy();
const reset: RawAnswer = socket => socket.resetAndDestroy();
const garbage: RawAnswer = socket => socket.write('nonsense\r\n\r\n');
const silent: RawAnswer = () => undefined;
const answer: RawAnswer = socket => socket.write(completeAnswer);
const busy: RawAnswer = socket => socket.write('HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n');
const headOnly: RawAnswer = socket => socket.end(streamHead);
const firstEvent: RawAnswer = socket => socket.end(streamHead + formatChunk(formatEvent('a')));

describe('the run state', () => {
	// Guards against the run state `no` for a request of which an upstream has received a byte.
	it.each<{name: string; first: RawAnswer; serves: string; headers?: Record<string, string>; ran: string; code: string}>([
		{
			name: 'a connection closed before an answer', first: close, serves: service, ran: 'unknown', code: 'upstream_failed',
		},
		{
			name: 'a connection reset before an answer', first: reset, serves: service, ran: 'unknown', code: 'upstream_failed',
		},
		{
			name: 'an answer that is not HTTP', first: garbage, serves: service, ran: 'unknown', code: 'invalid_answer',
		},
		{
			name: 'no answer before the deadline', first: silent, serves: service, headers: {'wagtailtack-deadline-ms': '60'}, ran: 'unknown', code: 'deadline_exceeded',
		},
		{
			name: 'no answer of a model before the deadline', first: silent, serves: model, headers: {'wagtailtack-deadline-ms': '60'}, ran: 'unknown', code: 'deadline_exceeded',
		},
	])('is $ran after $name', async ({first, serves, headers, ran, code}) => {
		await using upstreams = await createUpstreams([first, answer], serves);
		await using fixture = await createRequestHandlerFixture(upstreams.list.map(upstream => upstream.host), {router: new OrderedRouter()});
		const response = await send(fixture, serves, headers);
		expect(response.headers.get('wagtailtack-ran')).toBe(ran);
		expect(await response.json()).toMatchObject({error: {code, ran}});
		expect(countRequests(upstreams.list)).toBe(1);
	});

	it('is "no" when no upstream could be reached, and "unknown" when an earlier attempt may have run', async () => {
		await using upstreams = await createUpstreams([close], model);
		const closed = await createClosedHost('closed');
		await using unreachable = await createRequestHandlerFixture([closed], {router: new OrderedRouter()});
		const refused = await send(unreachable, model);
		expect(refused.status).toBe(503);
		expect(refused.headers.get('wagtailtack-ran')).toBe('no');
		await using fixture = await createRequestHandlerFixture([upstreams.list[0]!.host, closed], {router: new OrderedRouter()});
		const response = await send(fixture, model);
		expect(response.headers.get('wagtailtack-ran')).toBe('unknown');
	});
});

describe('a retry', () => {
	it.each<{name: string; first: RawAnswer | 'closed'; serves: string; stream?: boolean; headers?: Record<string, string>; isMarked?: boolean; isRetried: boolean}>([
		{
			name: 'a model request whose upstream closed', first: close, serves: model, isRetried: true,
		},
		{
			name: 'a model request whose upstream is busy', first: busy, serves: model, isRetried: true,
		},
		{
			name: 'a stream that ended before its first event', first: headOnly, serves: model, stream: true, isRetried: true,
		},
		{
			name: 'a stream that ended after its first event', first: firstEvent, serves: model, stream: true, isRetried: false,
		},
		{
			name: 'a booking that was not sent', first: 'closed', serves: service, isRetried: true,
		},
		{
			name: 'a booking that may have run', first: close, serves: service, isRetried: false,
		},
		{
			name: 'a booking whose upstream is busy', first: busy, serves: service, isRetried: false,
		},
		{
			name: 'a model request with an idempotency key', first: close, serves: model, headers: {'idempotency-key': 'k'}, isRetried: false,
		},
		{
			name: 'a model request on a route marked as unrepeatable', first: close, serves: model, isMarked: true, isRetried: false,
		},
	])('follows $name: $isRetried', async ({first, serves, stream, headers, isMarked = false, isRetried}) => {
		await using upstreams = await createUpstreams([first === 'closed' ? silent : first, answer], serves);
		const [one, two] = upstreams.list.map(upstream => upstream.host);
		const firstHost = first === 'closed' ? await createClosedHost('closed', serves) : one!;
		await using fixture = await createRequestHandlerFixture([firstHost, two!], {
			router: new OrderedRouter(), claimStore: new MemoryClaimStore(), isUnrepeatableRoute: () => isMarked,
		});
		const response = await send(fixture, serves, headers, stream);
		await response.text().catch(() => undefined);
		expect(countRequests([upstreams.list[1]!])).toBe(isRetried ? 1 : 0);
	});

	// Guards against a second run of work that a configuration marked as unrepeatable while it ran.
	it.each<{name: string; first: RawAnswer}>([
		{name: 'closes', first: close}, {name: 'is busy', first: busy},
	])('is not made after a configuration marked the route as unrepeatable, if its upstream $name', async ({first}) => {
		let isMarked = false;
		await using upstreams = await createUpstreams([(...args) => {
			isMarked = true;
			first(...args);
		}, answer], model);
		await using fixture = await createRequestHandlerFixture(upstreams.list.map(upstream => upstream.host), {
			router: new OrderedRouter(), isUnrepeatableRoute: () => isMarked,
		});
		const response = await send(fixture, model);
		expect(response.headers.get('wagtailtack-ran')).toBe('unknown');
		expect(countRequests(upstreams.list)).toBe(1);
	});

	// Guards against a retry storm when all upstreams fail.
	it('is limited to 5% of the requests plus the initial token', async () => {
		await using upstreams = await createUpstreams([close, close, close], model);
		await using fixture = await createRequestHandlerFixture(upstreams.list.map(upstream => upstream.host));
		const requests = 100;
		for (let index = 0; index < requests; index += 1) {
			const response = await send(fixture, model);
			await response.text();
		}

		expect(countRequests(upstreams.list)).toBeLessThanOrEqual(requests + (requests * 0.05) + 1);
		expect(countRequests(upstreams.list)).toBeGreaterThan(requests);
	});

	it('forwards the remaining time and the trace', async () => {
		await using upstreams = await createUpstreams([answer], model);
		await using fixture = await createRequestHandlerFixture(upstreams.list.map(upstream => upstream.host));
		const response = await send(fixture, model, {'wagtailtack-deadline-ms': '5000', traceparent: '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01'});
		expect(response.status).toBe(200);
		const text = upstreams.list[0]!.received[0]!;
		const remainingMs = Number(/wagtailtack-deadline-ms: (?<ms>\d+)/v.exec(text)?.groups?.ms);
		expect(remainingMs).toBeGreaterThan(4000);
		expect(remainingMs).toBeLessThanOrEqual(5000);
		expect(text).toContain('traceparent: 00-0af7651916cd43dd8448eb211c80319c-');
	});
});

describe('a retry budget', () => {
	it('charges both the customer and the upstream, or neither when one budget is empty', () => {
		const budget = new RetryBudget();
		expect(budget.take({customer: 'a', upstream: 'x'})).toBe(true);
		expect(budget.take({customer: 'a', upstream: 'y'})).toBe(false);
		expect(budget.take({customer: 'b', upstream: 'x'})).toBe(false);
		expect(budget.take({customer: 'b', upstream: 'y'})).toBe(true);
	});

	it('gains a token with every 20 live requests', () => {
		const budget = new RetryBudget();
		const budgetKey = {customer: 'a', upstream: 'x'};
		budget.take(budgetKey);
		const taken = Array.from({length: 100}, () => {
			budget.earn(budgetKey);
			return budget.take(budgetKey);
		});
		expect(taken.filter(Boolean)).toHaveLength(5);
	});
});

const leaving: RawAnswer = socket => socket.write('HTTP/1.1 503 Service Unavailable\r\nwagtailtack-leaving: true\r\ncontent-length: 0\r\n\r\n');

describe('a claimed request', () => {
	const headers = {'idempotency-key': 'booking-1'};

	it('gets its stored answer when it is sent again', async () => {
		await using upstreams = await createUpstreams([answer], service);
		const claimStore = new MemoryClaimStore();
		await using fixture = await createRequestHandlerFixture(upstreams.list.map(upstream => upstream.host), {claimStore});
		for (let sent = 0; sent < 2; sent += 1) {
			const response = await send(fixture, service, headers);
			expect(await response.text()).toBe('ok');
			expect(response.headers.get('wagtailtack-ran')).toBe('yes');
		}

		expect(claimStore.log).toEqual(['claim booking-1', 'complete', 'claim booking-1']);
		expect(countRequests(upstreams.list)).toBe(1);
	});

	it.each<{name: string; first: RawAnswer | 'closed'; log: readonly string[]}>([
		{name: 'released when it was not sent', first: 'closed', log: ['claim booking-1', 'release']},
		{name: 'kept when it may have run', first: close, log: ['claim booking-1', 'abandon']},
	])('has its claim $name', async ({first, log}) => {
		await using upstreams = await createUpstreams(first === 'closed' ? [] : [first], service);
		const hosts = first === 'closed' ? [await createClosedHost('closed', service)] : upstreams.list.map(upstream => upstream.host);
		const claimStore = new MemoryClaimStore();
		await using fixture = await createRequestHandlerFixture(hosts, {claimStore});
		const response = await send(fixture, service, headers);
		expect(response.status).toBeGreaterThanOrEqual(500);
		expect(claimStore.log).toEqual(log);
	});

	// Guards against a booking that is lost because the refusal of a leaving service is stored as its answer.
	it.each<{name: string; answers: readonly RawAnswer[]; ran: string; log: readonly string[]}>([
		{
			name: 'runs at another upstream', answers: [leaving, answer], ran: 'yes', log: ['claim booking-1', 'complete'],
		},
		{
			name: 'is released when all are leaving', answers: [leaving, leaving], ran: 'no', log: ['claim booking-1', 'release'],
		},
	])('$name after a leaving upstream has refused it', async ({answers, ran, log}) => {
		await using upstreams = await createUpstreams(answers, service);
		const claimStore = new MemoryClaimStore();
		await using fixture = await createRequestHandlerFixture(upstreams.list.map(upstream => upstream.host), {claimStore});
		const response = await send(fixture, service, headers);
		expect(response.headers.get('wagtailtack-ran')).toBe(ran);
		expect(claimStore.log).toEqual(log);
	});

	// Guards against a booking whose outcome stays unknown because its caller disconnected.
	it('has its answer stored after its caller has disconnected', async () => {
		const {promise: mayAnswer, resolve: release} = Promise.withResolvers<void>();
		await using upstreams = await createUpstreams([async socket => {
			await mayAnswer;
			socket.write(completeAnswer);
		}], service);
		const claimStore = new MemoryClaimStore();
		await using fixture = await createRequestHandlerFixture(upstreams.list.map(upstream => upstream.host), {claimStore});
		const abort = new AbortController();
		const pending = fetch(`${fixture.url}/services/${service}/bookings`, {
			method: 'POST', signal: abort.signal, headers: {authorization: `Bearer ${fixtureKey}`, ...headers},
		}).catch(() => undefined);
		await expect.poll(() => countRequests(upstreams.list), {interval: 5}).toBe(1);
		abort.abort();
		await pending;
		release();
		await expect.poll(() => claimStore.log, {interval: 5}).toEqual(['claim booking-1', 'complete']);
	});

	it('is refused as not run when there is no claim store', async () => {
		await using upstreams = await createUpstreams([answer], service);
		await using fixture = await createRequestHandlerFixture(upstreams.list.map(upstream => upstream.host));
		const response = await send(fixture, service, headers);
		expect(await response.json()).toMatchObject({error: {code: 'claims_unavailable', ran: 'no'}});
		expect(countRequests(upstreams.list)).toBe(0);
	});
});
