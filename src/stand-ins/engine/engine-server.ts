import {randomUUID} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {SystemClock} from '../../process/clock.ts';
import {
	noFaults, readText, sendAnswer, StandInServer, type CommonFaults,
} from '../stand-in-server.ts';
import {CacheEventLog, type PublicationFaults} from './cache-event-log.ts';
import {parseCompletionInput} from './completion-input.ts';
import {createWork, runCompletion} from './completions.ts';
import {EngineDriver} from './engine-driver.ts';
import {EngineModel} from './engine-model.ts';
import type {EngineModelOptions} from './engine-options.ts';
import {KvStore, type KvExport} from './kv-store.ts';
import {LoadSampler} from './load-sampler.ts';
import type {EngineOrders} from './engine-orders.ts';
import {OrderEndpoint, type OrderEndpointOptions, type OrderFaults} from './order-endpoint.ts';

/** Model and speed of the engine stand-in. */
export type EngineOptions = {
	readonly id: string;
	readonly model: string;
	/** Speed and memory. @default a step of 5 ms, 0.1 ms a decoding request and 0.05 ms a prompt token */
	readonly speed?: EngineModelOptions;
	/** Order handling. @default {} */
	readonly orders?: Partial<OrderEndpointOptions>;
};

/** Faults of an engine. */
export type EngineFaults = CommonFaults & PublicationFaults & OrderFaults & {
	/** Multiplies the duration of each step. */
	readonly slowdown: number;
	/** Age of the reported load, in milliseconds. */
	readonly reportLagMs: number;
	/** Crashes the engine when a prompt contains this text; an empty text turns the fault off. */
	readonly crashOn: string;
	/** Time without service after a crash, in milliseconds. */
	readonly restartMs: number;
	/** Refuses new work and announces that the engine is leaving. */
	readonly leaving: boolean;
	/** Ends streams without `[DONE]` after this number of tokens; 0 turns the fault off. */
	readonly truncateAfterTokens: number;
};

const healthyFaults: EngineFaults = {
	...noFaults,
	slowdown: 1,
	reportLagMs: 0,
	eventDelayMs: 0,
	dropEvery: 0,
	crashOn: '',
	restartMs: 1000,
	leaving: false,
	truncateAfterTokens: 0,
	crashInChange: false,
};

const defaultSpeed: EngineModelOptions = {stepBaseMs: 5, stepPerSequenceMs: 0.1, prefillMsPerToken: 0.05};

const leavingHeaders = {'wagtailtack-leaving': 'true'};

/** Stand-in for a model engine: serves the OpenAI API with the simulated engine, in real time. */
export class EngineServer extends StandInServer<EngineFaults> {
	readonly #options: EngineOptions;
	readonly #clock = new SystemClock();
	readonly #cacheEvents = new CacheEventLog(this.#clock);
	readonly #kvStore = new KvStore();
	readonly #loadSampler: LoadSampler;
	readonly #orders: OrderEndpoint;
	#driver: EngineDriver;
	#crashes = 0;

	constructor(options: EngineOptions, faults: Partial<EngineFaults> = {}) {
		super({...healthyFaults, ...faults});
		this.#options = options;
		this.#orders = new OrderEndpoint({model: options.model, role: options.speed?.role, ...options.orders});
		this.#orders.attach(this.server);
		this.#driver = this.#createDriver();
		this.#loadSampler = new LoadSampler(this.#clock, () => this.#driver.load);
	}

	/** Orders that the engine has accepted and refused. */
	get orders(): EngineOrders {
		return this.#orders.orders;
	}

	/** Number of crashes so far. */
	get crashes(): number {
		return this.#crashes;
	}

	override setFaults(faults: Partial<EngineFaults>): void {
		super.setFaults(faults);
		if (faults.slowdown !== undefined) {
			this.#driver.setSlowdown(faults.slowdown);
		}
	}

	/** Simulates a crash: aborts all requests, closes all connections and refuses new ones for `restartMs`. */
	crash(): void {
		this.#crashes += 1;
		this.#orders.orders.crash(this.#clock.now());
		this.#driver[Symbol.dispose]();
		this.#driver = this.#createDriver();
		this.refuseConnections(this.faults.restartMs);
	}

	override async [Symbol.asyncDispose](): Promise<void> {
		this.#loadSampler[Symbol.dispose]();
		this.#orders[Symbol.dispose]();
		this.#driver[Symbol.dispose]();
		await super[Symbol.asyncDispose]();
	}

	protected async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const isHandled = await this.#orders.handle(request, response, {
			faults: this.faults,
			crash: () => {
				this.crash();
			},
			applyChange: () => {
				this.#driver[Symbol.dispose]();
				this.#driver = this.#createDriver();
			},
		});
		if (isHandled) {
			return;
		}

		const {pathname, searchParams} = new URL(request.url ?? '/', 'http://engine');
		switch (`${request.method} ${pathname}`) {
			case 'GET /healthz': {
				sendAnswer(response, this.faults.leaving
					? {status: 503, headers: leavingHeaders, body: {status: 'leaving'}}
					: {status: 200, body: {status: 'ok'}});
				return;
			}

			case 'GET /metrics': {
				response.writeHead(200, {'content-type': 'text/plain; version=0.0.4'});
				response.end(this.#loadSampler.format(this.faults.reportLagMs));
				return;
			}

			case 'GET /cache-events': {
				sendAnswer(response, {status: 200, body: this.#cacheEvents.read(Number(searchParams.get('after') ?? 0), this.faults)});
				return;
			}

			case 'GET /v1/models': {
				sendAnswer(response, {status: 200, body: {object: 'list', data: [{id: this.orders.state(this.#clock.now()).model, object: 'model'}]}});
				return;
			}

			case 'POST /v1/completions':
			case 'POST /v1/chat/completions': {
				await this.#complete(request, response);
				return;
			}

			case 'POST /kv/export': {
				await this.#exportKv(request, response);
				return;
			}

			case 'POST /kv/import': {
				const kv = JSON.parse(await readText(request)) as KvExport;
				await delay(this.#driver.kvTransferMs(kv.promptTokens));
				this.#kvStore.import(kv);
				sendAnswer(response, {status: 200, body: kv});
				return;
			}

			default: {
				sendAnswer(response, {status: 404, body: {error: {code: 'not_found', message: 'unknown path'}}});
			}
		}
	}

	async #complete(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const input = parseCompletionInput(await readText(request));
		if (this.faults.leaving) {
			sendAnswer(response, {status: 503, headers: leavingHeaders, body: {error: {code: 'leaving', message: 'The engine is leaving.'}}});
			return;
		}

		if (this.faults.crashOn !== '' && input.text.includes(this.faults.crashOn)) {
			this.crash();
			return;
		}

		const isChat = request.url?.startsWith('/v1/chat/') ?? false;
		await runCompletion(this.#driver, input, {
			id: `${isChat ? 'chatcmpl' : 'cmpl'}-${randomUUID()}`,
			priority: request.headers['x-priority'] === '1' ? 1 : 0,
			isKvImported: this.#kvStore.take(input.kvHandle, input.promptTokens),
			truncateAfterTokens: this.faults.truncateAfterTokens,
			isChat,
		}, response);
	}

	/** Runs the prefill of a prompt, then answers with the handle of its KV cache. */
	async #exportKv(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const input = {...parseCompletionInput(await readText(request)), outputTokens: 1};
		const work = createWork(input, {
			id: randomUUID(), priority: 0, isKvImported: false, truncateAfterTokens: 0, isChat: false,
		});
		const isAccepted = this.#driver.submit(work, event => {
			if (event.kind === 'finished') {
				sendAnswer(response, {status: 200, body: this.#kvStore.export(input.promptTokens)});
			}
		});
		if (!isAccepted) {
			sendAnswer(response, {status: 503, body: {error: {code: 'not_accepted', message: 'The engine takes no work now.'}}});
		}
	}

	#createDriver(): EngineDriver {
		const model = new EngineModel({
			...defaultSpeed, ...this.#options.speed, role: this.orders.state(this.#clock.now()).role, emitsTokenEvents: true,
		});
		const driver = new EngineDriver(model, this.#clock, event => {
			this.#cacheEvents.record(event);
		});
		if (this.faults.slowdown !== 1) {
			driver.setSlowdown(this.faults.slowdown);
		}

		return driver;
	}
}
