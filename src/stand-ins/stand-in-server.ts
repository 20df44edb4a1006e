import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import type {Socket} from 'node:net';
import type {Address} from '../process/address.ts';
import {closeAbruptly, listen} from '../connection/http-listener.ts';
import {requestIdHeader} from '../request/headers.ts';

/** Faults that all stand-ins support; set with `PUT /faults` at runtime. */
export type CommonFaults = {
	/** Delay before each answer, in milliseconds. */
	readonly slowMs: number;
	/** Refuses every request by closing its connection. */
	readonly down: boolean;
	/** Sends nothing more on the connections that are open when this is set; new connections work. */
	readonly silent: boolean;
};

/** Answer of a stand-in to one request. */
export type StandInAnswer = {
	readonly status: number;
	readonly body?: unknown;
	readonly headers?: Readonly<Record<string, string>>;
};

/** Settings in which all common faults are off. */
export const noFaults: CommonFaults = {slowMs: 0, down: false, silent: false};

/** HTTP server of a stand-in, with faults that can be set over HTTP at runtime. */
export abstract class StandInServer<Faults extends CommonFaults = CommonFaults> implements AsyncDisposable {
	readonly #server: Server;
	readonly #sockets = new Set<Socket>();
	readonly #silenced = new WeakSet();
	#inFlight = 0;
	#isDisposed = false;
	/** Socket of the request that is setting the faults; it is not silenced, so that the request gets its answer. */
	#faultRequestSocket: Socket | undefined;
	#faults: Faults;

	constructor(faults: Faults) {
		this.#faults = faults;
		this.#server = createServer((request, response) => {
			void this.#handle(request, response);
		});
	}

	/** Current faults. */
	get faults(): Faults {
		return this.#faults;
	}

	/** Requests that have arrived and have not been answered in full. */
	get inFlight(): number {
		return this.#inFlight;
	}

	/** Changes the given faults; when `silent` is set, silences all open connections. */
	setFaults(faults: Partial<Faults>): void {
		this.#faults = {...this.#faults, ...faults};
		if (faults.silent === true) {
			for (const socket of this.#sockets) {
				this.#silence(socket);
			}
		}
	}

	/** Binds the server and resolves with its address. */
	async listen(address: Address): Promise<Address> {
		this.#server.on('connection', socket => {
			this.#sockets.add(socket);
			socket.once('close', () => {
				this.#sockets.delete(socket);
			});
		});
		return listen(this.#server, address);
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#isDisposed = true;
		await closeAbruptly(this.#server);
	}

	/** Closes the listener and all connections, and listens again after a time in milliseconds, as a process does that crashes and is restarted. */
	protected refuseConnections(durationMs: number): void {
		const address = this.#server.address();
		if (address === null || typeof address === 'string') {
			return;
		}

		this.#server.close();
		this.#server.closeAllConnections();
		setTimeout(() => {
			if (!this.#isDisposed) {
				this.#server.listen(address.port, address.address);
			}
		}, durationMs).unref();
	}

	/** HTTP server, for subclasses that set their own connection limits. */
	protected get server(): Server {
		return this.#server;
	}

	/** Answers a request that no common fault has dropped. */
	protected abstract serve(request: IncomingMessage, response: ServerResponse): Promise<void>;

	/** Corks a socket, so that answers in progress are held back too; later requests on it are not answered. */
	#silence(socket: Socket): void {
		if (socket !== this.#faultRequestSocket) {
			this.#silenced.add(socket);
			socket.cork();
		}
	}

	async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
		this.#inFlight += 1;
		response.once('close', () => {
			this.#inFlight -= 1;
		});
		response.on('error', () => {
			response.destroy();
		});
		try {
			if (request.url === '/faults') {
				await this.#handleFaults(request, response);
				return;
			}

			if (this.#silenced.has(request.socket)) {
				return;
			}

			if (this.#faults.down) {
				request.socket.destroy();
				return;
			}

			echoRequestId(request, response);
			await delay(this.#faults.slowMs);
			await this.serve(request, response);
		} catch (error) {
			response.destroy(error instanceof Error ? error : undefined);
		}
	}

	async #handleFaults(request: IncomingMessage, response: ServerResponse): Promise<void> {
		if (request.method === 'PUT') {
			const faults = JSON.parse(await readText(request)) as Partial<Faults>;
			this.#faultRequestSocket = request.socket;
			this.setFaults(faults);
			this.#faultRequestSocket = undefined;
		}

		sendAnswer(response, {status: 200, body: this.#faults});
	}
}

/** Repeats the id of the request in the answer, so that the other end can tell to which request it belongs. */
function echoRequestId({headers}: IncomingMessage, response: ServerResponse): void {
	const id = headers[requestIdHeader];
	if (typeof id === 'string') {
		response.setHeader(requestIdHeader, id);
	}
}

/** Reads a request body as text. */
export async function readText(request: IncomingMessage): Promise<string> {
	const chunks: Uint8Array[] = [];
	for await (const chunk of request) {
		chunks.push(chunk as Uint8Array);
	}

	return Buffer.concat(chunks).toString('utf8');
}

/** Sends an answer as JSON. */
export function sendAnswer(response: ServerResponse, answer: StandInAnswer): void {
	response.writeHead(answer.status, {'content-type': 'application/json', ...answer.headers});
	response.end(answer.body === undefined ? undefined : JSON.stringify(answer.body));
}
