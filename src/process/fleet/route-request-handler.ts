import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {setImmediate} from 'node:timers/promises';
import type {Either} from 'purify-ts';
import {CallerAnswer} from '../../connection/links/caller-answer.ts';
import type {CallerProtocol, Refusal} from '../../ports/caller-protocol.ts';
import type {CallerError} from '../../request/caller-error.ts';
import {ByteBudget} from '../../request/byte-budget.ts';
import {cancelOnDisconnect, cancelOnDeadline, combineSignals} from '../../request/cancellation.ts';
import {
	stopReason, type DeliveryResult, type DeliveryJob, type DeliveryDependencies,
} from '../../request/delivery/delivery.ts';
import {PlainDelivery} from '../../request/delivery/plain-delivery.ts';
import {identifyRouteRequest} from '../../request/delivery/route-request-identity.ts';
import type {RouteRequest} from '../../request/delivery/route-request.ts';
import {StreamDelivery} from '../../request/delivery/stream-delivery.ts';
import {readBody, type RequestBody} from '../../request/request-body.ts';
import type {Route} from '../../version/routes/route-configuration.ts';
import {chooseTarget, type RouteTable} from '../../version/routes/route-table.ts';
import type {Random} from '../random.ts';
import type {FleetMetrics} from './fleet-metrics.ts';
import type {RouteDurations} from './route-durations.ts';
import {crashRefusalMessages, type CrashRefusal} from './route-crashes.ts';
import type {OpenRequests, Shutdown, StopCounts} from './shutdown.ts';

/** Options of the request handler. */
export type RouteRequestHandlerOptions = {
	readonly dependencies: DeliveryDependencies;
	readonly protocol: CallerProtocol;
	readonly random: Random;
	readonly metrics: FleetMetrics;
	/** Active routes; undefined until a configuration has been received. */
	readonly routeTable: () => RouteTable | undefined;
	/** From its start each connection is closed with its next response; it decides which requests are still served. */
	readonly shutdown: () => Pick<Shutdown, 'hasStarted' | 'endRequestsAt' | 'canEnd'>;
	readonly durations: RouteDurations;
	/** Memory available for request bodies, in bytes. */
	readonly bodyBudgetBytes: number;
};

type BodyResult = Either<CallerError, RequestBody>;

/** One request with its response. */
type Exchange = {
	readonly message: IncomingMessage;
	readonly response: ServerResponse;
	readonly arrivedAt: number;
};

/** A request that has been taken and has not ended. */
type TakenRequest = {
	readonly route: Route;
	readonly arrivedAt: number;
	readonly callerDeadlineAt: number;
	/** Aborts the request. */
	readonly controller: AbortController;
	/** Aborts the request unless it has been sent. */
	readonly startController: AbortController;
};

/** Retry delay when no configuration is known or memory for bodies is short. */
const defaultRetryMs = 500;
/** Retry delay while shutting down; short because the load balancer no longer routes to this daemon, so a new connection reaches another one. */
const closingRetryMs = 50;
/** Limit on request bodies until a configuration has been received. */
const defaultBodyBytes = 4_194_304;

/** Receives callers' requests, matches them to routes and delivers them. */
export class RouteRequestHandler implements OpenRequests {
	readonly #options: RouteRequestHandlerOptions;
	readonly #budget: ByteBudget;
	/** Number of requests per connection that have been read but not answered. */
	readonly #unansweredRequests = new WeakMap<Socket, number>();
	/** Connections that a response has announced to be closed. */
	readonly #closingSockets = new WeakSet<Socket>();
	readonly #takenRequests = new Set<TakenRequest>();
	/** Ends the wait for a body that is being read. */
	readonly #bodyWaits = new Set<() => void>();
	readonly #stopCounts = {
		refusedOnArrival: 0, refused: 0, failed: 0, brokenOff: 0,
	};

	#openRequests = 0;

	constructor(options: RouteRequestHandlerOptions) {
		this.#options = options;
		this.#budget = new ByteBudget(options.bodyBudgetBytes);
	}

	/** Requests that the shutdown has ended so far. */
	get stopCounts(): StopCounts {
		return {...this.#stopCounts};
	}

	/** Number of requests in flight. */
	get openRequests(): number {
		return this.#openRequests;
	}

	refuseUnsent(): void {
		for (const {route, arrivedAt, callerDeadlineAt, startController} of this.#takenRequests) {
			if (!this.#canEnd(route, arrivedAt, callerDeadlineAt)) {
				startController.abort(stopReason);
			}
		}
	}

	endAll(): void {
		for (const {controller} of this.#takenRequests) {
			controller.abort(stopReason);
		}

		for (const endWait of this.#bodyWaits) {
			endWait();
		}
	}

	/** Handles one request until its response has been sent; never rejects. */
	async handle(message: IncomingMessage, response: ServerResponse): Promise<void> {
		const {dependencies} = this.#options;
		response.on('error', () => {
			response.destroy();
		});
		const {socket} = message;
		if (this.#closingSockets.has(socket)) {
			// The previous response told the caller that the connection closes, so this request must not run.
			return;
		}

		this.#openRequests += 1;
		this.#unansweredRequests.set(socket, (this.#unansweredRequests.get(socket) ?? 0) + 1);
		try {
			await this.#serve({message, response, arrivedAt: dependencies.clock.now()});
			await waitUntilSent(response);
		} catch (error) {
			response.destroy();
			if (message.complete) {
				// The handler threw; no crash of an upstream is meant.
				dependencies.log.write('request.crashed', {cause: error instanceof Error ? error.stack : String(error)});
			}
		} finally {
			this.#openRequests -= 1;
			this.#unansweredRequests.set(socket, (this.#unansweredRequests.get(socket) ?? 1) - 1);
		}
	}

	/** Closes the connection with this response if the daemon is shutting down and no further request has been read on it. */
	#announceClose({socket}: IncomingMessage, response: ServerResponse): void {
		if (this.#options.shutdown().hasStarted && this.#unansweredRequests.get(socket) === 1) {
			response.shouldKeepAlive = false;
			this.#closingSockets.add(socket);
		}
	}

	async #serve(exchange: Exchange): Promise<void> {
		const {message, response, arrivedAt} = exchange;
		const {routeTable, dependencies, protocol} = this.#options;
		const limit = routeTable()?.limits.bodyBytes ?? defaultBodyBytes;
		const body = await this.#readBody(message, limit);
		if (body === undefined) {
			this.#stopCounts.refused += 1;
			this.#refuse(exchange, protocol.decode(message, new Uint8Array(0)), createStopRefusal());
			return;
		}

		await body.caseOf({
			Left: async ({status}) => {
				const request = protocol.decode(message, new Uint8Array(0));
				const isTooLarge = status === 413;
				this.#refuse(exchange, request, isTooLarge
					? createRefusal('tooLarge', 'The body is too large.')
					: createRefusal('busy', 'Too many request bodies are being received.', defaultRetryMs));
			},
			Right: async value => {
				using _body = value;
				const request = protocol.decode(message, value.bytes);
				const table = routeTable();
				const route = table?.match(request.host, request.target);
				const refusal = this.#findRefusal(table, route, arrivedAt, getDeadline(exchange, request, route));
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

	/** Reads the body of a request; undefined if the shutdown ends first. */
	async #readBody(message: IncomingMessage, maxBodyBytes: number): Promise<BodyResult | undefined> {
		const {promise, resolve} = Promise.withResolvers<undefined>();
		const endWait = () => {
			resolve(undefined);
		};

		this.#bodyWaits.add(endWait);
		try {
			const reading = readBody(message, {maxBodyBytes, budget: this.#budget});
			const body = await Promise.race([reading, promise]);
			if (body === undefined) {
				void releaseBody(reading);
			}

			return body;
		} finally {
			this.#bodyWaits.delete(endWait);
		}
	}

	#findRefusal(table: RouteTable | undefined, route: Route | undefined, arrivedAt: number, deadlineAt: number): Refusal | undefined {
		if (table === undefined) {
			// `unprepared`: kind of a refusal without a configuration; it is logged and counted under this name.
			return createRefusal('unprepared', 'No configuration is known yet.', defaultRetryMs);
		}

		if (route === undefined) {
			return undefined;
		}

		if (this.#canEnd(route, arrivedAt, deadlineAt)) {
			return undefined;
		}

		this.#stopCounts.refusedOnArrival += 1;
		return createStopRefusal();
	}

	/** True if a request that has not been sent can end before the daemon exits. */
	#canEnd({name, kind, targetLatencyMs}: Route, arrivedAt: number, deadlineAt: number): boolean {
		const {dependencies: {clock}, shutdown, durations} = this.#options;
		if (!shutdown().hasStarted) {
			return true;
		}

		const now = clock.now();
		return shutdown().canEnd({
			kind, targetLatencyMs, remainingMs: deadlineAt - now, usualMs: durations.usualMs(name, now),
		}, arrivedAt);
	}

	async #deliver(exchange: Exchange, {request, identity}: Pick<DeliveryJob, 'request' | 'identity'>, route: Route, service: string): Promise<void> {
		const {dependencies, metrics} = this.#options;
		const {message, response, arrivedAt} = exchange;
		const controller = new AbortController();
		const startController = new AbortController();
		const callerDeadlineAt = getDeadline(exchange, request, route);
		const deadlineAt = Math.min(callerDeadlineAt, this.#options.shutdown().endRequestsAt);
		using start = combineSignals(controller.signal, startController.signal);
		using _taken = this.#track({
			route, arrivedAt, callerDeadlineAt, controller, startController,
		});
		using _caller = cancelOnDisconnect(message, response, controller);
		using _deadline = cancelOnDeadline(Math.max(0, deadlineAt - dependencies.clock.now()), controller);
		await readPendingEvents();
		dependencies.retryBudget.earn(service, dependencies.clock.now());
		const job: DeliveryJob = {
			request, identity, route, service, arrivedAt, deadlineAt, answer: this.#createAnswer(message, response, request.id), signal: controller.signal, startSignal: start.signal,
		};
		const delivery = route.kind === 'stream' && dependencies.scheduler.isModelService(service) ? new StreamDelivery(dependencies, job) : new PlainDelivery(dependencies, job);
		const result = await delivery.run();
		this.#logResult(request, route, result, arrivedAt);
		if (start.signal.reason === stopReason && isEndedByDaemon(result.outcome)) {
			this.#stopCounts[result.outcome] += 1;
		}

		const endedAt = dependencies.clock.now();
		metrics.requestEnded(route, result, endedAt - arrivedAt);
		if (result.outcome === 'delivered') {
			this.#options.durations.record(route.name, endedAt - arrivedAt, endedAt);
		}
	}

	#track(taken: TakenRequest): Disposable {
		this.#takenRequests.add(taken);
		return {
			[Symbol.dispose]: () => {
				this.#takenRequests.delete(taken);
			},
		};
	}

	#logResult(request: RouteRequest, route: Route, result: DeliveryResult, arrivedAt: number): void {
		const {dependencies} = this.#options;
		dependencies.log.write('request.ended', {
			request: request.id,
			route: route.name,
			outcome: result.outcome,
			reason: result.reason,
			runs: result.possibleRuns,
			sends: result.sends,
			firstAnswerMs: result.firstAnswerMs === undefined ? undefined : Math.round(result.firstAnswerMs),
			targetMs: route.targetLatencyMs,
			totalMs: Math.round(dependencies.clock.now() - arrivedAt),
		});
	}

	#createAnswer(message: IncomingMessage, response: ServerResponse, requestId: string): CallerAnswer {
		return new CallerAnswer(response, this.#options.protocol, requestId, () => {
			this.#announceClose(message, response);
		});
	}

	/** Refuses a request before it is placed; `crash` is given for one that may crash upstreams. */
	#refuse({message, response, arrivedAt}: Exchange, request: RouteRequest, refusal: Refusal, crash?: CrashRefusal & {readonly fingerprint: string}): void {
		const {dependencies, metrics} = this.#options;
		this.#createAnswer(message, response, request.id).refuse(refusal);
		dependencies.log.write('request.refused', {
			request: request.id, host: request.host, target: request.target, kind: refusal.kind, reason: refusal.message, configuration: this.#options.routeTable()?.version, fingerprint: crash?.fingerprint, promptParts: crash?.promptParts,
		});
		metrics.requestRefused(crash?.status ?? refusal.kind, dependencies.clock.now() - arrivedAt);
	}
}

/** Time at which the caller or the route gives up, in milliseconds of the clock. */
function getDeadline({arrivedAt}: Exchange, {callerTimeoutMs}: RouteRequest, route: Route | undefined): number {
	return arrivedAt + Math.min(callerTimeoutMs ?? Number.POSITIVE_INFINITY, route?.timeoutMs ?? Number.POSITIVE_INFINITY);
}

function createStopRefusal(): Refusal {
	return createRefusal('busy', 'The daemon is stopping.', closingRetryMs);
}

function isEndedByDaemon(outcome: DeliveryResult['outcome']): outcome is 'refused' | 'failed' | 'brokenOff' {
	return outcome === 'refused' || outcome === 'failed' || outcome === 'brokenOff';
}

/** Returns the bytes of a body that nobody waits for any more to the byte budget. */
async function releaseBody(reading: Promise<BodyResult>): Promise<void> {
	try {
		const body = await reading;
		body.ifRight(value => {
			value[Symbol.dispose]();
		});
	} catch {
		// The connection was closed, and its bytes have been returned.
	}
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
