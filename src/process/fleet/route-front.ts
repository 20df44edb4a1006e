import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {CallerAnswer} from '../../connection/links/caller-answer.ts';
import type {CallerProtocol, Refusal} from '../../ports/caller-protocol.ts';
import {ByteBudget} from '../../request/byte-budget.ts';
import {watchCaller, watchDeadline} from '../../request/cancellation.ts';
import type {DeliveryEnd, DeliveryJob, DeliveryTools} from '../../request/delivery/delivery.ts';
import {PlainDelivery} from '../../request/delivery/plain-delivery.ts';
import type {RouteRequest} from '../../request/delivery/route-request.ts';
import {StreamDelivery} from '../../request/delivery/stream-delivery.ts';
import {readBody} from '../../request/request-body.ts';
import type {Route} from '../../version/routes/route-configuration.ts';
import {chooseTarget, type RouteTable} from '../../version/routes/route-table.ts';
import type {Random} from '../random.ts';
import type {FleetMetrics} from './fleet-metrics.ts';

/** What the front needs from the rest of the daemon. */
export type RouteFrontOptions = {
	readonly tools: DeliveryTools;
	readonly protocol: CallerProtocol;
	readonly random: Random;
	readonly metrics: FleetMetrics;
	/** Routes in force; undefined until a configuration is known. */
	readonly routes: () => RouteTable | undefined;
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

const unpreparedRetryMs = 500;
/** A stopping daemon is out of the balancer's rotation, so that a new connection reaches another one. */
const closingRetryMs = 50;
const defaultBodyBytes = 4_194_304;

/** Takes callers' requests, finds their route and delivers them. */
export class RouteFront {
	readonly #options: RouteFrontOptions;
	readonly #budget: ByteBudget;
	/** Requests of each connection that were read and not answered. */
	readonly #pending = new WeakMap<Socket, number>();
	/** Connections whose caller was told that they end. */
	readonly #closingSockets = new WeakSet<Socket>();
	#openRequests = 0;

	constructor(options: RouteFrontOptions) {
		this.#options = options;
		this.#budget = new ByteBudget(options.bodyBudgetBytes);
	}

	/** Requests that are being served. */
	get openRequests(): number {
		return this.#openRequests;
	}

	/** Handles one request from start to end; never rejects. */
	async handle(message: IncomingMessage, response: ServerResponse): Promise<void> {
		const {tools} = this.#options;
		response.on('error', () => {
			response.destroy();
		});
		const {socket} = message;
		if (this.#closingSockets.has(socket)) {
			// The answer before this request has told the caller that the connection ends: the request must not run.
			return;
		}

		this.#openRequests += 1;
		this.#pending.set(socket, (this.#pending.get(socket) ?? 0) + 1);
		try {
			await this.#serve({message, response, arrivedAt: tools.clock.now()});
			await whenSent(response);
		} catch (error) {
			response.destroy();
			if (message.complete) {
				tools.log.write('request.crashed', {cause: error instanceof Error ? error.stack : String(error)});
			}
		} finally {
			this.#openRequests -= 1;
			this.#pending.set(socket, (this.#pending.get(socket) ?? 1) - 1);
		}
	}

	/** Ends the connection with this answer when the daemon is stopping, unless a further request was read on it. */
	#announceClose({socket}: IncomingMessage, response: ServerResponse): void {
		if (this.#options.isStopping() && this.#pending.get(socket) === 1) {
			response.shouldKeepAlive = false;
			this.#closingSockets.add(socket);
		}
	}

	async #serve(exchange: Exchange): Promise<void> {
		const {message, response} = exchange;
		const {routes, tools, protocol} = this.#options;
		const limit = routes()?.limits.bodyBytes ?? defaultBodyBytes;
		const body = await readBody(message, {bodyBytes: limit, budget: this.#budget});
		await body.caseOf({
			Left: async ({status}) => {
				const request = protocol.decode(message, new Uint8Array(0));
				const isTooLarge = status === 413;
				this.#refuse(exchange, request, isTooLarge
					? refusal('tooLarge', 'The body is too large.')
					: refusal('busy', 'Too many request bodies are being received.', unpreparedRetryMs));
			},
			Right: async value => {
				using _body = value;
				const request = protocol.decode(message, value.bytes);
				const table = routes();
				const route = table?.match(request.host, request.target);
				const own = this.#findRefusal(request, table, route);
				if (own !== undefined || route === undefined) {
					this.#refuse(exchange, request, own ?? refusal('noRoute', 'No route matches.'));
					return;
				}

				const service = chooseTarget(route, this.#options.random.next());
				tools.log.write('request.received', {
					request: request.id, route: route.name, kind: route.kind, service, configuration: table?.version, waitMs: request.waitMs, promptTokens: request.prompt?.tokens,
				});
				await this.#deliver(exchange, request, route, service ?? '');
			},
		});
	}

	#findRefusal(request: RouteRequest, table: RouteTable | undefined, route: Route | undefined): Refusal | undefined {
		if (table === undefined) {
			return refusal('unprepared', 'No configuration is known yet.', unpreparedRetryMs);
		}

		if (route === undefined) {
			return undefined;
		}

		if (this.#options.isClosing()) {
			return refusal('busy', 'The daemon is stopping.', closingRetryMs);
		}

		return this.#options.tools.crashes.isCondemned(request)
			? refusal('busy', 'The request has crashed upstreams and is not sent again.', unpreparedRetryMs)
			: undefined;
	}

	async #deliver({message, response, arrivedAt}: Exchange, request: RouteRequest, route: Route, service: string): Promise<void> {
		const {tools, metrics} = this.#options;
		const controller = new AbortController();
		const endAt = arrivedAt + Math.min(request.waitMs ?? Number.POSITIVE_INFINITY, route.timeoutMs);
		using _caller = watchCaller(message, response, controller);
		using _deadline = watchDeadline(Math.max(0, endAt - tools.clock.now()), controller);
		tools.retryBudget.earn(service, tools.clock.now());
		const job: DeliveryJob = {
			request, route, service, arrivedAt, endAt, answer: this.#createAnswer(message, response, request.id), signal: controller.signal,
		};
		const delivery = route.kind === 'stream' && tools.scheduler.isModelService(service) ? new StreamDelivery(tools, job) : new PlainDelivery(tools, job);
		const end = await delivery.run();
		this.#report(request, route, end, arrivedAt);
		metrics.requestEnded(route, end, tools.clock.now() - arrivedAt);
	}

	#report(request: RouteRequest, route: Route, end: DeliveryEnd, arrivedAt: number): void {
		const {tools} = this.#options;
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
		const {tools, metrics} = this.#options;
		this.#createAnswer(message, response, request.id).refuse(own);
		tools.log.write('request.refused', {
			request: request.id, host: request.host, target: request.target, kind: own.kind, reason: own.message, configuration: this.#options.routes()?.version,
		});
		metrics.requestRefused(own.kind, tools.clock.now() - arrivedAt);
	}
}

function refusal(kind: Refusal['kind'], message: string, retryAfterMs?: number): Refusal {
	return {
		ran: 'notRun', kind, message, retryAfterMs,
	};
}

/** Resolves once the answer was handed to the system, or its connection has ended. */
async function whenSent(response: ServerResponse): Promise<void> {
	if (response.writableFinished || response.destroyed || !response.writableEnded) {
		return;
	}

	await new Promise<void>(resolve => {
		response.once('finish', resolve);
		response.once('close', resolve);
	});
}
