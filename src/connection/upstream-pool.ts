import {Dispatcher} from 'undici';
import type {Clock} from '../process/clock.ts';
import {UpstreamHost, type UpstreamObserver} from './upstream-host.ts';

/** Dispatch options that the pool understands in addition to those of the client library. */
export type PoolDispatchOptions = Dispatcher.DispatchOptions & {
	/** Silence, in milliseconds, after which a connection is closed if a new one to the same upstream works. @default 30_000 */
	readonly silenceMs?: number;
};

/** Long enough for answers that come in one piece, which cannot be told from silence; an idle connection of the same age tells sooner. */
const defaultSilenceMs = 30_000;
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
		host.send(options, handler, options.silenceMs ?? defaultSilenceMs);
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
