import type {Upstream} from '../../ports/upstream.ts';
import type {ReportedLoad} from '../../ports/upstream-protocol.ts';
import type {Route} from '../../version/routes/route-configuration.ts';
import type {RouteRequest} from './route-request.ts';

/** Result of a send to an upstream, from which the scheduler learns. */
export type SendResult = {
	/** `rejected`: the upstream did not run the request; `misdirected`: another upstream has the address now; `cancelled`: ended by the daemon or the caller. */
	readonly kind: 'served' | 'failed' | 'rejected' | 'misdirected' | 'refused' | 'unreachable' | 'lost' | 'silent' | 'cancelled';
	readonly elapsedMs: number;
	readonly load?: ReportedLoad;
	/** Events of a stream that arrived. */
	readonly events?: number;
};

/** Place reserved at an upstream; counts as occupied until it is released. */
export type Placement = {
	readonly upstream: Upstream;
	/** Predicted time to the answer or its first event, in milliseconds. */
	readonly predictedMs: number;
	/** Priority rank among the upstream's requests, where 0 is the most urgent; undefined for plain services. */
	readonly rank: number | undefined;
	/** Upstream from which cached parts of the prompt are fetched, when that is faster than prefilling them. */
	readonly fetchFrom: Upstream | undefined;
	/** Reports the first event of the answer. */
	readonly reportFirstEvent: () => void;
	/** Reports the load that the upstream stated in the head of its answer, before the answer has ended. */
	readonly reportLoad: (load: ReportedLoad) => void;
	/** Reports that nothing has been heard of the send for too long; other upstreams are preferred for a while. */
	readonly reportSilence: () => void;
	/** Releases the place with the result of the send. */
	readonly release: (end: SendResult) => void;
};

/** Request to be placed at an upstream. */
export type PlacementDemand = {
	readonly request: RouteRequest;
	readonly route: Route;
	readonly service: string;
	/** Client account of the caller; undefined if there is none. */
	readonly account: string | undefined;
	/** Ids of the upstreams that the request has been sent to. */
	readonly triedUpstreams: ReadonlySet<string>;
	/** Time of arrival on the daemon's clock, in milliseconds. */
	readonly arrivedAt: number;
	/** Deadline of the request on the daemon's clock, in milliseconds. */
	readonly deadlineAt: number;
	/** Aborts when the caller has disconnected or the deadline has passed. */
	readonly signal: AbortSignal;
};

/** Reason why a request was not placed. */
export type PlacementRefusal = {
	readonly reason: 'noUpstream' | 'overloaded' | 'cancelled';
	readonly retryAfterMs: number;
};

/** A placement, or the reason why there is none. */
export type PlacementResult = Placement | PlacementRefusal;

/** Chooses upstreams for requests; queues or refuses requests when there is no capacity. */
export abstract class UpstreamScheduler {
	/** True when the service consists of model engines. */
	abstract isModelService(service: string): boolean;

	/** True when another upstream, which the request has not been sent to, could run it. */
	abstract hasUntriedUpstream(demand: PlacementDemand): boolean;

	/** Places a request of a plain service; waits while all upstreams have reached the limits that they named. */
	abstract placePlain(demand: PlacementDemand): Promise<PlacementResult>;

	/** Places a whole request at an engine that also prefills its prompt, if its first event is expected there sooner than with a separate prefill. */
	abstract placeWhole(demand: PlacementDemand): Placement | undefined;

	/** Places the prefill of a prompt; waits for capacity. */
	abstract placePrefill(demand: PlacementDemand): Promise<PlacementResult>;

	/** Places the decode of an answer; waits while all upstreams have reached the limits that they named. The prompt was prefilled at `source`, or is by the chosen upstream itself. */
	abstract placeDecode(demand: PlacementDemand, source: Upstream | undefined): Promise<PlacementResult>;
}

/** True when a request was placed. */
export function isPlaced(result: PlacementResult): result is Placement {
	return 'upstream' in result;
}
