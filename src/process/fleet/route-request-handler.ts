import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {ClosedConnection} from '../../connection/caller-connection.ts';
import {CallerAnswer} from '../../connection/links/caller-answer.ts';
import type {CallerProtocol, Refusal} from '../../ports/caller-protocol.ts';
import type {BudgetRefusal, CallerBudget} from '../../request/caller-budget.ts';
import {cancelOnDisconnect, cancelOnDeadline, combineSignals} from '../../request/cancellation.ts';
import {
	stopReason, type DeliveryResult, type DeliveryJob, type DeliveryDependencies,
} from '../../request/delivery/delivery.ts';
import {PlainDelivery} from '../../request/delivery/plain-delivery.ts';
import {identifyRouteRequest} from '../../request/delivery/route-request-identity.ts';
import type {RouteRequest} from '../../request/delivery/route-request.ts';
import {StreamDelivery} from '../../request/delivery/stream-delivery.ts';
import {OpenRequest, type RequestOutcome} from '../../request/open-request.ts';
import {dropRest, hasUnreadBody, isRestUnread} from '../../request/request-body.ts';
import type {Route} from '../../version/routes/route-configuration.ts';
import {chooseTarget, type RouteTable} from '../../version/routes/route-table.ts';
import {
	accountName, decideAccess, withAccountPriority, type Access,
} from '../accounts/access.ts';
import type {AccountDirectory} from '../accounts/account-directory.ts';
import {readPendingEvents} from '../pending-events.ts';
import type {Random} from '../random.ts';
import {BodyReader} from './body-reader.ts';
import type {FleetMetrics} from './fleet-metrics.ts';
import {runUntilOverdue} from './overdue.ts';
import type {RouteDurations} from './route-durations.ts';
import {crashRefusalMessages, type CrashRefusal} from './route-crashes.ts';
import {
	createAccessRefusal, createBodyRefusal, createFullRefusal, createRefusal, createStopRefusal, createUnpreparedRefusal,
} from './request-refusals.ts';
import {TakenRequests} from './taken-requests.ts';
import type {OpenRequests, Shutdown, StopCounts} from './shutdown.ts';

/** Options of the request handler. */
export type RouteRequestHandlerOptions = {
	readonly dependencies: DeliveryDependencies;
	readonly protocol: CallerProtocol;
	readonly random: Random;
	readonly metrics: FleetMetrics;
	/** Active routes; undefined until a configuration has been received. */
	readonly routeTable: () => RouteTable | undefined;
	/** Client accounts of the active configuration; undefined if callers need no keys. */
	readonly accounts: () => AccountDirectory | undefined;
	/** False while a newer configuration than the active one may be in force. */
	readonly isConfigurationCurrent: () => boolean;
	/** From its start each connection is closed with its next response; it decides which requests are still served. */
	readonly shutdown: () => Pick<Shutdown, 'hasStarted' | 'endRequestsAt' | 'canEnd'>;
	readonly durations: RouteDurations;
	/** Budget of all request bodies. */
	readonly bodyBudget: CallerBudget;
	/** Limit on requests in progress; further ones are refused. */
	readonly openRequestLimit: number;
	/** Called when a request is refused at a limit on callers. */
	readonly onLimited: (limit: BudgetRefusal | 'requests') => void;
};

/** One request with its response. */
type Exchange = {
	readonly message: IncomingMessage;
	readonly response: ServerResponse;
	readonly arrivedAt: number;
	readonly answer: CallerAnswer;
	readonly open: OpenRequest;
};

type MatchedRequest = {
	readonly route: Route | undefined;
	/** Undefined without a route. */
	readonly access: Access | undefined;
};

/** A request that may be sent to upstreams of a service. */
type AdmittedRequest = Pick<DeliveryJob, 'request' | 'identity' | 'route' | 'service'> & {
	readonly access: Access;
};

/** Ids of requests in a log line, at most. */
const maxLoggedRequests = 8;
/** Limit on request bodies until a configuration has been received. */
const defaultBodyBytes = 4_194_304;
const emptyBody = new Uint8Array(0);

/** Receives callers' requests, matches them to routes and delivers them. */
export class RouteRequestHandler implements OpenRequests {
	readonly #options: RouteRequestHandlerOptions;
	readonly #bodies: BodyReader;
	/** Number of requests per connection that have been read but not answered. */
	readonly #unansweredRequests = new WeakMap<Socket, number>();
	/** Connections that a response has announced to be closed. */
	readonly #closingSockets = new WeakSet<Socket>();
	readonly #open = new WeakMap<ServerResponse, OpenRequest>();
	readonly #takenRequests = new TakenRequests();
	/** Accounts against which the requests in flight were checked. */
	#appliedAccounts: AccountDirectory | undefined;
	readonly #stopCounts = {
		refusedOnArrival: 0, refused: 0, failed: 0, brokenOff: 0,
	};

	/** Requests in flight, in the order of their arrival. */
	readonly #requestsInFlight = new Set<OpenRequest>();

	constructor(options: RouteRequestHandlerOptions) {
		this.#options = options;
		this.#bodies = new BodyReader(options.bodyBudget, options.onLimited);
	}

	/** Requests that the shutdown has ended so far. */
	get stopCounts(): StopCounts {
		return {...this.#stopCounts};
	}

	/** Number of requests in flight. */
	get openRequests(): number {
		return this.#requestsInFlight.size;
	}

	/** Ids of the oldest requests in flight. */
	get openRequestIds(): readonly string[] {
		return [...this.#requestsInFlight].slice(0, maxLoggedRequests).map(({id}) => id);
	}

	refuseUnsent(): void {
		this.#takenRequests.refuseUnsent(({route, arrivedAt, callerDeadlineAt}) => this.#canEnd(route, arrivedAt, callerDeadlineAt));
	}

	endAll(): void {
		this.#takenRequests.endAll();
		this.#bodies.endAll();
	}

	/** Refuses the requests that no upstream has run and whose access a newer configuration has withdrawn or changed. */
	applyAccounts(): void {
		const accounts = this.#options.accounts();
		if (accounts === this.#appliedAccounts) {
			return;
		}

		this.#appliedAccounts = accounts;
		const {dependencies, metrics} = this.#options;
		const ended = this.#takenRequests.endAccess(({route, request}) => decideAccess(accounts, route, request.key, () => true));
		for (const {taken: {request, access}, change} of ended) {
			metrics.accessRefused(change);
			dependencies.log.write('request.accessEnded', {
				request: request.id, account: accountName(access), change, configuration: this.#options.routeTable()?.version,
			});
		}
	}

	/** Handles one request until its response has been sent; never rejects. */
	async handle(message: IncomingMessage, response: ServerResponse): Promise<void> {
		const {dependencies} = this.#options;
		response.on('error', () => {
			response.destroy();
		});
		const {socket} = message;
		const exchange = this.#createExchange(message, response);
		this.#open.set(response, exchange.open);
		if (this.#closingSockets.has(socket)) {
			// The previous response told the caller that the connection closes, so this request must not run.
			exchange.open.id = this.#options.protocol.decode(message, emptyBody).id;
			exchange.open.settle('connectionClosing');
			this.#recordEnd(exchange, 'connectionClosing', {reason: 'The previous response closed the connection.', runs: 0, sends: 0});
			return;
		}

		this.#requestsInFlight.add(exchange.open);
		this.#unansweredRequests.set(socket, (this.#unansweredRequests.get(socket) ?? 0) + 1);
		try {
			await this.#serve(exchange);
			await waitUntilSent(response);
		} catch (error) {
			this.#answerAfterError(exchange, error);
			await waitUntilSent(response);
		} finally {
			this.#requestsInFlight.delete(exchange.open);
			this.#unansweredRequests.set(socket, (this.#unansweredRequests.get(socket) ?? 1) - 1);
		}
	}

	/** Refuses a request that its caller has sent ahead of too many answers. */
	refuseExcess(message: IncomingMessage, response: ServerResponse): void {
		const exchange = this.#createExchange(message, response);
		this.#open.set(response, exchange.open);
		const request = this.#options.protocol.decode(message, emptyBody);
		exchange.open.id = request.id;
		this.#refuse(exchange, request, createFullRefusal('Too many requests are in progress on the connection.'));
	}

	/** Logs and counts the requests without a complete answer on a connection that has closed. */
	connectionClosed({reason, refusedStatus, unfinished}: ClosedConnection): void {
		const {dependencies, metrics} = this.#options;
		const requests = unfinished.map(response => this.#open.get(response)).filter(open => open !== undefined);
		if (reason === 'callerLeft') {
			return;
		}

		for (const open of requests) {
			if (open.isWhole && !open.isCutByUpstream) {
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
		if (this.#options.shutdown().hasStarted && this.#unansweredRequests.get(socket) === 1) {
			response.shouldKeepAlive = false;
			this.#closingSockets.add(socket);
		}
	}

	async #serve(exchange: Exchange): Promise<void> {
		const {message, arrivedAt} = exchange;
		const {routeTable, accounts, isConfigurationCurrent, dependencies, protocol, metrics} = this.#options;
		const limit = routeTable()?.limits.bodyBytes ?? defaultBodyBytes;
		const head = protocol.decode(message, emptyBody);
		exchange.open.id = head.id;
		if (hasUnreadBody(message) && this.#refuseByHead(exchange, head)) {
			dropRest(message, limit);
			return;
		}

		const body = await this.#bodies.read(message, limit);
		if (body === undefined) {
			this.#stopCounts.refused += 1;
			this.#refuse(exchange, head, createStopRefusal());
			return;
		}

		await body.caseOf({
			Left: async error => {
				exchange.response.shouldKeepAlive &&= !isRestUnread(error);
				this.#refuse(exchange, head, createBodyRefusal(error));
			},
			Right: async value => {
				using _body = value;
				exchange.open.isWhole = true;
				metrics.requestRead();
				const received = protocol.decode(message, value.bytes);
				const table = routeTable();
				const matched = table?.match(received.host, received.target);
				const access = matched === undefined ? undefined : decideAccess(accounts(), matched, received.key, isConfigurationCurrent);
				const refusal = this.#findRefusal(table, {route: matched, access}, arrivedAt, getDeadline(exchange, received, matched));
				if (refusal !== undefined || matched === undefined || access === undefined) {
					this.#refuse(exchange, received, refusal ?? createRefusal('noRoute', 'No route matches.'));
					return;
				}

				if (this.#takenRequests.size >= this.#options.openRequestLimit) {
					this.#options.onLimited('requests');
					this.#refuse(exchange, received, createFullRefusal('Too many requests are in progress.'));
					return;
				}

				const request = access.kind === 'open' ? received : protocol.removeCredentials(received);
				const route = withAccountPriority(matched, access);

				const identity = identifyRouteRequest(request);
				const crashRefusal = dependencies.crashes.findRefusal(identity);
				if (crashRefusal !== undefined) {
					this.#refuse(exchange, request, createRefusal('busy', crashRefusalMessages[crashRefusal.status], crashRefusal.retryAfterMs), {fingerprint: identity.fingerprint, ...crashRefusal});
					return;
				}

				const service = chooseTarget(route, this.#options.random.next());
				// `waitMs`: the caller's timeout.
				dependencies.log.write('request.received', {
					request: request.id,
					route: route.name,
					kind: route.kind,
					service,
					account: accountName(access),
					configuration: table?.version,
					waitMs: request.callerTimeoutMs,
					promptTokens: request.prompt?.tokens,
				});
				await this.#deliver(exchange, {
					request, identity, route, service: service ?? '', access,
				});
			},
		});
	}

	/** Refuses a request that has no route or no access, before its body is read; returns false if it has both. */
	#refuseByHead(exchange: Exchange, head: RouteRequest): boolean {
		const {routeTable, accounts, isConfigurationCurrent} = this.#options;
		const table = routeTable();
		const route = table?.match(head.host, head.target);
		const access = route === undefined ? undefined : decideAccess(accounts(), route, head.key, isConfigurationCurrent);
		if (route !== undefined && access?.kind !== 'refused') {
			return false;
		}

		this.#refuse(exchange, head, this.#findRefusal(table, {route, access}, exchange.arrivedAt, Number.POSITIVE_INFINITY) ?? createRefusal('noRoute', 'No route matches.'));
		return true;
	}

	#findRefusal(table: RouteTable | undefined, {route, access}: MatchedRequest, arrivedAt: number, deadlineAt: number): Refusal | undefined {
		if (table === undefined) {
			return createUnpreparedRefusal();
		}

		if (route === undefined) {
			return undefined;
		}

		if (access?.kind === 'refused') {
			this.#options.metrics.accessRefused(access.reason);
			return createAccessRefusal(access.reason);
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

	async #deliver(exchange: Exchange, {access, ...admitted}: AdmittedRequest): Promise<void> {
		const {request, route, service} = admitted;
		const {dependencies, metrics} = this.#options;
		const {message, response, arrivedAt, answer, open} = exchange;
		const controller = new AbortController();
		const startController = new AbortController();
		const callerDeadlineAt = getDeadline(exchange, request, route);
		const deadlineAt = Math.min(callerDeadlineAt, this.#options.shutdown().endRequestsAt);
		using start = combineSignals(controller.signal, startController.signal);
		using _taken = this.#takenRequests.track({
			request, route, access, arrivedAt, callerDeadlineAt, controller, startController,
		});
		using _caller = cancelOnDisconnect(message, response, controller);
		using _deadline = cancelOnDeadline(Math.max(0, deadlineAt - dependencies.clock.now()), controller);
		// A caller may have closed its connection before the daemon read its request; the end of the connection is read after the request.
		await readPendingEvents();
		dependencies.retryBudget.earn(service, dependencies.clock.now());
		const job: DeliveryJob = {
			...admitted, account: accountName(access), arrivedAt, deadlineAt, answer, open, signal: controller.signal, startSignal: start.signal,
		};
		const delivery = route.kind === 'stream' && dependencies.scheduler.isModelService(service) ? new StreamDelivery(dependencies, job) : new PlainDelivery(dependencies, job);
		const result = await runUntilOverdue(delivery.run(), controller.signal);
		open.settle(result.outcome, result.isCutByUpstream);
		if (start.signal.reason === stopReason && isEndedByDaemon(result.outcome)) {
			this.#stopCounts[result.outcome] += 1;
		}

		this.#recordEnd(exchange, result.outcome, {
			route: route.name,
			reason: result.reason,
			runs: result.possibleRuns,
			sends: result.sends,
			lastUpstream: result.lastSend?.upstream,
			lastOutcome: result.lastSend?.outcome,
			firstAnswerMs: result.firstAnswerMs === undefined ? undefined : Math.round(result.firstAnswerMs),
			targetMs: route.targetLatencyMs,
		});
		const endedAt = dependencies.clock.now();
		metrics.requestEnded(route, result, endedAt - arrivedAt);
		if (result.outcome === 'delivered') {
			this.#options.durations.record(route.name, endedAt - arrivedAt, endedAt);
		}
	}

	/** Logs and counts the outcome of a request. */
	#recordEnd({open, arrivedAt}: Exchange, outcome: RequestOutcome, fields: Readonly<Record<string, unknown>>): void {
		const {dependencies, metrics} = this.#options;
		metrics.outcomeKnown(outcome);
		dependencies.log.write('request.ended', {
			request: open.id, outcome, ...fields, totalMs: Math.round(dependencies.clock.now() - arrivedAt),
		});
	}

	#createExchange(message: IncomingMessage, response: ServerResponse): Exchange {
		const answer: CallerAnswer = new CallerAnswer(response, this.#options.protocol, () => open.id, () => {
			this.#announceClose(message, response);
		});
		const open: OpenRequest = new OpenRequest(answer);
		return {
			message, response, arrivedAt: this.#options.dependencies.clock.now(), answer, open,
		};
	}

	/** Answers a request whose handling threw; a request that was not read completely has no caller left. */
	#answerAfterError(exchange: Exchange, error: unknown): void {
		const {message, response, open} = exchange;
		if (!open.isWhole && !message.complete) {
			response.destroy();
			return;
		}

		// The handler threw; no crash of an upstream is meant.
		this.#options.dependencies.log.write('request.crashed', {request: open.id, cause: error instanceof Error ? error.stack : String(error)});
		if (open.outcome !== undefined) {
			return;
		}

		try {
			open[Symbol.dispose]();
		} catch {
			response.destroy();
		}

		this.#recordEnd(exchange, 'handlerError', {reason: 'The daemon failed.'});
	}

	/** Refuses a request before it is placed; `crash` is given for one that may crash upstreams. */
	#refuse(exchange: Exchange, request: RouteRequest, refusal: Refusal, crash?: CrashRefusal & {readonly fingerprint: string}): void {
		const {dependencies, metrics} = this.#options;
		exchange.answer.refuse(refusal);
		dependencies.log.write('request.refused', {
			request: request.id,
			host: request.host,
			target: request.target,
			kind: refusal.kind,
			reason: refusal.message,
			configuration: this.#options.routeTable()?.version,
			fingerprint: crash?.fingerprint,
			promptParts: crash?.promptParts,
		});
		metrics.requestRefused(crash?.status ?? refusal.kind, dependencies.clock.now() - exchange.arrivedAt);
		const outcome = exchange.open.isWhole ? 'refused' : 'refusedUnread';
		exchange.open.settle(outcome);
		this.#recordEnd(exchange, outcome, {reason: refusal.message, runs: 0, sends: 0});
	}
}

/** Reason of a close that the answers explain: the handler failed, or an answer was broken off. */
function findAnswerFault(requests: readonly OpenRequest[]): 'handlerError' | 'brokenOff' | undefined {
	if (requests.some(({outcome}) => outcome === 'handlerError')) {
		return 'handlerError';
	}

	return requests.some(({isAnswerAborted}) => isAnswerAborted) ? 'brokenOff' : undefined;
}

/** Time at which the caller or the route gives up, in milliseconds of the clock. */
function getDeadline({arrivedAt}: Exchange, {callerTimeoutMs}: RouteRequest, route: Route | undefined): number {
	return arrivedAt + Math.min(callerTimeoutMs ?? Number.POSITIVE_INFINITY, route?.timeoutMs ?? Number.POSITIVE_INFINITY);
}

function isEndedByDaemon(outcome: DeliveryResult['outcome']): outcome is 'refused' | 'failed' | 'brokenOff' {
	return outcome === 'refused' || outcome === 'failed' || outcome === 'brokenOff';
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
