import {createServer} from 'node:http';
import {context, trace} from '@opentelemetry/api';
import {InMemorySpanExporter, NodeTracerProvider, SimpleSpanProcessor} from '@opentelemetry/sdk-trace-node';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {closeAbruptly, listen} from '../../src/connection/http-listener.ts';
import {Metrics} from '../../src/process/metrics.ts';
import {createTraces} from '../../src/process/traces.ts';
import {createRequestHandlerFixture, fixtureKey, type RequestHandlerFixture} from '../request/request-handler-fixture.ts';
import {createRawUpstream, completeStream, type RawUpstream} from '../request/upstream-fixture.ts';

const parent = '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01';
const prompt = 'a-secret-prompt';

describe('the request handler', () => {
	const exporter = new InMemorySpanExporter();
	const provider = new NodeTracerProvider({spanProcessors: [new SimpleSpanProcessor(exporter)]});
	let upstream: RawUpstream;
	let fixture: RequestHandlerFixture;

	beforeEach(async () => {
		exporter.reset();
		upstream = await createRawUpstream('u', socket => socket.write(completeStream));
		fixture = await createRequestHandlerFixture([upstream.host], {tracer: provider.getTracer('test')});
	});

	afterEach(async () => {
		await fixture[Symbol.asyncDispose]();
		await upstream[Symbol.asyncDispose]();
	});

	async function post(): Promise<void> {
		const response = await fetch(`${fixture.url}/v1/chat/completions`, {
			method: 'POST',
			headers: {authorization: `Bearer ${fixtureKey}`, traceparent: parent, 'x-request-id': 'request-1'},
			body: JSON.stringify({model: 'model-a', stream: true, messages: [{role: 'user', content: prompt}]}),
		});
		await response.text();
	}

	// Guards against a trace that is not continued, and against keys and prompts that leak into traces and metrics.
	it('continues the caller\'s trace with a span for each hop, without keys or prompts', async () => {
		await post();
		await expect.poll(() => exporter.getFinishedSpans().length).toBe(4);
		const spans = exporter.getFinishedSpans();
		expect(spans.map(span => span.name)).toEqual(['queue', 'route', 'attempt', 'request']);
		expect(new Set(spans.map(span => span.spanContext().traceId))).toEqual(new Set([parent.split('-')[1]]));
		const attempt = spans.find(span => span.name === 'attempt')!;
		expect(upstream.received[0]).toContain(`traceparent: 00-${attempt.spanContext().traceId}-${attempt.spanContext().spanId}-01`);
		expect(upstream.received[0]).toContain('x-request-id: request-1');
		const recorded = JSON.stringify(spans.map(({name, attributes, events, status}) => ({
			name, attributes, events, status,
		})));
		const {text} = await fixture.metrics.format();
		for (const secret of [prompt, fixtureKey]) {
			expect(recorded + text).not.toContain(secret);
		}
	});

	it('serves health, readiness, metrics and models', async () => {
		await post();
		const [health, readiness, metrics, models, refused] = await Promise.all([
			fetch(`${fixture.url}/healthz`),
			fetch(`${fixture.url}/readyz`),
			fetch(`${fixture.url}/metrics`),
			fetch(`${fixture.url}/v1/models`, {headers: {authorization: `Bearer ${fixtureKey}`}}),
			fetch(`${fixture.url}/v1/models`),
		]);
		expect([health.status, readiness.status, metrics.status, models.status, refused.status]).toEqual([200, 200, 200, 200, 401]);
		expect(await models.json()).toMatchObject({object: 'list', data: [{id: 'model-a', object: 'model'}]});
		const text = await metrics.text();
		expect(text).toContain('wagtailtack_requests_total{kind="model",code="ok",ran="yes"} 1');
		expect(text).toContain('wagtailtack_attempts_total{serves="model-a",outcome="complete"} 1');
	});
});

describe('metrics', () => {
	it('have a bounded number of customer labels', async () => {
		const metrics = new Metrics();
		for (let index = 0; index < 10_000; index += 1) {
			metrics.requestEnded({
				kind: 'model', customer: `customer-${index}`, code: 'ok', ran: 'yes', totalMs: 1,
			});
		}

		const {text} = await metrics.format();
		const lines = text.split('\n').filter(line => line.startsWith('wagtailtack_customer_requests_total{'));
		expect(lines).toHaveLength(21);
		expect(lines.at(-1)).toBe('wagtailtack_customer_requests_total{customer="other"} 9980');
	});
});

describe('traces', () => {
	it('are exported over OTLP when the settings name an endpoint', async () => {
		const paths: string[] = [];
		const collector = createServer((request, response) => {
			paths.push(`${request.method} ${request.url}`);
			request.resume();
			response.end('{}');
		});
		const {port} = await listen(collector, {host: '127.0.0.1', port: 0});
		const traces = createTraces('a1', `http://127.0.0.1:${port}/v1/traces`);
		traces.tracer.startSpan('request', {}, trace.deleteSpan(context.active())).end();
		await traces[Symbol.asyncDispose]();
		await closeAbruptly(collector);
		expect(paths).toEqual(['POST /v1/traces']);
	});
});
