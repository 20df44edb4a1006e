import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Dispatcher} from 'undici';
import type {Host} from '../platform/host-list.ts';
import {sendAttempt} from '../request/attempt.ts';
import {resolveCall, type Call} from '../request/call.ts';
import {createRefusal, sendCallerError, type CallerError} from '../request/caller-error.ts';
import {relayAnswer} from '../request/relay.ts';
import {readBody} from '../request/request-body.ts';
import {resolveCustomer, type KeyDirectory} from './key-directory.ts';
import type {Log} from './log.ts';

/** What the front needs from the rest of the daemon. */
export type RequestFrontOptions = {
	readonly log: Log;
	readonly dispatcher: Dispatcher;
	readonly bodyLimit: number;
	/** Keys in force. */
	readonly keys: () => KeyDirectory;
	/** Live upstreams that serve a model or a plain service. */
	readonly upstreams: (call: Call) => readonly Host[];
	/** True once the daemon may take requests. */
	readonly isReady: () => boolean;
};

/** Takes callers' requests to upstreams and the answers back. */
export class RequestFront {
	readonly #options: RequestFrontOptions;
	readonly #outstanding = new Map<string, number>();

	constructor(options: RequestFrontOptions) {
		this.#options = options;
	}

	/** Handles one request from start to end; never rejects. */
	async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
		try {
			const error = await this.#serve(request, response);
			if (error !== undefined) {
				sendCallerError(response, error);
			}
		} catch (error) {
			this.#options.log.warn('An answer was cut.', {message: error instanceof Error ? error.message : String(error)});
			response.destroy();
		}
	}

	async #serve(request: IncomingMessage, response: ServerResponse): Promise<CallerError | undefined> {
		const {method = 'GET', url = '/'} = request;
		if (url === '/healthz') {
			response.end('ok\n');
			return;
		}

		if (url === '/readyz') {
			response.statusCode = this.#options.isReady() ? 200 : 503;
			response.end();
			return;
		}

		if (resolveCustomer(this.#options.keys(), request.headers.authorization) === undefined) {
			return createRefusal(401, 'invalid_key', 'The bearer key is missing or not known.');
		}

		const body = await readBody(request, this.#options.bodyLimit);
		const call = body.chain(bytes => resolveCall(method, url, bytes).map(resolved => ({resolved, bytes})));
		return call.caseOf<CallerError | undefined | Promise<CallerError | undefined>>({
			Left: error => error,
			Right: async ({resolved, bytes}) => this.#forward(request, response, resolved, bytes),
		});
	}

	async #forward(
		request: IncomingMessage,
		response: ServerResponse,
		call: Call,
		body: Uint8Array,
	): Promise<CallerError | undefined> {
		const upstream = this.#leastOutstanding(this.#options.upstreams(call));
		if (upstream === undefined) {
			return createRefusal(503, 'no_upstream', 'No upstream serves this request now.', 1);
		}

		const abort = new AbortController();
		response.once('close', () => {
			abort.abort();
		});
		this.#count(upstream, 1);
		try {
			const {method = 'GET', headers} = request;
			const sent = await sendAttempt(this.#options.dispatcher, `http://${upstream.address}`, {
				method, path: call.path, headers, body,
			}, abort.signal);
			return await sent.caseOf<CallerError | undefined | Promise<undefined>>({
				Left: failure => ({
					status: 502, code: 'upstream_failed', message: 'The upstream failed.', ran: failure.ran,
				}),
				async Right(answer) {
					await relayAnswer(answer, response);
					return undefined;
				},
			});
		} finally {
			this.#count(upstream, -1);
		}
	}

	#leastOutstanding(upstreams: readonly Host[]): Host | undefined {
		return upstreams.toSorted((a, b) => this.#outstandingOf(a) - this.#outstandingOf(b))[0];
	}

	#outstandingOf(upstream: Host): number {
		return this.#outstanding.get(upstream.id) ?? 0;
	}

	#count(upstream: Host, change: number): void {
		this.#outstanding.set(upstream.id, this.#outstandingOf(upstream) + change);
	}
}
