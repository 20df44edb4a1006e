import {DecoratorHandler, Dispatcher, errors} from 'undici';
import type {Clock} from '../process/clock.ts';
import {NetworkConnectivity, type Connectivity} from './connectivity.ts';
import {connectTimeoutMs} from './upstream-connection.ts';
import {UpstreamHost, type UpstreamObserver} from './upstream-host.ts';

/** Dispatch options that the pool supports in addition to those of the client library. */
export type PoolDispatchOptions = Dispatcher.DispatchOptions & {
	/** Time without a byte, in milliseconds, after which a connection is closed if a new one to the same upstream works. @default 30_000 */
	readonly silenceTimeoutMs?: number;
};

/** Long enough for answers that arrive in one piece, whose wait looks like silence; a silent idle connection of the same age shows a lost connection sooner. */
const defaultSilenceTimeoutMs = 30_000;
const checkIntervalMs = 250;

/** Connections to upstreams; closes those that go silent while the upstream itself stays in service. */
export class UpstreamPool extends Dispatcher implements AsyncDisposable {
	readonly #clock: Clock;
	readonly #observer: UpstreamObserver;
	readonly #hosts = new Map<string, UpstreamHost>();
	readonly #timer: NodeJS.Timeout;

	readonly #connectivity: Connectivity;

	constructor(clock: Clock, observer: UpstreamObserver, connectivity: Connectivity = new NetworkConnectivity()) {
		super();
		this.#connectivity = connectivity;
		this.#clock = clock;
		this.#observer = observer;
		this.#timer = setInterval(() => {
			this.#check();
		}, checkIntervalMs).unref();
	}

	override dispatch(options: PoolDispatchOptions, handler: Dispatcher.DispatchHandler): boolean {
		const origin = String(options.origin);
		if (!this.#connectivity.canReach(origin)) {
			this.#failWithConnectTimeout(origin, handler);
			return true;
		}

		const host = this.#hosts.get(origin) ?? new UpstreamHost(origin, () => this.#clock.now(), this.#observer);
		this.#hosts.set(origin, host);
		host.send(options, handler, options.silenceTimeoutMs ?? defaultSilenceTimeoutMs);
		return true;
	}

	/** Closes all connections; requests on them fail. */
	override async destroy(): Promise<void> {
		await this[Symbol.asyncDispose]();
	}

	async [Symbol.asyncDispose](): Promise<void> {
		clearInterval(this.#timer);
		await Promise.all([...this.#hosts.values()].map(async host => host.close()));
	}

	#failWithConnectTimeout(origin: string, handler: Dispatcher.DispatchHandler): void {
		setTimeout(() => {
			this.#observer.onConnectTimeout(origin);
			const error = new errors.ConnectTimeoutError('The upstream is unreachable.');
			(new DecoratorHandler(handler) as Dispatcher.DispatchHandler).onResponseError?.(undefined as never, error);
		}, connectTimeoutMs);
	}

	#check(): void {
		for (const [origin, host] of this.#hosts) {
			if (host.size === 0) {
				this.#hosts.delete(origin);
			} else {
				void host.check();
			}
		}
	}
}
