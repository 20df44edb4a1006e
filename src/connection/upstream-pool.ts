import {Dispatcher} from 'undici';
import type {Clock} from '../process/clock.ts';
import {UpstreamHost, type UpstreamObserver} from './upstream-host.ts';

/** Dispatch options that the pool understands in addition to those of the client library. */
export type PoolDispatchOptions = Dispatcher.DispatchOptions & {
	/** Wait for the first byte after which a new connection is compared with the old one, and the old one is closed if only the new one answers. */
	readonly firstByteMs?: number;
};

/** Long enough for answers that come in one piece; silence of several connections is found sooner by their comparison. */
const defaultFirstByteMs = 30_000;
const checkIntervalMs = 250;

/** Connections to upstreams, each with an age; those that go silent are closed while the upstream stays in service. */
export class UpstreamPool extends Dispatcher implements AsyncDisposable {
	readonly #clock: Clock;
	readonly #observer: UpstreamObserver;
	readonly #hosts = new Map<string, UpstreamHost>();
	readonly #timer: NodeJS.Timeout;

	constructor(clock: Clock, observer: UpstreamObserver) {
		super();
		this.#clock = clock;
		this.#observer = observer;
		this.#timer = setInterval(() => {
			this.#check();
		}, checkIntervalMs).unref();
	}

	override dispatch(options: PoolDispatchOptions, handler: Dispatcher.DispatchHandler): boolean {
		const origin = String(options.origin);
		const host = this.#hosts.get(origin) ?? new UpstreamHost(origin, () => this.#clock.now(), this.#observer);
		this.#hosts.set(origin, host);
		host.send(options, handler, options.firstByteMs ?? defaultFirstByteMs);
		return true;
	}

	/** Closes all connections; requests on them end with an error. */
	async [Symbol.asyncDispose](): Promise<void> {
		clearInterval(this.#timer);
		await Promise.all([...this.#hosts.values()].map(async host => host.close()));
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
