import {randomUUID} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {
	noFaults, readText, sendAnswer, StandInServer, type CommonFaults,
} from '../stand-in-server.ts';
import type {EngineOrders} from './engine-orders.ts';
import {OrderEndpoint, type OrderEndpointOptions, type OrderFaults} from './order-endpoint.ts';

/** Speed and model of the engine stand-in. */
export type EngineOptions = {
	readonly id: string;
	readonly model: string;
	/** Time to process one prompt token, in milliseconds. @default 0.05 */
	readonly prefillMsPerToken?: number;
	/** Time between two generated tokens, in milliseconds. @default 5 */
	readonly decodeMsPerToken?: number;
	/** How the engine takes orders. @default {} */
	readonly orders?: Partial<OrderEndpointOptions>;
};

/** Faults of an engine. */
export type EngineFaults = CommonFaults & OrderFaults;

type CompletionInput = {
	readonly model: string;
	readonly stream?: boolean;
	readonly max_tokens?: number;
	readonly messages?: ReadonlyArray<{readonly role: string; readonly content: string}>;
	readonly prompt?: string;
};

const defaultMaxTokens = 16;
const charactersPerToken = 4;

/** Stand-in for a model engine: OpenAI API with answers at token pace. */
export class EngineServer extends StandInServer<EngineFaults> {
	readonly #options: EngineOptions;
	readonly #orders: OrderEndpoint;
	#running = 0;

	constructor(options: EngineOptions) {
		super({...noFaults, crashInChange: false});
		this.#options = options;
		this.#orders = new OrderEndpoint({model: options.model, ...options.orders});
		this.#orders.attach(this.server);
	}

	/** Orders that the engine has accepted and refused. */
	get orders(): EngineOrders {
		return this.#orders.orders;
	}

	protected async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const isHandled = await this.#orders.handle(request, response, {
			faults: this.faults,
			inFlight: this.#running,
			cutConnections: () => {
				this.server.closeAllConnections();
			},
		});
		if (isHandled) {
			return;
		}

		switch (`${request.method} ${request.url}`) {
			case 'GET /healthz': {
				sendAnswer(response, {status: 200, body: {status: 'ok'}});
				return;
			}

			case 'GET /metrics': {
				response.writeHead(200, {'content-type': 'text/plain; version=0.0.4'});
				response.end(`engine_running_requests ${this.#running}\n`);
				return;
			}

			case 'GET /v1/models': {
				sendAnswer(response, {status: 200, body: {object: 'list', data: [{id: this.#options.model, object: 'model'}]}});
				return;
			}

			case 'POST /v1/completions':
			case 'POST /v1/chat/completions': {
				await this.#complete(request, response);
				return;
			}

			default: {
				sendAnswer(response, {status: 404, body: {error: {code: 'not_found', message: 'unknown path'}}});
			}
		}
	}

	async #complete(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const input = JSON.parse(await readText(request)) as CompletionInput;
		this.#running += 1;
		try {
			await (input.stream === true ? this.#stream(input, response) : this.#answer(input, response));
		} finally {
			this.#running -= 1;
		}
	}

	async #stream(input: CompletionInput, response: ServerResponse): Promise<void> {
		const id = `chatcmpl-${randomUUID()}`;
		await delay(this.#prefillMs(input));
		response.writeHead(200, {'content-type': 'text/event-stream'});
		for (let index = 0; index < outputTokens(input) && !response.destroyed; index += 1) {
			const choice = {index: 0, delta: {content: `token${index} `}, finish_reason: null};
			const chunk = {
				id, object: 'chat.completion.chunk', model: input.model, choices: [choice],
			};
			response.write(`data: ${JSON.stringify(chunk)}\n\n`);
			await delay(this.#options.decodeMsPerToken ?? 5);
		}

		response.end('data: [DONE]\n\n');
	}

	async #answer(input: CompletionInput, response: ServerResponse): Promise<void> {
		const tokens = outputTokens(input);
		await delay(this.#prefillMs(input) + (tokens * (this.#options.decodeMsPerToken ?? 5)));
		const content = Array.from({length: tokens}, (_, index) => `token${index} `).join('');
		const choice = {index: 0, message: {role: 'assistant', content}, finish_reason: 'stop'};
		const usage = {prompt_tokens: promptTokens(input), completion_tokens: tokens};
		sendAnswer(response, {
			status: 200,
			body: {
				id: `chatcmpl-${randomUUID()}`, object: 'chat.completion', model: input.model, choices: [choice], usage,
			},
		});
	}

	#prefillMs(input: CompletionInput): number {
		return promptTokens(input) * (this.#options.prefillMsPerToken ?? 0.05);
	}
}

function outputTokens(input: CompletionInput): number {
	return input.max_tokens ?? defaultMaxTokens;
}

function promptTokens(input: CompletionInput): number {
	const text = input.prompt ?? (input.messages ?? []).map(message => message.content).join(' ');
	return Math.ceil(text.length / charactersPerToken);
}
