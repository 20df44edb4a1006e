import type {Upstream} from '../../ports/upstream.ts';
import type {RequestIdentity} from '../../request/request-identity.ts';
import type {RouteRequest} from '../../request/delivery/route-request.ts';
import type {AttemptResult} from '../crashes/crash-attribution.ts';
import type {CrashMonitor} from '../crashes/crash-monitor.ts';
import type {UpstreamRegistry} from './upstream-registry.ts';

/** A request that must not be sent now, with the time after which it may be; `pending`: it is not settled whether the request crashes upstreams. */
export type CrashRefusal = {
	readonly status: 'condemned' | 'pending';
	readonly retryAfterMs: number;
	/** Keys of the prompt parts on which the refusal rests; undefined if it rests on the request as a whole. */
	readonly promptParts: readonly string[] | undefined;
};

/** Texts of refusals for callers and logs. */
export const crashRefusalMessages: Readonly<Record<CrashRefusal['status'], string>> = {
	condemned: 'The request has crashed upstreams and is not sent again.',
	pending: 'The request may have crashed upstreams; this is being settled.',
};

const noUpstreams: ReadonlySet<string> = new Set();
let lastAttemptId = 0;

/** Keeps requests that crash upstreams off the upstreams of routes. */
export class RouteCrashes {
	readonly #monitor: CrashMonitor;
	readonly #registry: UpstreamRegistry;

	constructor(monitor: CrashMonitor, registry: UpstreamRegistry) {
		this.#monitor = monitor;
		this.#registry = registry;
	}

	/** Returns why a request must not be sent; undefined if it may be. */
	findRefusal(identity: RequestIdentity): CrashRefusal | undefined {
		const retryAfterMs = this.#monitor.withheldForMs(identity);
		return retryAfterMs > 0
			? {
				status: this.#monitor.statusOf(identity) === 'condemned' ? 'condemned' : 'pending',
				retryAfterMs,
				promptParts: this.#monitor.restrictionOf(identity)?.promptParts,
			}
			: undefined;
	}

	/** Records the start of a send to an upstream; the returned function must be called with its result. */
	begin({id: request, method, host, target, callerAddress: caller}: RouteRequest, identity: RequestIdentity, upstream: Upstream): (result: AttemptResult) => void {
		lastAttemptId += 1;
		const attemptId = lastAttemptId;
		this.#monitor.attemptStarted(attemptId, {
			upstream: upstream.id,
			address: upstream.address,
			...identity,
			startedAt: performance.now(),
			details: {
				request, method, host, target, caller,
			},
		});
		return result => {
			this.#monitor.attemptEnded(attemptId, upstream.id, result);
		};
	}

	/** Returns the upstreams of a service on which a suspected request must not run, because another suspect runs there. */
	excludedUpstreams(identity: RequestIdentity, service: string): ReadonlySet<string> {
		if (this.#monitor.statusOf(identity) === 'free') {
			return noUpstreams;
		}

		const serving = this.#registry.serving(service);
		const stages = new Set(serving.map(({stage}) => stage));
		// A request may need an upstream of each stage.
		const allowed = new Set([...stages].flatMap(stage => this.#monitor.selectAllowed(identity, serving.filter(upstream => upstream.stage === stage)).map(({id}) => id)));
		return new Set(serving.map(({id}) => id).filter(id => !allowed.has(id)));
	}
}
