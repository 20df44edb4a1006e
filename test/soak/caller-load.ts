import {Agent, request as createRequest} from 'node:http';
import {SeededRandom} from '../../src/process/random.ts';

/** Kinds of requests that callers send, each with its route. */
export const requestKinds = {
	lookup: {
		path: '/lookup/', isRepeatable: true, isStream: false, timeoutMs: 1500,
	},
	book: {
		path: '/book/', isRepeatable: false, isStream: false, timeoutMs: 1500,
	},
	brief: {
		path: '/brief/', isRepeatable: true, isStream: true, timeoutMs: 4000,
	},
	flag: {
		path: '/flag/', isRepeatable: false, isStream: true, timeoutMs: 4000,
	},
} as const;

/** A kind of request. */
export type RequestKind = keyof typeof requestKinds;

/** A request and the answer that its caller received; times in milliseconds of the monotonic clock. */
export type CallerRequest = {
	readonly id: string;
	readonly kind: RequestKind;
	readonly daemon: number;
	readonly body: string;
	readonly sentAt: number;
	/** Undefined while the request is in flight. */
	endedAt?: number;
	/** HTTP status; 0 when no answer arrived. */
	status: number;
	/** Signature in the answer's header `x-response-seal`. */
	seal?: string;
	/** Request id in the answer's header `x-request-id`. */
	answeredId?: string;
	/** Body received so far. */
	received: string;
	/** True when the answer arrived in full. */
	isComplete: boolean;
};

const callersPerDaemon = 3;
const minPauseMs = 20;
const maxPauseMs = 120;
const deadlineMs = 5000;
const kinds = Object.keys(requestKinds) as RequestKind[];

/** Callers that send requests to the daemons, each one request at a time on a keep-alive connection. */
export class CallerLoad implements AsyncDisposable {
	readonly requests: CallerRequest[] = [];
	readonly #random: SeededRandom;
	readonly #addresses: readonly string[];
	readonly #agents: Agent[] = [];
	#isStopped = false;
	#running: ReadonlyArray<Promise<void>> = [];
	#count = 0;

	constructor(addresses: readonly string[], seed: number) {
		this.#addresses = addresses;
		this.#random = new SeededRandom(seed);
	}

	/** Starts all callers. */
	start(): void {
		this.#running = this.#addresses.flatMap((_address, daemon) => Array.from({length: callersPerDaemon}, async () => this.#call(daemon)));
	}

	/** Stops sending and waits for the requests in flight. */
	async stop(): Promise<void> {
		this.#isStopped = true;
		await Promise.all(this.#running);
	}

	/** Sends one request and waits until its answer ends or its connection closes. */
	async send(daemon: number, kind: RequestKind, agent?: Agent): Promise<CallerRequest> {
		this.#count += 1;
		const sent: CallerRequest = {
			id: `r${this.#count}`, kind, daemon, body: `body of r${this.#count}`, sentAt: performance.now(), status: 0, received: '', isComplete: false,
		};
		this.requests.push(sent);
		const {promise, resolve} = Promise.withResolvers<void>();
		const [host, port] = this.#addresses[daemon]!.split(':');
		const {path, isStream} = requestKinds[kind];
		const request = createRequest({
			host,
			port: Number(port),
			path: `${path}${sent.id}`,
			method: 'POST',
			agent: agent ?? false,
			headers: {
				host: 'a.example',
				'x-request-id': sent.id,
				'x-deadline-ms': String(deadlineMs),
				...(isStream ? createPromptHeaders(this.#count) : {}),
			},
		}, response => {
			sent.status = response.statusCode ?? 0;
			sent.seal = response.headers['x-response-seal'] as string | undefined;
			sent.answeredId = response.headers['x-request-id'] as string | undefined;
			response.setEncoding('utf8');
			response.on('data', (text: string) => {
				sent.received += text;
			});
			response.once('end', () => {
				sent.isComplete = response.complete;
			});
			response.once('error', () => {
				sent.isComplete = false;
			});
			response.once('close', resolve);
		});
		request.once('error', () => {
			resolve();
		});
		request.setTimeout(deadlineMs * 2, () => {
			request.destroy();
		});
		request.end(sent.body);
		await promise;
		sent.endedAt = performance.now();
		return sent;
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await this.stop();
		for (const agent of this.#agents) {
			agent.destroy();
		}
	}

	async #call(daemon: number): Promise<void> {
		const agent = new Agent({keepAlive: true, maxSockets: 1});
		this.#agents.push(agent);
		while (!this.#isStopped) {
			await this.send(daemon, kinds[this.#random.integer(kinds.length)]!, agent);
			await new Promise(resolve => {
				setTimeout(resolve, minPauseMs + this.#random.integer(maxPauseMs - minPauseMs));
			});
		}
	}
}

/** Headers of a prompt that a decode engine may prefill itself, or, for every other number, of one that is too long for that. */
function createPromptHeaders(number: number): Readonly<Record<string, string>> {
	const sharedTokens = number % 2 === 0 ? 800 : 13_300;
	const ownTokens = 660;
	return {'x-model': 'm', 'x-token-counts': `${sharedTokens + ownTokens},80`, 'x-prompt-prefix': `${sharedTokens.toString(16)}:${sharedTokens},${number.toString(16)}:${ownTokens}`};
}
