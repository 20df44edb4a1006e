import {Client, DecoratorHandler, type Dispatcher} from 'undici';
import {probeOver, type ProbeResult} from './probe.ts';

/** Limit on connecting to an upstream of the same deployment. */
export const connectTimeoutMs = 1000;
/** Engines close connections that are idle for 2 s; closing first avoids a request on a closing connection. */
const idleTimeoutMs = 1500;
const tcpKeepAliveDelayMs = 5000;
const maxAnswerHeadBytes = 64 * 1024;

/** What a connection reports about the request that it carries. */
export type ConnectionEvents = {
	readonly onHead: (status: number, headers: Readonly<Record<string, unknown>>) => void;
	readonly onError: (error: Error) => void;
	readonly onEnd: () => void;
};

/** What a connection reports about its socket. */
export type SocketEvents = {
	readonly onOpened: () => void;
	readonly onClosed: (connection: UpstreamConnection) => void;
};

/** Reason with which a connection that went silent is closed. */
export class SilentConnectionError extends Error {
	constructor() {
		super('The connection went silent while a new one to the same upstream works.');
	}
}

/** One connection to an upstream; it carries one request at a time. */
export class UpstreamConnection {
	readonly #client: Client;
	readonly #now: () => number;
	#openedAt: number;
	#lastByteAt: number;
	#isBusy = false;
	#isReusable = true;
	#isPresumedSilent = false;
	#silenceTimeoutMs = Infinity;
	#controller: Dispatcher.DispatchController | undefined;

	constructor(origin: string, now: () => number, socket: SocketEvents) {
		this.#now = now;
		this.#openedAt = now();
		this.#lastByteAt = this.#openedAt;
		this.#client = new Client(origin, {
			pipelining: 1,
			connect: {timeout: connectTimeoutMs, keepAlive: true, keepAliveInitialDelay: tcpKeepAliveDelayMs},
			keepAliveTimeout: idleTimeoutMs,
			keepAliveMaxTimeout: idleTimeoutMs,
			maxHeaderSize: maxAnswerHeadBytes,
		});
		this.#client.on('connect', () => {
			this.#openedAt = now();
			socket.onOpened();
		});
		this.#client.on('disconnect', () => {
			socket.onClosed(this);
		});
	}

	/** Time at which the connection was opened. */
	get openedAt(): number {
		return this.#openedAt;
	}

	/** True while the connection carries a request. */
	get isBusy(): boolean {
		return this.#isBusy;
	}

	/** False once the connection must carry no further request. */
	get isReusable(): boolean {
		return this.#isReusable;
	}

	/** Time of the last byte received, or of the start of the request that waits for one, in milliseconds. */
	get lastByteAt(): number {
		return this.#lastByteAt;
	}

	/** Time without a byte while a request waits for one; an answer that its reader holds back is not silent. */
	get silentMs(): number {
		if (this.#controller?.paused === true) {
			this.#lastByteAt = this.#now();
		}

		return this.#isBusy ? this.#now() - this.#lastByteAt : 0;
	}

	/** True when the request has been silent for longer than its own limit. */
	get isOverdue(): boolean {
		return this.silentMs >= this.#silenceTimeoutMs;
	}

	/** True when a younger connection to the same upstream has gone silent. */
	get isPresumedSilent(): boolean {
		return this.#isPresumedSilent;
	}

	/** Reserves the connection for one request. */
	reserve(): void {
		this.#isBusy = true;
		this.#silenceTimeoutMs = Infinity;
		this.#controller = undefined;
		this.#lastByteAt = this.#now();
	}

	/** Sends a request on the reserved connection. */
	send(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler, silenceMs: number, events: ConnectionEvents): void {
		const observer = new ObservingHandler(handler, {
			onStart: controller => {
				this.#lastByteAt = this.#now();
				this.#silenceTimeoutMs = silenceMs;
				this.#controller = controller;
			},
			onHead: (status, headers) => {
				this.#lastByteAt = this.#now();
				events.onHead(status, headers);
			},
			onData: () => {
				this.#lastByteAt = this.#now();
			},
			onError: error => {
				this.#isReusable = false;
				events.onError(error);
			},
			onEnd: () => {
				this.#isBusy = false;
				this.#lastByteAt = this.#now();
				events.onEnd();
			},
		});
		this.#client.dispatch(options, observer);
	}

	/** Asks the upstream for its health over this connection, which is idle. */
	async probe(): Promise<ProbeResult> {
		this.reserve();
		const result = await probeOver(this.#client);
		this.#isBusy = false;
		this.#lastByteAt = this.#now();
		return result;
	}

	/** Marks the connection as probably silent, because a younger one is. */
	presumeSilent(): void {
		this.#isPresumedSilent = true;
		this.#isReusable = false;
	}

	/** Keeps further requests off the connection. */
	preventReuse(): void {
		this.#isReusable = false;
	}

	/** Closes the connection; a request on it ends with the reason. */
	async close(reason: Error = new Error('The connection was closed.')): Promise<void> {
		this.#isReusable = false;
		await this.#client.destroy(reason);
	}
}

type ObservedEvents = ConnectionEvents & {readonly onStart: (controller: Dispatcher.DispatchController) => void; readonly onData: () => void};

/** Reports the course of a request before the request's own handler acts on it. */
class ObservingHandler implements Dispatcher.DispatchHandler {
	readonly #inner: Dispatcher.DispatchHandler;
	readonly #events: ObservedEvents;

	constructor(handler: Dispatcher.DispatchHandler, events: ObservedEvents) {
		// The decorator also takes handlers of the client library's earlier interface.
		this.#inner = new DecoratorHandler(handler);
		this.#events = events;
	}

	onRequestStart(...[controller, context]: Parameters<NonNullable<Dispatcher.DispatchHandler['onRequestStart']>>): void {
		this.#events.onStart(controller);
		this.#inner.onRequestStart?.(controller, context);
	}

	onResponseStart(...[controller, status, headers, message]: Parameters<NonNullable<Dispatcher.DispatchHandler['onResponseStart']>>): void {
		this.#events.onHead(status, headers);
		this.#inner.onResponseStart?.(controller, status, headers, message);
	}

	onResponseData(...[controller, chunk]: Parameters<NonNullable<Dispatcher.DispatchHandler['onResponseData']>>): void {
		this.#events.onData();
		this.#inner.onResponseData?.(controller, chunk);
	}

	onResponseEnd(...[controller, trailers]: Parameters<NonNullable<Dispatcher.DispatchHandler['onResponseEnd']>>): void {
		this.#events.onEnd();
		this.#inner.onResponseEnd?.(controller, trailers);
	}

	onResponseError(...[controller, error]: Parameters<NonNullable<Dispatcher.DispatchHandler['onResponseError']>>): void {
		this.#events.onError(error);
		this.#events.onEnd();
		this.#inner.onResponseError?.(controller, error);
	}
}
