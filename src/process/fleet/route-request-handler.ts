import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {setImmediate} from 'node:timers/promises';
import type {ClosedConnection} from '../../connection/caller-server.ts';
import {CallerAnswer} from '../../connection/links/caller-answer.ts';
import type {CallerProtocol, Refusal} from '../../ports/caller-protocol.ts';
import {ByteBudget} from '../../request/byte-budget.ts';
import {cancelOnDisconnect, cancelOnDeadline} from '../../request/cancellation.ts';
import type {DeliveryResult, DeliveryJob, DeliveryDependencies} from '../../request/delivery/delivery.ts';
import {PlainDelivery} from '../../request/delivery/plain-delivery.ts';
import {identifyRouteRequest} from '../../request/delivery/route-request-identity.ts';
import type {RouteRequest} from '../../request/delivery/route-request.ts';
import {StreamDelivery} from '../../request/delivery/stream-delivery.ts';
import {OpenRequest, type RequestOutcome} from '../../request/open-request.ts';
import {readBody} from '../../request/request-body.ts';
import type {Route} from '../../version/routes/route-configuration.ts';
import {chooseTarget, type RouteTable} from '../../version/routes/route-table.ts';
import type {Random} from '../random.ts';
import type {FleetMetrics} from './fleet-metrics.ts';
import {crashRefusalMessages, type CrashRefusal} from './route-crashes.ts';

/** Options of the request handler. */
export type RouteRequestHandlerOptions = {
	readonly dependencies: DeliveryDependencies;
	readonly protocol: CallerProtocol;
	readonly random: Random;
	readonly metrics: FleetMetrics;
	/** Active routes; undefined until a configuration has been received. */
	readonly routeTable: () => RouteTable | undefined;
	/** True from the start of the shutdown: each connection is closed with its next response. Requests are still served at first. */
	readonly closesConnections: () => boolean;
	/** True later in the shutdown: new requests are refused. */
	readonly refusesRequests: () => boolean;
	/** Memory available for request bodies, in bytes. */
	readonly bodyBudgetBytes: number;
};

/** One request with its response. */
type Exchange = {
	readonly message: IncomingMessage;
	readonly response: ServerResponse;
	readonly arrivedAt: number;
	readonly open: OpenRequest;
};

/** Retry delay when no configuration is known or memory for bodies is short. */
const defaultRetryMs = 500;
/** Retry delay while shutting down; short because the load balancer no longer routes to this daemon, so a new connection reaches another one. */
const closingRetryMs = 50;
/** Ids of requests in a log line about a closed connection, at most. */
const maxLoggedRequests = 8;
/** Limit on request bodies until a configuration has been received. */
const defaultBodyBytes = 4_194_304;
const emptyBody = new Uint8Array(0);

/** Receives callers' requests, matches them to routes and delivers them. */
export class RouteRequestHandler {
	readonly #options: RouteRequestHandlerOptions;
	readonly #budget: ByteBudget;
	/** Number of requests per connection that have been read but not answered. */
	readonly #unansweredRequests = new WeakMap<Socket, number>();
	/** Connections that a response has announced to be closed. */
	readonly #closingSockets = new WeakSet<Socket>();
	readonly #open = new WeakMap<ServerResponse, OpenRequest>();
	#openRequests = 0;

	constructor(options: RouteRequestHandlerOptions) {
		this.#options = options;
		this.#budget = new ByteBudget(options.bodyBudgetBytes);
	}

	/** Number of requests in flight. */
	get openRequests(): number {
		return this.#openRequests;
	}

	/** Handles one request until its response has been sent; never rejects. */
	async handle(message: IncomingMessage, response: ServerResponse): Promise<void> {
		const {dependencies} = this.#options;
		response.on('error', () => {
			response.destroy();
		});
		const {socket} = message;
		const exchange = {
			message, response, arrivedAt: dependencies.clock.now(), open: new OpenRequest(),
		};
		this.#open.set(response, exchange.open);
		if (this.#closingSockets.has(socket)) {
			// The previous response told the caller that the connection closes, so this request must not run.
			exchange.open.id = this.#options.protocol.decode(message, emptyBody).id;
			this.#end(exchange, 'connectionClosing', {reason: 'The previous response closed the connection.', runs: 0, sends: 0});
			return;
		}

		this.#openRequests += 1;
		this.#unansweredRequests.set(socket, (this.#unansweredRequests.get(socket) ?? 0) + 1);
		try {
			await this.#serve(exchange);
			await waitUntilSent(response);
		} catch (error) {
			response.destroy();
			if (message.complete) {
				// The handler threw; no crash of an upstream is meant.
				dependencies.log.write('request.crashed', {request: exchange.open.id, cause: error instanceof Error ? error.stack : String(error)});
				this.#end(exchange, 'handlerError', {reason: 'The daemon failed.'});
			}
		} finally {
			this.#openRequests -= 1;
			this.#unansweredRequests.set(socket, (this.#unansweredRequests.get(socket) ?? 1) - 1);
		}
	}

	/** Logs and counts the requests without a complete answer on a connection that has closed. */
	connectionClosed({reason, refusedStatus, unfinished}: ClosedConnection): void {
		const {dependencies, metrics} = this.#options;
		const requests = unfinished.map(response => this.#open.get(response)).filter(open => open !== undefined);
		if (reason === 'callerLeft') {
			return;
		}

		for (const open of requests) {
			if (open.isWhole && open.outcome !== 'callerGone' && !open.isCutByUpstream) {
				metrics.requestUnanswered();
			}
		}

		dependencies.log.write('connection.closed', {
			reason: findAnswerFault(requests) ?? reason,
			status: refusedStatus,
			unanswered: requests.length,
			whole: requests.filter(({isWhole}) => isWhole).length,
			requests: requests.slice(0, maxLoggedRequests).map(({id}) => id),
		});
	}

	/** Closes the connection with this response if the daemon is shutting down and no further request has been read on it. */
	#announceClose({socket}: IncomingMessage, response: ServerResponse): void {
		if (this.#options.closesConnections() && this.#unansweredRequests.get(socket) === 1) {
			response.shouldKeepAlive = false;
			this.#closingSockets.add(socket);
		}
	}

	async #serve(exchange: Exchange): Promise<void> {
		const {message, response} = exchange;
		const {routeTable, dependencies, protocol, metrics} = this.#options;
		const limit = routeTable()?.limits.bodyBytes ?? defaultBodyBytes;
		exchange.open.id = protocol.decode(message, emptyBody).id;
		const body = await readBody(message, {maxBodyBytes: limit, budget: this.#budget});
		await body.caseOf({
			Left: async ({status}) => {
				const request = protocol.decode(message, emptyBody);
				const isTooLarge = status === 413;
				this.#refuse(exchange, request, isTooLarge
					? createRefusal('tooLarge', 'The body is too large.')
					: createRefusal('busy', 'Too many request bodies are being received.', defaultRetryMs));
			},
			Right: async value => {
				using _body = value;
				exchange.open.isWhole = true;
				metrics.requestRead();
				const request = protocol.decode(message, value.bytes);
				const table = routeTable();
				const route = table?.match(request.host, request.target);
				const refusal = this.#findRefusal(table, route);
				if (refusal !== undefined || route === undefined) {
					this.#refuse(exchange, request, refusal ?? createRefusal('noRoute', 'No route matches.'));
					return;
				}

				const identity = identifyRouteRequest(request);
				const crashRefusal = dependencies.crashes.findRefusal(identity);
				if (crashRefusal !== undefined) {
					this.#refuse(exchange, request, createRefusal('busy', crashRefusalMessages[crashRefusal.status], crashRefusal.retryAfterMs), {fingerprint: identity.fingerprint, ...crashRefusal});
					return;
				}

				const service = chooseTarget(route, this.#options.random.next());
				// `waitMs`: the caller's timeout.
				dependencies.log.write('request.received', {
					request: request.id, route: route.name, kind: route.kind, service, configuration: table?.version, waitMs: request.callerTimeoutMs, promptTokens: request.prompt?.tokens,
				});
				await this.#deliver(exchange, {request, identity}, route, service ?? '');
			},
		});
	}

	#findRefusal(table: RouteTable | undefined, route: Route | undefined): Refusal | undefined {
		if (table === undefined) {
			// `unprepared`: kind of a refusal without a configuration; it is logged and counted under this name.
			return createRefusal('unprepared', 'No configuration is known yet.', defaultRetryMs);
		}

		if (route === undefined) {
			return undefined;
		}

		return this.#options.refusesRequests() ? createRefusal('busy', 'The daemon is stopping.', closingRetryMs) : undefined;
	}

	async #deliver(exchange: Exchange, {request, identity}: Pick<DeliveryJob, 'request' | 'identity'>, route: Route, service: string): Promise<void> {
		const {message, response, arrivedAt, open} = exchange;
		const {dependencies, metrics} = this.#options;
		const controller = new AbortController();
		const deadlineAt = arrivedAt + Math.min(request.callerTimeoutMs ?? Number.POSITIVE_INFINITY, route.timeoutMs);
		using _caller = cancelOnDisconnect(message, response, controller);
		using _deadline = cancelOnDeadline(Math.max(0, deadlineAt - dependencies.clock.now()), controller);
		await readPendingEvents();
		dependencies.retryBudget.earn(service, dependencies.clock.now());
		const job: DeliveryJob = {
			request, identity, route, service, arrivedAt, deadlineAt, answer: this.#createAnswer(exchange, request.id), signal: controller.signal,
		};
		const delivery = route.kind === 'stream' && dependencies.scheduler.isModelService(service) ? new StreamDelivery(dependencies, job) : new PlainDelivery(dependencies, job);
		const result = await delivery.run();
		open.isCutByUpstream = result.isCutByUpstream ?? false;
		this.#end(exchange, result.outcome, {
			route: route.name,
			reason: result.reason,
			runs: result.possibleRuns,
			sends: result.sends,
			lastUpstream: result.lastSend?.upstream,
			lastOutcome: result.lastSend?.outcome,
			firstAnswerMs: result.firstAnswerMs === undefined ? undefined : Math.round(result.firstAnswerMs),
			targetMs: route.targetLatencyMs,
		});
		metrics.requestEnded(route, result, dependencies.clock.now() - arrivedAt);
	}

	/** Records the outcome of a request. */
	#end({open, arrivedAt}: Exchange, outcome: RequestOutcome, fields: Readonly<Record<string, unknown>>): void {
		const {dependencies, metrics} = this.#options;
		open.outcome = outcome;
		metrics.outcomeKnown(outcome);
		dependencies.log.write('request.ended', {
			request: open.id, outcome, ...fields, totalMs: Math.round(dependencies.clock.now() - arrivedAt),
		});
	}

	#createAnswer({message, response, open}: Exchange, requestId: string): CallerAnswer {
		open.answer = new CallerAnswer(response, this.#options.protocol, requestId, () => {
			this.#announceClose(message, response);
		});
		return open.answer;
	}

	/** Refuses a request before it is placed; `crash` is given for one that may crash upstreams. */
	#refuse(exchange: Exchange, request: RouteRequest, refusal: Refusal, crash?: CrashRefusal & {readonly fingerprint: string}): void {
		const {dependencies, metrics} = this.#options;
		this.#createAnswer(exchange, request.id).refuse(refusal);
		dependencies.log.write('request.refused', {
			request: request.id, host: request.host, target: request.target, kind: refusal.kind, reason: refusal.message, configuration: this.#options.routeTable()?.version, fingerprint: crash?.fingerprint, promptParts: crash?.promptParts,
		});
		metrics.requestRefused(crash?.status ?? refusal.kind, dependencies.clock.now() - exchange.arrivedAt);
		this.#end(exchange, exchange.open.isWhole ? 'refused' : 'refusedUnread', {reason: refusal.message, runs: 0, sends: 0});
	}
}

/** Reason of a close that the answers explain: the handler failed, or an answer was broken off. */
function findAnswerFault(requests: readonly OpenRequest[]): 'handlerError' | 'brokenOff' | undefined {
	if (requests.some(({outcome}) => outcome === 'handlerError')) {
		return 'handlerError';
	}

	return requests.some(({answer}) => answer?.isAborted === true) ? 'brokenOff' : undefined;
}

function createRefusal(kind: Refusal['kind'], message: string, retryAfterMs?: number): Refusal {
	return {
		ran: 'notRun', kind, message, retryAfterMs,
	};
}

/**
Resolves after the event loop has read all sockets once more.

A caller may have closed its connection before the daemon read its request; the end of the connection is read after the request.
*/
async function readPendingEvents(): Promise<void> {
	// The first call ends the current iteration of the event loop, the second one the next, which reads the sockets.
	await setImmediate();
	await setImmediate();
}

/** Resolves once the response has been handed to the operating system or its connection has closed; at once if the response was never ended. */
async function waitUntilSent(response: ServerResponse): Promise<void> {
	if (response.writableFinished || response.destroyed || !response.writableEnded) {
		return;
	}

	await new Promise<void>(resolve => {
		response.once('finish', resolve);
		response.once('close', resolve);
	});
}
