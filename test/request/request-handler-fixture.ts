import type {ServerResponse} from 'node:http';
import {trace} from '@opentelemetry/api';
import {createCallerServer, type CallerServerOptions} from '../../src/connection/caller-server.ts';
import {closeAbruptly, listen} from '../../src/connection/http-listener.ts';
import {UpstreamPool} from '../../src/connection/upstream-pool.ts';
import type {Host} from '../../src/ports/host-list.ts';
import {SystemClock} from '../../src/process/clock.ts';
import {hashKey} from '../../src/process/key-directory.ts';
import {createLog} from '../../src/process/create-log.ts';
import {Metrics} from '../../src/process/metrics.ts';
import {RequestHandler, type RequestHandlerOptions} from '../../src/process/request-handler.ts';
import {UnlimitedAdmission} from '../../src/request/admission.ts';
import {CallerBudget} from '../../src/request/caller-budget.ts';
import {UnavailableClaimStore} from '../../src/request/claim-store.ts';
import {DisabledCrashRegistry} from '../../src/request/crash-registry.ts';
import {RetryBudget} from '../../src/request/retry-budget.ts';
import {LeastOutstandingRouter} from '../../src/request/router.ts';

/** A request handler that listens on a real socket and dispatches to the given hosts. */
export type RequestHandlerFixture = AsyncDisposable & {
	readonly port: number;
	readonly url: string;
	readonly handler: RequestHandler;
	/** Number of responses that wait for their caller to read. */
	readonly pausedStreams: number;
	readonly metrics: Metrics;
};

/** API key that the fixture accepts. */
export const fixtureKey = 'fixture-key';

const ignore = () => {
	// There is no membership that could learn from connections.
};

const unobserved = {
	onConnected: ignore, onConnectTimeout: ignore, onLeaving: ignore, onRefused: ignore, onSilentConnections: ignore,
};

/** Starts the fixture; options override the defaults. */
export async function createRequestHandlerFixture(
	hosts: readonly Host[],
	options: Partial<RequestHandlerOptions> = {},
	serverOptions: Partial<CallerServerOptions> = {},
): Promise<RequestHandlerFixture> {
	const dispatcher = new UpstreamPool(new SystemClock(), unobserved);
	const metrics = new Metrics();
	const front = new RequestHandler({
		log: createLog('error', 'hidden'),
		clock: new SystemClock(),
		dispatcher,
		metrics,
		tracer: trace.getTracer('test'),
		bodyLimits: {maxBodyBytes: 64 * 1024, budget: new CallerBudget(1024 * 1024)},
		keys: () => new Map([[hashKey(fixtureKey), 'customer-a']]),
		models: () => hosts.map(host => host.serves),
		upstreams: call => hosts.filter(host => host.serves === (call.kind === 'model' ? call.model : call.service)),
		isReady: () => true,
		isUnrepeatableRoute: () => false,
		admission: new UnlimitedAdmission(),
		claimStore: new UnavailableClaimStore(),
		crashRegistry: new DisabledCrashRegistry(),
		router: new LeastOutstandingRouter(),
		retryBudget: new RetryBudget(),
		listeners: [metrics],
		...options,
	});
	const responses = new Set<ServerResponse>();
	const server = createCallerServer({maxHeaderBytes: 16 * 1024, ...serverOptions}, (request, response) => {
		responses.add(response);
		response.once('close', () => {
			responses.delete(response);
		});
		void front.handle(request, response);
	});
	const {port} = await listen(server, {host: '127.0.0.1', port: 0});
	return {
		port,
		url: `http://127.0.0.1:${port}`,
		handler: front,
		get pausedStreams() {
			return [...responses].filter(response => response.writableNeedDrain).length;
		},
		metrics,
		async [Symbol.asyncDispose]() {
			await closeAbruptly(server);
			await dispatcher[Symbol.asyncDispose]();
		},
	};
}
