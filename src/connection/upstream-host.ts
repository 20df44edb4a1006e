import {setTimeout as delay} from 'node:timers/promises';
import type {Dispatcher} from 'undici';
import {isLeavingAnswer, type ProbeResult} from './probe.ts';
import {
	confirmationMs, idleConnectionTimeoutMs, isLost, isLostWithIdle,
} from './silence.ts';
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

/** Silence on a busy connection after which an idle one is asked; shorter than the 1.5 s that idle connections live, so that some are left. */
const suspectAfterMs = 1000;
/** With the time for the idle connection and the confirmation, finds a lost connection within 5 s. */
const checkIntervalMs = 1250;
/** A connection that was idle for longer is verified with a probe before a request is sent on it. */
const verifyAfterIdleMs = 250;
const verifyTimeoutMs = 250;
/** Later than the time after which the connection is lost, so that a probe that has failed by then was not just silent. */
const idleProbeTimeoutMs = idleConnectionTimeoutMs + 1000;
const maxIdleConnections = 64;
const connectTimeoutCodes: ReadonlySet<string> = new Set(['UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH', 'ENETUNREACH']);

/** All connections to one upstream. */
export class UpstreamHost {
	readonly #origin: string;
	readonly #now: () => number;
	readonly #observer: UpstreamObserver;
	readonly #connections = new Set<UpstreamConnection>();
	#isCheckingIdle = false;
	#isCheckingOverdue = false;
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

	/** Gives up requests whose connections are lost, and finds out about idle connections if requests are silent. */
	async check(): Promise<void> {
		await Promise.all([this.#checkOverdue(), this.#checkIdle()]);
	}

	/** Closes all connections. */
	async close(): Promise<void> {
		await Promise.all([...this.#connections].map(async connection => connection.close()));
	}

	/** Sends a request on an idle connection if that answers a probe quickly, otherwise on a new connection. */
	async #sendVerified(idle: UpstreamConnection, options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler, silenceTimeoutMs: number): Promise<void> {
		const aliveAt = idle.lastByteAt;
		const probe = idle.probe(idleProbeTimeoutMs);
		const quickResult = await resultWithin(probe, verifyTimeoutMs);
		if (quickResult !== undefined && quickResult !== 'silent' && idle.isReusable) {
			idle.reserve();
			this.#sendOn(idle, options, handler, silenceTimeoutMs);
			return;
		}

		const fresh = this.#open();
		fresh.reserve();
		this.#sendOn(fresh, options, handler, silenceTimeoutMs);
		await this.#compare(idle, probe, aliveAt);
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

	/** Gives up the requests that were overdue when a new connection was answered, and have had no byte until the confirmation. */
	async #checkOverdue(): Promise<void> {
		const overdue = this.#busy().filter(connection => connection.isOverdue);
		if (overdue.length === 0 || this.#isCheckingOverdue) {
			return;
		}

		this.#isCheckingOverdue = true;
		try {
			if (await this.#probeNew() !== 'silent') {
				await this.#closeUnlessContinued(overdue.filter(connection => connection.isOverdue));
			}
		} finally {
			this.#isCheckingOverdue = false;
		}
	}

	async #closeUnlessContinued(overdue: readonly UpstreamConnection[]): Promise<void> {
		const lastBytesAt = overdue.map(({lastByteAt}) => lastByteAt);
		await delay(confirmationMs, undefined, {ref: false});
		const lost = overdue.filter((connection, index) => connection.isBusy && isLost(connection, lastBytesAt[index]!, this.#now()));
		if (lost.length > 0) {
			await this.#closeSilent(lost);
		}
	}

	/** Asks the most recently used idle connection if requests are silent, since a request that waits cannot be asked itself. */
	async #checkIdle(): Promise<void> {
		const isDue = this.#now() - this.#checkedAt >= checkIntervalMs && !this.#isCheckingIdle;
		if (!isDue || !this.#busy().some(connection => connection.isWaiting && connection.silentMs >= suspectAfterMs)) {
			return;
		}

		const [idle] = this.#idle().toSorted((a, b) => b.lastByteAt - a.lastByteAt);
		if (idle === undefined) {
			return;
		}

		this.#isCheckingIdle = true;
		this.#checkedAt = this.#now();
		try {
			const aliveAt = idle.lastByteAt;
			await this.#compare(idle, idle.probe(idleProbeTimeoutMs), aliveAt);
		} finally {
			this.#isCheckingIdle = false;
		}
	}

	/**
	Compares an idle connection, which was sent a probe, with a new one if it is not answered quickly; it is lost if only the new one is answered.

	An idle connection that was closed instead says nothing about others: upstreams close idle connections at any time.
	*/
	async #compare(idle: UpstreamConnection, probe: Promise<ProbeResult>, aliveAt: number): Promise<void> {
		const askedAt = this.#now();
		if (await resultWithin(probe, verifyTimeoutMs) !== undefined) {
			return;
		}

		const [idleResult, newResult] = await Promise.all([resultWithin(probe, idleConnectionTimeoutMs - verifyTimeoutMs), this.#probeNew()]);
		if (idleResult === undefined && newResult !== 'silent') {
			await this.#closeIdleAndSilent(idle, aliveAt, askedAt);
		} else if (idleResult === undefined) {
			await idle.close();
		}
	}

	/** Closes an idle connection that is lost, with the connections opened while it worked that have been silent since it was asked. */
	async #closeIdleAndSilent(idle: UpstreamConnection, aliveAt: number, askedAt: number): Promise<void> {
		for (const connection of this.#connections) {
			if (connection.openedAt <= aliveAt) {
				connection.presumeSilent();
			}
		}

		const silent = this.#busy().filter(connection => connection.isWaiting && connection.silentMs > 0 && isLostWithIdle(connection, askedAt));
		await this.#closeSilent([idle, ...silent]);
	}

	/** Closes silent connections and prevents new requests on all connections of their age or older. */
	async #closeSilent(closed: readonly UpstreamConnection[]): Promise<void> {
		const newestOpenedAt = Math.max(...closed.map(connection => connection.openedAt));
		for (const connection of this.#connections) {
			if (connection.openedAt <= newestOpenedAt) {
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
		const startedAt = this.#now();
		const connection = this.#open();
		const result = await connection.probe();
		for (const busy of this.#busy()) {
			busy.recordTrial({startedAt, endedAt: this.#now(), isAnswered: result !== 'silent'});
		}

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

/** Returns the result of a probe, or undefined if it has none in time. */
async function resultWithin(probe: Promise<ProbeResult>, milliseconds: number): Promise<ProbeResult | undefined> {
	return Promise.race([probe, delay(milliseconds, undefined, {ref: false})]);
}
