import {setTimeout as delay} from 'node:timers/promises';
import type {Dispatcher} from 'undici';
import {isLeavingAnswer, type ProbeResult} from './probe.ts';
import {SilentConnectionError, UpstreamConnection} from './upstream-connection.ts';

/** Receives what connections reveal about an upstream; calls are synchronous. */
export type UpstreamObserver = {
	/** An answer said that the upstream takes no new work. */
	readonly leavingSeen: (origin: string) => void;
	/** A connection was refused and a probe failed as well. */
	readonly refused: (origin: string) => void;
	/** Connections went silent while new ones work; counts those closed. */
	readonly silentSeen: (origin: string, closed: number) => void;
};

/** Silence on a busy connection after which the host is checked. */
const suspectAfterMs = 2500;
/** An idle connection is verified before a request when it has been idle for longer. */
const verifyAfterIdleMs = 250;
const verifyTimeoutMs = 250;
const maxIdleConnections = 64;

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

	/** Sends a request on a connection that is known to work, or on a new one. */
	send(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler, firstByteMs: number): void {
		const idle = this.#youngestIdle();
		if (idle === undefined || this.#now() - idle.lastByteAt < verifyAfterIdleMs) {
			const connection = idle ?? this.#open();
			connection.reserve();
			this.#sendOn(connection, options, handler, firstByteMs);
		} else {
			void this.#sendVerified(idle, options, handler, firstByteMs);
		}
	}

	/** Checks the host when a busy connection has been silent for long. */
	async check(): Promise<void> {
		const suspects = this.#busy().filter(connection => this.#now() - connection.lastByteAt >= suspectAfterMs);
		const isDue = this.#now() - this.#checkedAt >= suspectAfterMs || suspects.some(connection => connection.isOverdue);
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

	/** A request whose idle connection does not answer at once goes on over a new one. */
	async #sendVerified(idle: UpstreamConnection, options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler, firstByteMs: number): Promise<void> {
		const probe = idle.probe();
		const quick = await Promise.race([probe, delay(verifyTimeoutMs, undefined, {ref: false})]);
		if (quick !== undefined && quick !== 'silent' && idle.isTrusted) {
			idle.reserve();
			this.#sendOn(idle, options, handler, firstByteMs);
			return;
		}

		const fresh = this.#open();
		fresh.reserve();
		this.#sendOn(fresh, options, handler, firstByteMs);
		if (await probe === 'silent') {
			await this.#compareIdle(idle);
		}
	}

	#sendOn(connection: UpstreamConnection, options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler, firstByteMs: number): void {
		connection.send(options, handler, firstByteMs, {
			onHead: (status, headers) => {
				if (isLeavingAnswer(status, headers)) {
					this.#observer.leavingSeen(this.#origin);
				}
			},
			onError: error => {
				if ((error as {readonly code?: string}).code === 'ECONNREFUSED') {
					void this.#probeRefusal();
				}
			},
			onEnd: () => {
				this.#release(connection);
			},
		});
	}

	/** Compares an idle connection that did not answer with a new one. */
	async #compareIdle(idle: UpstreamConnection): Promise<void> {
		idle.distrust();
		const result = await this.#probeNew();
		await (result === 'silent' ? idle.close() : this.#convict(idle.openedAt, [idle]));
	}

	/** Compares busy connections that are silent with a new connection, and with idle ones of their age. */
	async #compare(suspects: readonly UpstreamConnection[]): Promise<void> {
		const idle = this.#idle();
		const [fresh, ...siblings] = await Promise.all([
			this.#probeNew(),
			...idle.map(async connection => ({connection, result: await connection.probe()})),
		]);
		if (fresh === 'silent') {
			return;
		}

		const silent = siblings.filter(({result}) => result === 'silent').map(({connection}) => connection);
		const youngestSilent = Math.max(-Infinity, ...silent.map(connection => connection.openedAt));
		const convicted = suspects.filter(connection =>
			connection.isBusy
			&& this.#now() - connection.lastByteAt >= suspectAfterMs
			&& (connection.isOverdue || connection.openedAt <= youngestSilent));
		const closed = [...silent, ...convicted];
		if (closed.length > 0) {
			await this.#convict(Math.max(...closed.map(connection => connection.openedAt)), closed);
		}
	}

	/** Closes silent connections and keeps new requests off all connections of their age or older. */
	async #convict(openedAt: number, closed: readonly UpstreamConnection[]): Promise<void> {
		for (const connection of this.#connections) {
			if (connection.openedAt <= openedAt) {
				connection.distrust();
			}
		}

		const unused = this.#idle().filter(connection => !connection.isTrusted && !closed.includes(connection));
		this.#observer.silentSeen(this.#origin, closed.length);
		await Promise.all([
			...closed.map(async connection => connection.close(new SilentConnectionError())),
			...unused.map(async connection => connection.close()),
		]);
	}

	/** Probes over a new connection, which stays open for requests when it works. */
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
			this.#observer.refused(this.#origin);
		} else if (result === 'leaving') {
			this.#observer.leavingSeen(this.#origin);
		}
	}

	#open(): UpstreamConnection {
		const connection = new UpstreamConnection(this.#origin, this.#now, closed => {
			this.#forget(closed);
		});
		this.#connections.add(connection);
		return connection;
	}

	/** A closed connection is not opened again, so that its age stays that of its socket. */
	#forget(connection: UpstreamConnection): void {
		this.#connections.delete(connection);
		connection.distrust();
		if (!connection.isBusy) {
			void connection.close();
		}
	}

	#release(connection: UpstreamConnection): void {
		if (!connection.isTrusted || !this.#connections.has(connection) || this.#idle().length > maxIdleConnections) {
			this.#connections.delete(connection);
			setImmediate(() => {
				void connection.close();
			});
		}
	}

	#youngestIdle(): UpstreamConnection | undefined {
		let youngest: UpstreamConnection | undefined;
		for (const connection of this.#connections) {
			if (!connection.isBusy && connection.isTrusted && (youngest === undefined || connection.lastByteAt > youngest.lastByteAt)) {
				youngest = connection;
			}
		}

		return youngest;
	}

	#idle(): readonly UpstreamConnection[] {
		return [...this.#connections].filter(connection => !connection.isBusy);
	}

	#busy(): readonly UpstreamConnection[] {
		return [...this.#connections].filter(connection => connection.isBusy);
	}
}
