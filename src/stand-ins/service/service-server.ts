import type {IncomingMessage, ServerResponse} from 'node:http';
import {
	noFaults, readText, sendAnswer, StandInServer,
} from '../stand-in-server.ts';

/** One execution at the plain service. */
export type Execution = {
	readonly method: string;
	readonly path: string;
	readonly body: string;
	readonly idempotencyKey?: string;
};

/** Stand-in for a plain service: records each execution and numbers it. */
export class ServiceServer extends StandInServer {
	readonly #executions: Execution[] = [];

	constructor() {
		super(noFaults);
	}

	/** Executions in order. */
	get executions(): readonly Execution[] {
		return this.#executions;
	}

	protected async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
		if (request.url === '/healthz') {
			sendAnswer(response, {status: 200, body: {status: 'ok'}});
			return;
		}

		if (request.url === '/executions') {
			sendAnswer(response, {status: 200, body: this.#executions});
			return;
		}

		const {method = 'GET', url: path = '/', headers} = request;
		const body = await readText(request);
		const key = headers['idempotency-key'];
		this.#executions.push({
			method, path, body, ...(typeof key === 'string' ? {idempotencyKey: key} : {}),
		});
		sendAnswer(response, {status: 200, body: {number: this.#executions.length, method, path}});
	}
}
