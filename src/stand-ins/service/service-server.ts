import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {
	noFaults, readText, sendAnswer, StandInServer, type CommonFaults,
} from '../stand-in-server.ts';

/** A request that the plain service has executed. */
export type Execution = {
	readonly method: string;
	readonly path: string;
	readonly body: string;
	readonly idempotencyKey?: string;
};

/** Faults of a plain service. */
export type ServiceFaults = CommonFaults & {
	/** Executes requests, then closes the connection without an answer. */
	readonly loseAnswers: boolean;
	/** Answers requests with a chunk extension that never ends, until the caller closes the connection. */
	readonly endlessAnswers: boolean;
	/** Refuses new work and announces that the service is leaving. */
	readonly leaving: boolean;
	/** Time to execute a request, in milliseconds. */
	readonly executionMs: number;
};

const fillerBytes = 4096;
const healthyFaults: ServiceFaults = {
	...noFaults, loseAnswers: false, endlessAnswers: false, leaving: false, executionMs: 0,
};

/** Stand-in for a plain service: records and numbers each execution. */
export class ServiceServer extends StandInServer<ServiceFaults> {
	readonly #executions: Execution[] = [];

	constructor(faults: Partial<ServiceFaults> = {}) {
		super({...healthyFaults, ...faults});
	}

	/** Executions in the order in which they began. */
	get executions(): readonly Execution[] {
		return this.#executions;
	}

	protected async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
		if (request.url === '/executions') {
			sendAnswer(response, {status: 200, body: this.#executions});
			return;
		}

		if (this.faults.leaving) {
			sendAnswer(response, {status: 503, headers: {'wagtailtack-leaving': 'true'}, body: {status: 'leaving'}});
			return;
		}

		if (request.url === '/healthz') {
			sendAnswer(response, {status: 200, body: {status: 'ok'}});
			return;
		}

		await this.#execute(request, response);
	}

	async #execute(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const {method = 'GET', url: path = '/', headers} = request;
		const body = await readText(request);
		const key = headers['idempotency-key'];
		this.#executions.push({
			method, path, body, ...(typeof key === 'string' ? {idempotencyKey: key} : {}),
		});
		const {length: number} = this.#executions;
		await delay(this.faults.executionMs);
		if (this.faults.loseAnswers) {
			request.socket.destroy();
			return;
		}

		if (this.faults.endlessAnswers) {
			writeWithoutEnd(request.socket);
			return;
		}

		sendAnswer(response, {status: 200, body: {number, method, path}});
	}
}

function writeWithoutEnd(socket: Socket): void {
	socket.write('HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5;a=');
	const filler = 'x'.repeat(fillerBytes);
	const write = () => {
		while (!socket.destroyed) {
			if (!socket.write(filler)) {
				socket.once('drain', write);
				return;
			}
		}
	};

	write();
}
