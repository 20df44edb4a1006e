import type {IncomingHttpHeaders} from 'node:http';
import {
	defaultTextMapGetter, defaultTextMapSetter, ROOT_CONTEXT, SpanKind, SpanStatusCode, trace, type Attributes, type Context, type Span, type Tracer,
} from '@opentelemetry/api';
import {W3CTraceContextPropagator} from '@opentelemetry/core';

const propagator = new W3CTraceContextPropagator();

/** Trace spans of one request: one for the request and one for each step. Keys, prompts and answers are never recorded. */
export class RequestTrace implements Disposable {
	readonly #tracer: Tracer;
	readonly #span: Span;
	readonly #context: Context;

	/** Starts the request's span, as a child of the caller's `traceparent` if there is one. */
	constructor(tracer: Tracer, headers: IncomingHttpHeaders, requestId: string) {
		const parent = propagator.extract(ROOT_CONTEXT, headers, defaultTextMapGetter);
		this.#tracer = tracer;
		this.#span = tracer.startSpan('request', {kind: SpanKind.SERVER, attributes: {'request.id': requestId}}, parent);
		this.#context = trace.setSpan(parent, this.#span);
	}

	/** Adds attributes to the request's span. */
	setAttributes(attributes: Attributes): void {
		this.#span.setAttributes(attributes);
	}

	/** Runs one step in its own span; `headers` propagate the trace to the next process. */
	async traceHop<Result>(
		name: 'queue' | 'claim' | 'attempt',
		run: (hop: {readonly span: Span; readonly headers: Readonly<Record<string, string>>}) => Promise<Result>,
	): Promise<Result> {
		const kind = name === 'attempt' ? SpanKind.CLIENT : SpanKind.INTERNAL;
		const span = this.#tracer.startSpan(name, {kind}, this.#context);
		const headers: Record<string, string> = {};
		propagator.inject(trace.setSpan(this.#context, span), headers, defaultTextMapSetter);
		try {
			return await run({span, headers});
		} finally {
			span.end();
		}
	}

	/** Runs the routing decision in its own span. */
	traceRouting<Result>(run: () => Result): Result {
		const span = this.#tracer.startSpan('route', {}, this.#context);
		try {
			return run();
		} finally {
			span.end();
		}
	}

	/** Marks the request as failed with a stable error code. */
	fail(code: string): void {
		this.#span.setStatus({code: SpanStatusCode.ERROR, message: code});
	}

	[Symbol.dispose](): void {
		this.#span.end();
	}
}
