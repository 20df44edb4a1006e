import {Agent, request as createRequest, type ClientRequest} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {SeededRandom} from '../../src/process/random.ts';
import {soakKey} from './soak-accounts.ts';

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
	/** Its route is in some configurations only. */
	extra: {
		path: '/extra/', isRepeatable: false, isStream: false, timeoutMs: 1500,
	},
} as const;

/** A kind of request. */
export type RequestKind = keyof typeof requestKinds;

/** Kinds whose routes are in all configurations. */
export const usualKinds = ['lookup', 'book', 'brief', 'flag'] as const satisfies readonly RequestKind[];

/** How a caller sends its body and reads the answer. */
type Pace = 'prompt' | 'slowBody' | 'verySlowBody' | 'slowReader';

/** A request and the answer that its caller received; times in milliseconds of the monotonic clock. */
export type CallerRequest = {
	readonly id: string;
	readonly kind: RequestKind;
	readonly daemon: number;
	readonly body: string;
	readonly sentAt: number;
	/** Time at which the last byte was handed to the operating system; undefined before that. */
	wholeAt?: number;
	/** How its exchange ended: with a complete answer, closed or reset by the daemon, or given up by the caller after a time without data. */
	ending?: 'complete' | 'closed' | 'reset' | 'timedOut';
	/** Time at which the exchange ended, also for a caller that was still sending. */
	closedAt?: number;
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
	/** Least time that its caller takes to send the body, in milliseconds. */
	readonly bodyMs: number;
	/** Error that ended the exchange. */
	cause?: string;
	/** True when the answer arrived in full. */
	isComplete: boolean;
};

const callersPerDaemon = 3;
const minPauseMs = 20;
const maxPauseMs = 120;
const deadlineMs = 5000;
/** Slow callers keep idle connections for up to this time, less than the shortest idle timeout. */
const maxSlowPauseMs = 1500;
const bodyPieces = 4;
/** Time between the pieces of a body; a very slow one outlasts the first seconds of a planned stop, after which the daemon refuses new requests. */
const pieceGapsMs: Readonly<Partial<Record<Pace, number>>> = {slowBody: 300, verySlowBody: 1500};
const readDelayMs = 600;
const slowKinds: readonly RequestKind[] = [...usualKinds, 'extra'];
const paces: readonly Pace[] = ['prompt', 'slowBody', 'slowBody', 'verySlowBody', 'slowReader', 'slowReader'];

/** Callers that send requests to the daemons, each one request at a time on a keep-alive connection. */
export class CallerLoad implements AsyncDisposable {
	readonly requests: CallerRequest[] = [];
	readonly #random: SeededRandom;
	readonly #addresses: readonly string[];
	readonly #agents: Agent[] = [];
	readonly #hasSlowCallers: boolean;
	#isStopped = false;
	#running: ReadonlyArray<Promise<void>> = [];
	#count = 0;

	constructor(addresses: readonly string[], seed: number, hasSlowCallers = false) {
		this.#addresses = addresses;
		this.#hasSlowCallers = hasSlowCallers;
		this.#random = new SeededRandom(seed);
	}

	/** Starts all callers. */
	start(): void {
		this.#running = this.#addresses.flatMap((_address, daemon) => [
			...Array.from({length: callersPerDaemon}, async () => this.#call(daemon)),
			...(this.#hasSlowCallers ? [this.#callSlowly(daemon)] : []),
		]);
	}

	/** Stops sending and waits for the requests in flight. */
	async stop(): Promise<void> {
		this.#isStopped = true;
		await Promise.all(this.#running);
	}

	/** Sends one request and waits until its answer ends or its connection closes. */
	async send(daemon: number, kind: RequestKind, agent?: Agent, pace: Pace = 'prompt'): Promise<CallerRequest> {
		this.#count += 1;
		const pieceGapMs = pieceGapsMs[pace];
		const sent: CallerRequest = {
			id: `r${this.#count}`, kind, daemon, body: `body of r${this.#count}`, sentAt: performance.now(), status: 0, received: '', isComplete: false, bodyMs: (pieceGapMs ?? 0) * bodyPieces,
		};
		this.requests.push(sent);
		const {promise, resolve} = Promise.withResolvers<void>();
		let hasTimedOut = false;
		const end = () => {
			if (sent.closedAt === undefined) {
				sent.closedAt = performance.now();
				sent.ending = findEnding(sent, request, hasTimedOut);
			}

			resolve();
		};

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
				authorization: `Bearer ${soakKey(isStream ? 'north' : 'south')}`,
				...(isStream ? createPromptHeaders(this.#count) : {}),
			},
		}, response => {
			sent.status = response.statusCode ?? 0;
			sent.seal = response.headers['x-response-seal'] as string | undefined;
			sent.answeredId = response.headers['x-request-id'] as string | undefined;
			if (pace === 'slowReader') {
				response.pause();
				setTimeout(() => {
					response.resume();
				}, readDelayMs);
			}

			response.setEncoding('utf8');
			response.on('data', (text: string) => {
				sent.received += text;
			});
			response.once('end', () => {
				sent.isComplete = response.complete;
			});
			response.once('error', error => {
				sent.cause = error.message;
				sent.isComplete = false;
			});
			response.once('close', end);
		});
		request.once('finish', () => {
			sent.wholeAt = performance.now();
		});
		request.once('error', error => {
			sent.cause = error.message;
			end();
		});
		request.setTimeout(deadlineMs * 2, () => {
			hasTimedOut = true;
			request.destroy();
		});
		if (pieceGapMs === undefined) {
			request.end(sent.body);
		} else {
			await sendSlowly(request, sent.body, pieceGapMs);
		}

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
			await this.send(daemon, usualKinds[this.#random.integer(usualKinds.length)]!, agent);
			await delay(minPauseMs + this.#random.integer(maxPauseMs - minPauseMs));
		}
	}

	/** Calls seldom on one connection, and mostly sends or reads slowly. */
	async #callSlowly(daemon: number): Promise<void> {
		const agent = new Agent({keepAlive: true, maxSockets: 1});
		this.#agents.push(agent);
		while (!this.#isStopped) {
			await this.send(daemon, slowKinds[this.#random.integer(slowKinds.length)]!, agent, paces[this.#random.integer(paces.length)]);
			await delay(minPauseMs + this.#random.integer(maxSlowPauseMs - minPauseMs));
		}
	}
}

function findEnding({isComplete}: CallerRequest, {socket}: ClientRequest, hasTimedOut: boolean): CallerRequest['ending'] {
	if (isComplete || hasTimedOut) {
		return isComplete ? 'complete' : 'timedOut';
	}

	// A socket that its peer has closed has no error.
	return (socket?.errored ?? undefined) === undefined ? 'closed' : 'reset';
}

/** Sends a body in pieces, in chunks without a length. */
async function sendSlowly(request: ClientRequest, body: string, pieceGapMs: number): Promise<void> {
	const size = Math.ceil(body.length / bodyPieces);
	for (let start = 0; start < body.length && !request.destroyed; start += size) {
		request.write(body.slice(start, start + size));
		await delay(pieceGapMs);
	}

	request.end();
}

/** Headers of a prompt that a decode engine may prefill itself, or, for every other number, of one that is too long for that. */
function createPromptHeaders(number: number): Readonly<Record<string, string>> {
	const sharedTokens = number % 2 === 0 ? 800 : 13_300;
	const ownTokens = 660;
	return {'x-model': 'm', 'x-token-counts': `${sharedTokens + ownTokens},80`, 'x-prompt-prefix': `${sharedTokens.toString(16)}:${sharedTokens},${number.toString(16)}:${ownTokens}`};
}
