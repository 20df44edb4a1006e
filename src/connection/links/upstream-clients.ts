import {connect, type Socket} from 'node:net';
import type {buildConnector} from 'undici';
import type {WireRequest} from '../../ports/upstream-protocol.ts';
import type {Upstream} from '../../ports/upstream.ts';
import {parseAddress} from '../../process/address.ts';
import type {Clock} from '../../process/clock.ts';
import {readPendingEvents} from '../../process/pending-events.ts';
import {ByteBudget} from '../../request/byte-budget.ts';
import {AnswerGuard, type AnswerLimit} from '../answer-guard.ts';
import {maxHeadBytes} from '../answer-screen.ts';
import {Exchange, type ExchangeListener} from './exchange.ts';
import {UpstreamActivity} from './upstream-activity.ts';
import {Client} from './http-client.ts';

/** Timeouts of connections to upstreams, in milliseconds. */
export type ConnectionTimeouts = {
	/** Timeout for establishing a connection within the deployment, where a round trip takes a few milliseconds. */
	readonly connectTimeoutMs: number;
	/** A connection that was idle for longer is not reused, because the upstream may be closing it. */
	readonly idleTimeoutMs: number;
};

/** Timeouts for hosts of one region. */
export const defaultConnectionTimeouts: ConnectionTimeouts = {connectTimeoutMs: 400, idleTimeoutMs: 2000};

/** A connection with the guard that closes it on an answer without end. */
type GuardedClient = {
	readonly client: Client;
	readonly guard: AnswerGuard;
};

/** Called with the head of each final answer, also of one that nobody waits for; `startedAt` is when its request was written. */
export type HeadObserver = (upstream: Upstream, status: number, headers: Readonly<Record<string, string | string[] | undefined>>, startedAt: number) => void;

/** Called when an answer was given up at a limit. */
export type LimitObserver = (upstream: Upstream, limit: AnswerLimit, message: string) => void;

/** Options of the connections, apart from the clock. */
export type UpstreamClientsOptions = {
	/** @default defaultConnectionTimeouts */
	readonly timeouts?: ConnectionTimeouts;
	readonly observeHead?: HeadObserver;
	readonly observeLimit?: LimitObserver;
	/** Memory of all answers that are being collected, in bytes. @default 32 MiB */
	readonly answerBudgetBytes?: number;
};

type IdleClient = GuardedClient & {
	readonly idleSince: number;
};

const tcpKeepAliveDelayMs = 5000;
/** Memory of the answers that are being collected, in bytes, where no other limit is given. */
const defaultAnswerBudgetBytes = 32 * 1024 * 1024;

/** HTTP connections to all upstreams; each carries one request at a time and is reused only after a complete answer. */
export class UpstreamClients implements AsyncDisposable {
	/** Limits the memory of all answers that are being collected. */
	readonly answerBudget: ByteBudget;
	readonly #activity = new UpstreamActivity();
	readonly #clock: Clock;
	readonly #timeouts: ConnectionTimeouts;
	readonly #observeHead: HeadObserver;
	readonly #observeLimit: LimitObserver;
	readonly #idle = new Map<string, IdleClient[]>();
	readonly #open = new Set<Client>();
	/** Connections that broke; needed because the client library reports an answer without a length as complete when a reset cuts it short. */
	readonly #broken = new WeakSet<Client>();
	readonly #sockets = new WeakMap<Client, Socket>();
	#openedCount = 0;

	constructor(clock: Clock, {timeouts = defaultConnectionTimeouts, observeHead = () => undefined, observeLimit = () => undefined, answerBudgetBytes = defaultAnswerBudgetBytes}: UpstreamClientsOptions = {}) {
		this.answerBudget = new ByteBudget(answerBudgetBytes);
		this.#clock = clock;
		this.#timeouts = timeouts;
		this.#observeHead = observeHead;
		this.#observeLimit = observeLimit;
	}

	/** Number of connections opened so far. */
	get openedCount(): number {
		return this.#openedCount;
	}

	/** Number of exchanges in progress with an upstream. */
	countExchanges(id: string): number {
		return this.#activity.countExchanges(id);
	}

	/** Upstreams that have sent nothing for a time, although at least `minExchanges` exchanges wait for them. */
	silentUpstreams(silentMs: number, minExchanges = 1): readonly string[] {
		return this.#activity.silentUpstreams(this.#clock.now() - silentMs, minExchanges);
	}

	/** Sends a request on an idle connection, or on a new one; never throws. */
	send(upstream: Upstream, {method, path, headers, body}: WireRequest, listener: ExchangeListener): Exchange {
		const {id, address} = upstream;
		let startedAt = 0;
		const idle = this.#takeIdle(id);
		let connection: GuardedClient;
		try {
			connection = idle ?? this.#connect(address);
		} catch (error) {
			// The client library rejects the address.
			return failAsUnreachable(listener, error);
		}

		const {client, guard} = connection;
		const timer = setTimeout(() => {
			void this.#cancelConnecting(exchange);
		}, this.#timeouts.connectTimeoutMs);
		const exchange = new Exchange({
			...listener,
			onStarted: () => {
				clearTimeout(timer);
				startedAt = this.#clock.now();
				guard.begin();
				this.#activity.begin(id, startedAt);
				listener.onStarted();
			},
			onHead: (status, answerHeaders, isReused) => {
				this.#activity.hear(id, this.#clock.now());
				this.#observeHead(upstream, status, answerHeaders, startedAt);
				return listener.onHead(status, answerHeaders, isReused);
			},
			onData: chunk => {
				guard.countBody(chunk.length);
				this.#activity.hear(id, this.#clock.now());
				listener.onData(chunk);
			},
			onEnd: () => {
				this.#activity.end(id);
				if (this.#broken.has(client)) {
					this.#close(client);
					listener.onFailed({wasSent: true, kind: 'lost', message: 'the connection was reset in the middle of the answer'});
					return;
				}

				if (exchange.isOwnAnswer) {
					this.#keepIdle(id, {client, guard});
				} else {
					// The answer to this request may still follow and would be taken for the answer to the next one.
					this.#close(client);
				}

				listener.onEnd();
			},
			onFailed: failure => {
				clearTimeout(timer);
				if (exchange.isStarted) {
					this.#activity.end(id);
				}

				this.#close(client);
				if (failure.limit !== undefined) {
					this.#observeLimit(upstream, failure.limit, failure.message);
				}

				listener.onFailed(failure);
			},
		}, reason => {
			void client.destroy(reason);
		}, () => {
			resetConnection(this.#sockets.get(client));
		}, idle !== undefined);
		try {
			client.dispatch({
				method, path, headers: [...headers], body: body.length === 0 ? null : body, headersTimeout: 0, bodyTimeout: 0,
			}, exchange);
		} catch (error) {
			exchange.onResponseError(undefined as never, error as Error);
		}

		return exchange;
	}

	/** Closes the idle connections of an upstream that was removed or whose connections went silent. */
	closeIdle(id: string): void {
		for (const {client} of this.#idle.get(id) ?? []) {
			this.#close(client);
		}

		this.#idle.delete(id);
	}

	/** Closes connections that have been idle for longer than the idle timeout. */
	closeExpired(): void {
		const oldest = this.#clock.now() - this.#timeouts.idleTimeoutMs;
		for (const [id, kept] of this.#idle) {
			const live = kept.filter(({idleSince}) => idleSince >= oldest);
			for (const {client} of kept.filter(({idleSince}) => idleSince < oldest)) {
				this.#close(client);
			}

			if (live.length === 0) {
				this.#idle.delete(id);
			} else {
				this.#idle.set(id, live);
			}
		}
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await Promise.all([...this.#open].map(async client => client.destroy()));
	}

	/** Ends an exchange without a connection; after the daemon has stood still, the timer runs before connections that were established meanwhile are seen. */
	async #cancelConnecting(exchange: Exchange): Promise<void> {
		await readPendingEvents();
		exchange.cancelConnecting(`no connection within ${this.#timeouts.connectTimeoutMs} ms`);
	}

	#connect(address: string): GuardedClient {
		const guard = new AnswerGuard();
		const client = new Client(`http://${address}`, {
			pipelining: 1,
			connect: (_options, callback) => {
				// The options leave out port 80.
				const socket = connect({
					...parseAddress(address), noDelay: true, keepAlive: true, keepAliveInitialDelay: tcpKeepAliveDelayMs,
				});
				guard.watch(socket);
				this.#watchSocket(socket, client, callback);
			},
			keepAliveTimeout: this.#timeouts.idleTimeoutMs,
			keepAliveMaxTimeout: this.#timeouts.idleTimeoutMs,
			keepAliveTimeoutThreshold: 500,
			maxHeaderSize: maxHeadBytes,
		});
		this.#openedCount += 1;
		this.#open.add(client);
		client.on('disconnect', () => {
			this.#close(client);
		});
		return {client, guard};
	}

	#watchSocket(socket: Socket, client: Client, callback: buildConnector.Callback): void {
		let isConnected = false;
		this.#sockets.set(client, socket);
		socket.once('connect', () => {
			isConnected = true;
			callback(null, socket);
		});
		socket.once('end', () => {
			// A reset right after the end of the stream is reported as a normal end; only the missing remote port tells them apart.
			// An upstream that breaks off while the request is written may end its side first.
			if (socket.remotePort === undefined || socket.writableLength > 0) {
				this.#broken.add(client);
			}
		});
		socket.on('error', error => {
			this.#broken.add(client);
			if (!isConnected) {
				callback(error, null);
			}
		});
	}

	#takeIdle(id: string): GuardedClient | undefined {
		const kept = this.#idle.get(id);
		const oldest = this.#clock.now() - this.#timeouts.idleTimeoutMs;
		for (let last = kept?.pop(); last !== undefined; last = kept?.pop()) {
			if (this.#open.has(last.client) && last.idleSince >= oldest) {
				return last;
			}

			this.#close(last.client);
		}

		return undefined;
	}

	/** Keeps a connection for reuse. The client library may still close one that is not kept alive, which `#takeIdle` detects. */
	#keepIdle(id: string, connection: GuardedClient): void {
		if (!this.#open.has(connection.client)) {
			return;
		}

		const kept = this.#idle.get(id) ?? [];
		kept.push({...connection, idleSince: this.#clock.now()});
		this.#idle.set(id, kept);
	}

	#close(client: Client): void {
		if (this.#open.delete(client)) {
			void client.destroy();
		}
	}
}

/** Ends an exchange without a connection, after the caller has received it. */
function failAsUnreachable(listener: ExchangeListener, error: unknown): Exchange {
	const exchange = new Exchange(listener, () => undefined);
	queueMicrotask(() => {
		exchange.cancelConnecting(error instanceof Error ? error.message : String(error));
	});
	return exchange;
}

/**
Resets a connection whose exchange was cancelled.

The client library must see an error first: it takes a connection that closes without one for the end of an answer that has no
length, and fails an assertion outside of any request, which ends the process, because that answer's request was cancelled.
*/
function resetConnection(socket: Socket | undefined): void {
	if (socket?.connecting === false && !socket.destroyed) {
		socket.emit('error', new Error('the exchange was cancelled'));
	}

	socket?.resetAndDestroy();
}
