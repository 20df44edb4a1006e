import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {CallerAnswer} from '../../connection/links/caller-answer.ts';
import type {CallerProtocol, Refusal} from '../../ports/caller-protocol.ts';
import {ByteBudget} from '../../request/byte-budget.ts';
import {cancelOnDisconnect, cancelOnDeadline} from '../../request/cancellation.ts';
import type {DeliveryResult, DeliveryJob, DeliveryDependencies} from '../../request/delivery/delivery.ts';
import {PlainDelivery} from '../../request/delivery/plain-delivery.ts';
import type {RouteRequest} from '../../request/delivery/route-request.ts';
import {StreamDelivery} from '../../request/delivery/stream-delivery.ts';
import {readBody} from '../../request/request-body.ts';
import type {Route} from '../../version/routes/route-configuration.ts';
import {chooseTarget, type RouteTable} from '../../version/routes/route-table.ts';
import type {Random} from '../random.ts';
import type {FleetMetrics} from './fleet-metrics.ts';

/** What the front needs from the rest of the daemon. */
export type RouteRequestHandlerOptions = {
	readonly dependencies: DeliveryDependencies;
	readonly protocol: CallerProtocol;
	readonly random: Random;
	readonly metrics: FleetMetrics;
	/** Routes in force; undefined until a configuration is known. */
	readonly routeTable: () => RouteTable | undefined;
	/** True once the daemon is to stop: connections are ended with their next answer. */
	readonly isStopping: () => boolean;
	/** True once the daemon is about to stop and takes no new requests. */
	readonly isClosing: () => boolean;
	/** Memory for request bodies, in bytes. */
	readonly bodyBudgetBytes: number;
};

/** One request at the front. */
type Exchange = {
	readonly message: IncomingMessage;
	readonly response: ServerResponse;
	readonly arrivedAt: number;
};

const refusalRetryMs = 500;
/** A stopping daemon is out of the balancer's rotation, so that a new connection reaches another one. */
const closingRetryMs = 50;
const defaultBodyBytes = 4_194_304;

/** Takes callers' requests, finds their route and delivers them. */
export class RouteRequestHandler {
	readonly #options: RouteRequestHandlerOptions;
	readonly #budget: ByteBudget;
	/** Requests of each connection that were read and not answered. */
	readonly #unansweredRequests = new WeakMap<Socket, number>();
	/** Connections whose caller was told that they end. */
	readonly #closingSockets = new WeakSet<Socket>();
	#openRequests = 0;

	constructor(options: RouteRequestHandlerOptions) {
		this.#options = options;
		this.#budget = new ByteBudget(options.bodyBudgetBytes);
	}

	/** Requests that are being served. */
	get openRequests(): number {
		return this.#openRequests;
	}

	/** Handles one request from start to end; never rejects. */
	async handle(message: IncomingMessage, response: ServerResponse): Promise<void> {
		const {dependencies: tools} = this.#options;
		response.on('error', () => {
			response.destroy();
		});
		const {socket} = message;
		if (this.#closingSockets.has(socket)) {
			// The answer before this request has told the caller that the connection ends: the request must not run.
			return;
		}

		this.#openRequests += 1;
		this.#unansweredRequests.set(socket, (this.#unansweredRequests.get(socket) ?? 0) + 1);
		try {
			await this.#serve({message, response, arrivedAt: tools.clock.now()});
			await waitUntilSent(response);
		} catch (error) {
			response.destroy();
			if (message.complete) {
				tools.log.write('request.crashed', {cause: error instanceof Error ? error.stack : String(error)});
			}
		} finally {
			this.#openRequests -= 1;
			this.#unansweredRequests.set(socket, (this.#unansweredRequests.get(socket) ?? 1) - 1);
		}
	}

	/** Ends the connection with this answer when the daemon is stopping, unless a further request was read on it. */
	#announceClose({socket}: IncomingMessage, response: ServerResponse): void {
		if (this.#options.isStopping() && this.#unansweredRequests.get(socket) === 1) {
			response.shouldKeepAlive = false;
			this.#closingSockets.add(socket);
		}
	}

	async #serve(exchange: Exchange): Promise<void> {
		const {message, response} = exchange;
		const {routeTable: routes, dependencies: tools, protocol} = this.#options;
		const limit = routes()?.limits.bodyBytes ?? defaultBodyBytes;
		const body = await readBody(message, {maxBodyBytes: limit, budget: this.#budget});
		await body.caseOf({
			Left: async ({status}) => {
				const request = protocol.decode(message, new Uint8Array(0));
				const isTooLarge = status === 413;
				this.#refuse(exchange, request, isTooLarge
					? createRefusal('tooLarge', 'The body is too large.')
					: createRefusal('busy', 'Too many request bodies are being received.', refusalRetryMs));
			},
			Right: async value => {
				using _body = value;
				const request = protocol.decode(message, value.bytes);
				const table = routes();
				const route = table?.match(request.host, request.target);
				const own = this.#findRefusal(request, table, route);
				if (own !== undefined || route === undefined) {
					this.#refuse(exchange, request, own ?? createRefusal('noRoute', 'No route matches.'));
					return;
				}

				const service = chooseTarget(route, this.#options.random.next());
				tools.log.write('request.received', {
					request: request.id, route: route.name, kind: route.kind, service, configuration: table?.version, waitMs: request.callerTimeoutMs, promptTokens: request.prompt?.tokens,
				});
				await this.#deliver(exchange, request, route, service ?? '');
			},
		});
	}

	#findRefusal(request: RouteRequest, table: RouteTable | undefined, route: Route | undefined): Refusal | undefined {
		if (table === undefined) {
			return createRefusal('unprepared', 'No configuration is known yet.', refusalRetryMs);
		}

		if (route === undefined) {
			return undefined;
		}

		if (this.#options.isClosing()) {
			return createRefusal('busy', 'The daemon is stopping.', closingRetryMs);
		}

		return this.#options.dependencies.crashes.isCondemned(request)
			? createRefusal('busy', 'The request has crashed upstreams and is not sent again.', refusalRetryMs)
			: undefined;
	}

	async #deliver({message, response, arrivedAt}: Exchange, request: RouteRequest, route: Route, service: string): Promise<void> {
		const {dependencies: tools, metrics} = this.#options;
		const controller = new AbortController();
		const endAt = arrivedAt + Math.min(request.callerTimeoutMs ?? Number.POSITIVE_INFINITY, route.timeoutMs);
		using _caller = cancelOnDisconnect(message, response, controller);
		using _deadline = cancelOnDeadline(Math.max(0, endAt - tools.clock.now()), controller);
		tools.retryBudget.earn(service, tools.clock.now());
		const job: DeliveryJob = {
			request, route, service, arrivedAt, deadlineAt: endAt, answer: this.#createAnswer(message, response, request.id), signal: controller.signal,
		};
		const delivery = route.kind === 'stream' && tools.scheduler.isModelService(service) ? new StreamDelivery(tools, job) : new PlainDelivery(tools, job);
		const end = await delivery.run();
		this.#logEnd(request, route, end, arrivedAt);
		metrics.requestEnded(route, end, tools.clock.now() - arrivedAt);
	}

	#logEnd(request: RouteRequest, route: Route, end: DeliveryResult, arrivedAt: number): void {
		const {dependencies: tools} = this.#options;
		tools.log.write('request.ended', {
			request: request.id,
			route: route.name,
			outcome: end.outcome,
			reason: end.reason,
			runs: end.runs,
			sends: end.sends,
			firstAnswerMs: end.firstAnswerMs === undefined ? undefined : Math.round(end.firstAnswerMs),
			targetMs: route.targetLatencyMs,
			totalMs: Math.round(tools.clock.now() - arrivedAt),
		});
	}

	#createAnswer(message: IncomingMessage, response: ServerResponse, requestId: string): CallerAnswer {
		return new CallerAnswer(response, this.#options.protocol, requestId, () => {
			this.#announceClose(message, response);
		});
	}

	#refuse({message, response, arrivedAt}: Exchange, request: RouteRequest, own: Refusal): void {
		const {dependencies: tools, metrics} = this.#options;
		this.#createAnswer(message, response, request.id).refuse(own);
		tools.log.write('request.refused', {
			request: request.id, host: request.host, target: request.target, kind: own.kind, reason: own.message, configuration: this.#options.routeTable()?.version,
		});
		metrics.requestRefused(own.kind, tools.clock.now() - arrivedAt);
	}
}

function createRefusal(kind: Refusal['kind'], message: string, retryAfterMs?: number): Refusal {
	return {
		ran: 'notRun', kind, message, retryAfterMs,
	};
}

/** Resolves once the answer was handed to the system, or its connection has ended. */
async function waitUntilSent(response: ServerResponse): Promise<void> {
	if (response.writableFinished || response.destroyed || !response.writableEnded) {
		return;
	}

	await new Promise<void>(resolve => {
		response.once('finish', resolve);
		response.once('close', resolve);
	});
}
