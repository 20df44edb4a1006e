import {setTimeout as delay} from 'node:timers/promises';
import type {Dispatcher} from 'undici';
import {isLeavingAnswer, type ProbeResult} from './probe.ts';
import {SilentConnectionError, UpstreamConnection} from './upstream-connection.ts';

/** Receives what the connections show about the state of an upstream; calls are synchronous. */
export type UpstreamObserver = {
	/** A connection was established. */
	readonly onConnected: (origin: string) => void;
	/** A connection could not be established in time. */
	readonly onConnectTimeout: (origin: string) => void;
	/** An answer stated that the upstream is leaving and takes no new work. */
	readonly onLeaving: (origin: string) => void;
	/** A connection was refused, and a probe failed as well. */
	readonly onRefused: (origin: string) => void;
	/** Connections went silent while new ones work; `closed` is the number of connections closed. */
	readonly onSilentConnections: (origin: string, closed: number) => void;
};

/** Silence on a busy connection after which the host is checked; shorter than the 1.5 s that idle connections live, so that some are left for comparison. */
const suspectAfterMs = 1000;
const checkIntervalMs = 2500;
/** A connection that was idle for longer is verified with a probe before a request is sent on it. */
const verifyAfterIdleMs = 250;
const verifyTimeoutMs = 250;
const maxIdleConnections = 64;
const connectTimeoutCodes: ReadonlySet<string> = new Set(['UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH', 'ENETUNREACH']);

/** All connections to one upstream. */
export class UpstreamHost {
	readonly #origin: string;
	readonly #now: () => number;
	readonly #observer: UpstreamObserver;
	readonly #connections = new Set<UpstreamConnection>();
	#isChecking = false;
	#checkedAt = -Infinity;
	#isProbingRefusal = false;

	constructor(origin: string, now: () => number, observer: UpstreamObserver) {
		this.#origin = origin;
		this.#now = now;
		this.#observer = observer;
	}

	/** Number of open connections. */
	get size(): number {
		return this.#connections.size;
	}

	/** Sends a request on an idle connection that is known to work, or on a new one. */
	send(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler, silenceTimeoutMs: number): void {
		const idle = this.#mostRecentIdle();
		if (idle === undefined || this.#now() - idle.lastByteAt < verifyAfterIdleMs) {
			const connection = idle ?? this.#open();
			connection.reserve();
			this.#sendOn(connection, options, handler, silenceTimeoutMs);
		} else {
			void this.#sendVerified(idle, options, handler, silenceTimeoutMs);
		}
	}

	/** Compares silent busy connections with a new connection, and closes those that are lost. */
	async check(): Promise<void> {
		const suspects = this.#busy().filter(connection => connection.silentMs >= suspectAfterMs);
		const isDue = this.#now() - this.#checkedAt >= checkIntervalMs || suspects.some(connection => connection.isOverdue);
		if (suspects.length === 0 || this.#isChecking || !isDue) {
			return;
		}

		this.#isChecking = true;
		this.#checkedAt = this.#now();
		try {
			await this.#compare(suspects);
		} finally {
			this.#isChecking = false;
		}
	}

	/** Closes all connections. */
	async close(): Promise<void> {
		await Promise.all([...this.#connections].map(async connection => connection.close()));
	}

	/** Sends a request on an idle connection if that answers a probe quickly, otherwise on a new connection. */
	async #sendVerified(idle: UpstreamConnection, options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler, silenceTimeoutMs: number): Promise<void> {
		const aliveAt = idle.lastByteAt;
		const probe = idle.probe();
		const quickResult = await Promise.race([probe, delay(verifyTimeoutMs, undefined, {ref: false})]);
		if (quickResult !== undefined && quickResult !== 'silent' && idle.isReusable) {
			idle.reserve();
			this.#sendOn(idle, options, handler, silenceTimeoutMs);
			return;
		}

		const fresh = this.#open();
		fresh.reserve();
		this.#sendOn(fresh, options, handler, silenceTimeoutMs);
		if (await probe === 'silent') {
			await this.#compareIdle(idle, aliveAt);
		}
	}

	#sendOn(connection: UpstreamConnection, options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler, silenceTimeoutMs: number): void {
		connection.send(options, handler, silenceTimeoutMs, {
			onHead: (status, headers) => {
				if (isLeavingAnswer(status, headers)) {
					this.#observer.onLeaving(this.#origin);
				}
			},
			onError: error => {
				const {code = ''} = error as {readonly code?: string};
				if (code === 'ECONNREFUSED') {
					void this.#probeRefusal();
				} else if (connectTimeoutCodes.has(code)) {
					this.#observer.onConnectTimeout(this.#origin);
				}
			},
			onEnd: () => {
				this.#release(connection);
			},
		});
	}

	/** Compares an idle connection that did not answer a probe with a new connection. */
	async #compareIdle(idle: UpstreamConnection, aliveAt: number): Promise<void> {
		idle.preventReuse();
		await (await this.#probeNew() === 'silent' ? idle.close() : this.#closeSilent([idle], aliveAt));
	}

	/** Compares silent busy connections with a new connection and with the most recently used idle one. */
	async #compare(suspects: readonly UpstreamConnection[]): Promise<void> {
		const [sibling] = this.#idle().toSorted((a, b) => b.lastByteAt - a.lastByteAt);
		const aliveAt = sibling?.lastByteAt ?? -Infinity;
		const [fresh, siblingResult] = await Promise.all([this.#probeNew(), sibling?.probe()]);
		if (fresh === 'silent') {
			return;
		}

		const silentSiblings = sibling !== undefined && siblingResult === 'silent' ? [sibling] : [];
		const presumedSilentUpTo = silentSiblings.length > 0 ? aliveAt : -Infinity;
		const closed = suspects.filter(connection =>
			connection.silentMs >= suspectAfterMs
			&& (connection.isOverdue || connection.isPresumedSilent || connection.openedAt <= presumedSilentUpTo));
		if (closed.length + silentSiblings.length > 0) {
			await this.#closeSilent([...closed, ...silentSiblings], presumedSilentUpTo);
		}
	}

	/**
	Closes silent connections and prevents new requests on all connections of their age or older.

	Busy connections opened up to `presumedSilentUpTo` are closed as well once they are silent: an idle connection that worked at
	that time and does not answer now shows that connections of its age are lost. A silent request alone may just be slow.
	*/
	async #closeSilent(closed: readonly UpstreamConnection[], presumedSilentUpTo: number): Promise<void> {
		const newestOpenedAt = Math.max(...closed.map(connection => connection.openedAt));
		for (const connection of this.#connections) {
			if (connection.openedAt <= presumedSilentUpTo) {
				connection.presumeSilent();
			} else if (connection.openedAt <= newestOpenedAt) {
				connection.preventReuse();
			}
		}

		const unused = this.#idle().filter(connection => !connection.isReusable && !closed.includes(connection));
		this.#observer.onSilentConnections(this.#origin, closed.length);
		await Promise.all([
			...closed.map(async connection => connection.close(new SilentConnectionError())),
			...unused.map(async connection => connection.close()),
		]);
	}

	/** Probes over a new connection, which is kept for requests when it works. */
	async #probeNew(): Promise<ProbeResult> {
		const connection = this.#open();
		const result = await connection.probe();
		if (result === 'silent') {
			await connection.close();
		}

		return result;
	}

	async #probeRefusal(): Promise<void> {
		if (this.#isProbingRefusal) {
			return;
		}

		this.#isProbingRefusal = true;
		const result = await this.#probeNew();
		this.#isProbingRefusal = false;
		if (result === 'silent') {
			this.#observer.onRefused(this.#origin);
		} else if (result === 'leaving') {
			this.#observer.onLeaving(this.#origin);
		}
	}

	#open(): UpstreamConnection {
		const connection = new UpstreamConnection(this.#origin, this.#now, {
			onOpened: () => {
				this.#observer.onConnected(this.#origin);
			},
			onClosed: closed => {
				this.#removeClosed(closed);
			},
		});
		this.#connections.add(connection);
		return connection;
	}

	/** Removes a closed connection for good: it is not reopened, so that its age stays that of its socket. */
	#removeClosed(connection: UpstreamConnection): void {
		this.#connections.delete(connection);
		connection.preventReuse();
		if (!connection.isBusy) {
			void connection.close();
		}
	}

	#release(connection: UpstreamConnection): void {
		if (!connection.isReusable || !this.#connections.has(connection) || this.#idle().length > maxIdleConnections) {
			this.#connections.delete(connection);
			setImmediate(() => {
				void connection.close();
			});
		}
	}

	#mostRecentIdle(): UpstreamConnection | undefined {
		let mostRecent: UpstreamConnection | undefined;
		for (const connection of this.#connections) {
			if (!connection.isBusy && connection.isReusable && (mostRecent === undefined || connection.lastByteAt > mostRecent.lastByteAt)) {
				mostRecent = connection;
			}
		}

		return mostRecent;
	}

	#idle(): readonly UpstreamConnection[] {
		return [...this.#connections].filter(connection => !connection.isBusy);
	}

	#busy(): readonly UpstreamConnection[] {
		return [...this.#connections].filter(connection => connection.isBusy);
	}
}
