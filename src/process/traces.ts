import {trace, type Tracer} from '@opentelemetry/api';
import {OTLPTraceExporter} from '@opentelemetry/exporter-trace-otlp-http';
import {resourceFromAttributes} from '@opentelemetry/resources';
import {BatchSpanProcessor, NodeTracerProvider} from '@opentelemetry/sdk-trace-node';

/** Source of spans of one daemon. */
export type Traces = AsyncDisposable & {
	readonly tracer: Tracer;
};

const tracerName = 'wagtailtack';
const maxQueuedSpans = 4096;
const exportTimeoutMs = 5000;

/** Creates the traces; spans are exported over OTLP/HTTP when there is an endpoint, else only the trace context is passed on. */
export function createTraces(daemonId: string, endpoint: string | undefined): Traces {
	if (endpoint === undefined) {
		return {
			tracer: trace.getTracer(tracerName),
			async [Symbol.asyncDispose]() {
				// Nothing is exported.
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
