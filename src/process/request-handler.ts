import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Tracer} from '@opentelemetry/api';
import {
	createRefusal, internalError, runStateHeader, sendCallerError, type CallerError,
} from '../request/caller-error.ts';
import {muteParser} from '../connection/request-parser.ts';
import {findPathRefusal} from '../request/call.ts';
import {cancelOnDisconnect, cancelOnDeadline} from '../request/cancellation.ts';
import {
	parseHead, parseRequest, type ParsedRequest, type RequestHead,
} from '../request/parsed-request.ts';
import {
	hasUnreadBody, readBody, type BodyLimits, type RequestBody,
} from '../request/request-body.ts';
import {RequestPipeline, type PipelineOutcome, type RequestPipelineOptions} from '../request/request-pipeline.ts';
import {RequestTrace} from '../request/request-trace.ts';
import {resolveCustomer, type KeyDirectory} from './key-directory.ts';
import type {Log} from './log.ts';
import type {Metrics} from './metrics.ts';
import {isOperationalRoute, serveOperationalRoute} from './operational-routes.ts';

/** Dependencies and limits of the request handler. */
export type RequestHandlerOptions = RequestPipelineOptions & {
	readonly log: Log;
	readonly metrics: Metrics;
	readonly tracer: Tracer;
	readonly bodyLimits: BodyLimits;
	/** Maximum number of concurrent requests; further requests are refused. @default 4096 */
	readonly openRequestLimit?: number;
	/** Active keys of customers. */
	readonly keys: () => KeyDirectory;
	/** Models served by live engines. */
	readonly models: () => readonly string[];
	/** True while the daemon accepts requests. */
	readonly isReady: () => boolean;
};

/** Request with its response and arrival time. */
type Exchange = {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly startMs: number;
};

/** Outcome of a request, with what was known about it when it ended. */
type RequestOutcome = Partial<PipelineOutcome> & {
	readonly customer?: string;
	readonly parsedRequest?: ParsedRequest;
};

const defaultOpenRequestLimit = 4096;

/** Handles requests of callers: authenticates them, runs them through the pipeline to upstreams and records their outcome. */
export class RequestHandler {
	readonly #options: RequestHandlerOptions;
	readonly #pipeline: RequestPipeline;
	/** Responses whose requests may have run. */
	readonly #dispatchable = new WeakSet<ServerResponse>();
	#openRequests = 0;

	constructor(options: RequestHandlerOptions) {
		this.#options = options;
		this.#pipeline = new RequestPipeline(options);
	}

	/** Number of requests in progress. */
	get openRequests(): number {
		return this.#openRequests;
	}

	/** Handles one request until it ends; never rejects. */
	async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
		response.on('error', () => {
			response.destroy();
		});
		this.#openRequests += 1;
		try {
			if (isOperationalRoute(request.url ?? '/') && hasUnreadBody(request)) {
				response.shouldKeepAlive = false;
				muteParser(request);
			}

			if (!await serveOperationalRoute(request.url ?? '/', response, this.#options)) {
				await this.#serve({request, response, startMs: this.#options.clock.now()});
			}
		} catch (error) {
			this.#answerAfterError(request, response, error);
		} finally {
			this.#openRequests -= 1;
		}
	}

	/** Answers a request whose handling threw, unless its caller left before it was read completely. */
	#answerAfterError(request: IncomingMessage, response: ServerResponse, error: unknown): void {
		if (request.destroyed && !request.complete) {
			response.destroy();
			return;
		}

		this.#options.log.error('Failed to handle a request.', error);
		if (response.writableEnded) {
			return;
		}

		// An earlier request with the same key may have run.
		const hasNotRun = !this.#dispatchable.has(response) && request.headers['idempotency-key'] === undefined;
		try {
			sendCallerError(response, {...internalError, ran: hasNotRun ? 'no' : 'unknown'});
		} catch {
			response.destroy();
		}
	}

	async #serve(exchange: Exchange): Promise<void> {
		const customer = resolveCustomer(this.#options.keys(), exchange.request.headers.authorization);
		const head = parseHead(exchange.request);
		const refusal = this.#findRefusal(customer);
		if (refusal !== undefined || customer === undefined) {
			this.#finish(exchange, {error: refusal});
			return;
		}

		const outcome = await head.caseOf<RequestOutcome | Promise<RequestOutcome>>({
			Left: error => ({error}),
			Right: async value => this.#serveHead(exchange, value, customer),
		});
		this.#finish(exchange, {...outcome, customer});
	}

	#findRefusal(customer: string | undefined): CallerError | undefined {
		if (customer === undefined) {
			return createRefusal(401, 'invalid_key', 'The bearer key is missing or not known.');
		}

		return this.#openRequests > (this.#options.openRequestLimit ?? defaultOpenRequestLimit)
			? createRefusal(503, 'overloaded', 'Too many requests are open.', 1)
			: undefined;
	}

	async #serveHead(exchange: Exchange, head: RequestHead, customer: string): Promise<RequestOutcome> {
		if (head.url === '/v1/models') {
			this.#sendModels(exchange.response);
			return {};
		}

		const refusal = hasUnreadBody(exchange.request) ? findPathRefusal(head.method, head.url) : undefined;
		if (refusal !== undefined) {
			return {error: refusal};
		}

		const body = await readBody(exchange.request, this.#options.bodyLimits);
		return body.caseOf<RequestOutcome | Promise<RequestOutcome>>({
			Left: error => ({error}),
			Right: async value => this.#serveBody(exchange, head, value, customer),
		});
	}

	async #serveBody(exchange: Exchange, head: RequestHead, body: RequestBody, customer: string): Promise<RequestOutcome> {
		using _body = body;
		const parsedRequest = parseRequest(head, body, {customer, nowMs: exchange.startMs});
		const outcome = await parsedRequest.caseOf<RequestOutcome | Promise<RequestOutcome>>({
			Left: error => ({error}),
			Right: async value => ({...await this.#runPipeline(exchange, value), parsedRequest: value}),
		});
		return outcome;
	}

	async #runPipeline({request, response, startMs}: Exchange, parsedRequest: ParsedRequest): Promise<PipelineOutcome> {
		const {head} = parsedRequest;
		const controller = new AbortController();
		const elapsedMs = this.#options.clock.now() - startMs;
		using _caller = cancelOnDisconnect(request, response, controller);
		using _deadline = cancelOnDeadline(head.remainingMs === undefined ? undefined : head.remainingMs - elapsedMs, controller);
		using trace = new RequestTrace(this.#options.tracer, head.headers, head.requestId);
		this.#dispatchable.add(response);
		const outcome = await this.#pipeline.run({
			parsedRequest, response, signal: controller.signal, trace,
		});
		trace.setAttributes({attempts: outcome.attempts, code: outcome.error?.code ?? 'ok', ran: outcome.error?.ran ?? 'yes'});
		if (outcome.error !== undefined) {
			trace.fail(outcome.error.code);
		}

		return outcome;
	}

	#sendModels(response: ServerResponse): void {
		const data = this.#options.models().map(id => ({id, object: 'model', owned_by: 'wagtailtack'}));
		response.writeHead(200, {'content-type': 'application/json', [runStateHeader]: 'yes'});
		response.end(JSON.stringify({object: 'list', data}));
	}

	#finish({request, response, startMs}: Exchange, outcome: RequestOutcome): void {
		const {error, unfinishedRelay, customer, parsedRequest, attempts = 0, answerBytes = 0, firstByteMs} = outcome;
		if (error !== undefined && unfinishedRelay !== undefined) {
			unfinishedRelay.abort(error);
		} else if (error !== undefined) {
			sendCallerError(response, error);
		}

		const code = error?.code ?? 'ok';
		const ran = error?.ran ?? 'yes';
		const totalMs = this.#options.clock.now() - startMs;
		const kind = parsedRequest?.demand.call.kind ?? 'none';
		this.#options.metrics.requestEnded({
			kind, customer, code, ran, totalMs, ...(firstByteMs === undefined ? {} : {firstByteMs}),
		});
		this.#options.log.debug('Request ended.', {
			requestId: parsedRequest?.head.requestId, customer, kind, method: request.method, code, ran, attempts, answerBytes, firstByteMs, totalMs,
		});
	}
}
