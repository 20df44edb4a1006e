import {trace, type Tracer} from '@opentelemetry/api';
import {OTLPTraceExporter} from '@opentelemetry/exporter-trace-otlp-http';
import {resourceFromAttributes} from '@opentelemetry/resources';
import {BatchSpanProcessor, NodeTracerProvider} from '@opentelemetry/sdk-trace-node';

/** Tracer of one daemon; disposal shuts down the export of spans. */
export type Traces = AsyncDisposable & {
	readonly tracer: Tracer;
};

const tracerName = 'wagtailtack';
const maxQueuedSpans = 4096;
const exportTimeoutMs = 5000;

/** Creates the tracer. Spans are exported over OTLP/HTTP if an endpoint is given; otherwise only the trace context is propagated. */
export function createTraces(daemonId: string, endpoint: string | undefined): Traces {
	if (endpoint === undefined) {
		return {
			tracer: trace.getTracer(tracerName),
			async [Symbol.asyncDispose]() {
				// There is no exporter to shut down.
			},
		};
	}

	const exporter = new OTLPTraceExporter({url: endpoint, timeoutMillis: exportTimeoutMs});
	const provider = new NodeTracerProvider({
		resource: resourceFromAttributes({'service.name': tracerName, 'service.instance.id': daemonId}),
		spanProcessors: [new BatchSpanProcessor(exporter, {maxQueueSize: maxQueuedSpans, exportTimeoutMillis: exportTimeoutMs})],
	});
	return {
		tracer: provider.getTracer(tracerName),
		async [Symbol.asyncDispose]() {
			await provider.shutdown();
		},
	};
}
