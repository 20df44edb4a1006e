import {
	buildConnector, Client, DecoratorHandler, type Dispatcher,
} from 'undici';
import {requestIdHeader} from '../request/headers.ts';
import {AnswerGuard} from './answer-guard.ts';
import {maxHeadBytes} from './answer-screen.ts';
import {probeOver, type ProbeResult} from './probe.ts';
import {
	countSilenceFrom, isOverdue, type ConnectionTrial, type ObservedConnection,
} from './silence.ts';

/** Timeout for connecting to an upstream of the same deployment. */
export const connectTimeoutMs = 1000;
/** Shorter than the 2 s after which engines close idle connections, so that no request is sent on a closing one. */
const idleTimeoutMs = 1500;
const tcpKeepAliveDelayMs = 5000;

/** Events of the request that a connection carries. */
export type ConnectionEvents = {
	readonly onHead: (status: number, headers: Readonly<Record<string, unknown>>) => void;
	readonly onError: (error: Error) => void;
	readonly onEnd: () => void;
};

/** Events of the socket of a connection. */
export type SocketEvents = {
	readonly onOpened: () => void;
	readonly onClosed: (connection: UpstreamConnection) => void;
};

/** Error of a request whose connection went silent and was closed. */
export class SilentConnectionError extends Error {
	constructor() {
		super('The connection went silent, but a new connection to the same upstream works.');
	}
}

/** One connection to an upstream; carries one request at a time. */
export class UpstreamConnection implements ObservedConnection {
	readonly #client: Client;
	readonly #guard = new AnswerGuard();
	readonly #now: () => number;
	#openedAt: number;
	#lastByteAt: number;
	#silentSince: number;
	#isBusy = false;
	#isReusable = true;
	#isPresumedSilent = false;
	#silenceTimeoutMs = Infinity;
	#controller: Dispatcher.DispatchController | undefined;

	constructor(origin: string, now: () => number, socket: SocketEvents) {
		this.#now = now;
		this.#openedAt = now();
		this.#lastByteAt = this.#openedAt;
		this.#silentSince = this.#openedAt;
		this.#client = new Client(origin, {
			pipelining: 1,
			connect: this.#guard.wrap(buildConnector({timeout: connectTimeoutMs, keepAlive: true, keepAliveInitialDelay: tcpKeepAliveDelayMs})),
			keepAliveTimeout: idleTimeoutMs,
			keepAliveMaxTimeout: idleTimeoutMs,
			maxHeaderSize: maxHeadBytes,
		});
		this.#client.on('connect', () => {
			this.#openedAt = now();
			socket.onOpened();
		});
		this.#client.on('disconnect', () => {
			socket.onClosed(this);
		});
	}

	/** Time at which the connection was opened, in milliseconds. */
	get openedAt(): number {
		return this.#openedAt;
	}

	/** True while the connection carries a request. */
	get isBusy(): boolean {
		return this.#isBusy;
	}

	/** True while a request, other than a probe, has been written and is not complete. */
	get isWaiting(): boolean {
		return this.#isBusy && this.#silenceTimeoutMs < Infinity;
	}

	/** False once the connection must not carry further requests. */
	get isReusable(): boolean {
		return this.#isReusable;
	}

	/** Time of the last byte received, or of the start of a request that waits for its first byte, in milliseconds. */
	get lastByteAt(): number {
		return this.#lastByteAt;
	}

	/** Time from which the silence of the request counts, in milliseconds. */
	get silentSince(): number {
		return this.#silentSince;
	}

	/** Time that a request has waited for a byte while the upstream answered on new connections, in milliseconds; a paused answer does not count as silent. */
	get silentMs(): number {
		if (this.#controller?.paused === true) {
			this.#restartSilence();
		}

		return this.#isBusy ? this.#now() - this.#silentSince : 0;
	}

	/** Silence after which the request may be given up, in milliseconds. */
	get silenceTimeoutMs(): number {
		return this.#silenceTimeoutMs;
	}

	/** True when the request has waited for a byte for as long as it may. */
	get isOverdue(): boolean {
		return this.isWaiting && this.silentMs > 0 && isOverdue(this, this.#now());
	}

	/** True when a connection of the same age to the same upstream is lost, and no byte has arrived since. */
	get isPresumedSilent(): boolean {
		return this.#isPresumedSilent;
	}

	/** Reserves the connection for one request. */
	reserve(): void {
		this.#isBusy = true;
		this.#silenceTimeoutMs = Infinity;
		this.#controller = undefined;
		this.#restartSilence();
	}

	/** Sends a request on the reserved connection. */
	send(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler, silenceTimeoutMs: number, events: ConnectionEvents): void {
		const observer = new ObservingHandler(handler, {
			onStart: controller => {
				this.#guard.begin();
				this.#restartSilence();
				this.#silenceTimeoutMs = silenceTimeoutMs;
				this.#controller = controller;
			},
			onHead: (status, headers) => {
				this.#receive();
				// Without the id, a late second copy of this answer could not be told from the answer to the next request.
				this.#isReusable &&= status < 200 || headers[requestIdHeader] !== undefined;
				events.onHead(status, headers);
			},
			onData: bytes => {
				this.#guard.countBody(bytes);
				this.#receive();
			},
			onError: error => {
				this.#isReusable = false;
				events.onError(error);
			},
			onEnd: () => {
				this.#isBusy = false;
				this.#restartSilence();
				events.onEnd();
			},
		});
		this.#client.dispatch(options, observer);
	}

	/** Probes the health of the upstream over this connection, which must be idle. */
	async probe(timeoutMs?: number): Promise<ProbeResult> {
		this.reserve();
		this.#guard.begin();
		const result = await probeOver(this.#client, timeoutMs);
		this.#isBusy = false;
		this.#restartSilence();
		return result;
	}

	/** Marks the connection as probably silent, because one of its age is; a byte proves otherwise. */
	presumeSilent(): void {
		this.#isPresumedSilent = true;
		this.#isReusable = false;
	}

	/** Records how a new connection to the same upstream was answered. */
	recordTrial(trial: ConnectionTrial): void {
		this.#silentSince = countSilenceFrom(this.#silentSince, trial);
	}

	/** Prevents further requests on the connection. */
	preventReuse(): void {
		this.#isReusable = false;
	}

	/** Closes the connection; a request on it fails with the reason. */
	async close(reason: Error = new Error('The connection was closed.')): Promise<void> {
		this.#isReusable = false;
		await this.#client.destroy(reason);
	}

	#receive(): void {
		this.#restartSilence();
		this.#isPresumedSilent = false;
	}

	#restartSilence(): void {
		this.#lastByteAt = this.#now();
		this.#silentSince = this.#lastByteAt;
	}
}

/** Lower statuses are those of informational answers. */
const minFinalStatus = 200;

type ObservedEvents = ConnectionEvents & {readonly onStart: (controller: Dispatcher.DispatchController) => void; readonly onData: (bytes: number) => void};

/** Reports the events of a request before passing them to the request's own handler. */
class ObservingHandler implements Dispatcher.DispatchHandler {
	readonly #inner: Dispatcher.DispatchHandler;
	readonly #events: ObservedEvents;

	constructor(handler: Dispatcher.DispatchHandler, events: ObservedEvents) {
		// The decorator also accepts handlers of the client library's previous interface.
		this.#inner = new DecoratorHandler(handler);
		this.#events = events;
	}

	onRequestStart(...[controller, context]: Parameters<NonNullable<Dispatcher.DispatchHandler['onRequestStart']>>): void {
		this.#events.onStart(controller);
		this.#inner.onRequestStart?.(controller, context);
	}

	onResponseStart(...[controller, status, headers, message]: Parameters<NonNullable<Dispatcher.DispatchHandler['onResponseStart']>>): void {
		this.#events.onHead(status, headers);
		// The decorator takes a second head for an error, and informational answers precede the one that counts.
		if (status >= minFinalStatus) {
			this.#inner.onResponseStart?.(controller, status, headers, message);
		}
	}

	onResponseData(...[controller, chunk]: Parameters<NonNullable<Dispatcher.DispatchHandler['onResponseData']>>): void {
		this.#events.onData(chunk.length);
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
