import type {Upstream} from '../../ports/upstream.ts';
import type {ReportedLoad} from '../../ports/upstream-protocol.ts';
import type {Route} from '../../version/routes/route-configuration.ts';
import type {RouteRequest} from './route-request.ts';

/** How a send to an upstream ended, as the scheduler learns from it. */
export type SendResult = {
	/** `rejected`: the upstream did not run the request; `misdirected`: another upstream has the address; `cancelled`: ended by the daemon or the caller. */
	readonly kind: 'served' | 'failed' | 'rejected' | 'misdirected' | 'refused' | 'unreachable' | 'lost' | 'silent' | 'cancelled';
	readonly elapsedMs: number;
	readonly load?: ReportedLoad;
};

/** A place at an upstream; it counts as taken until it is given back. */
export type Placement = {
	readonly upstream: Upstream;
	/** Time to the answer, or to the first event, as predicted, in milliseconds. */
	readonly predictedMs: number;
	/** Rank among the upstream's requests, 0 is the most urgent; undefined for plain services. */
	readonly rank: number | undefined;
	/** Upstream from which cached parts of the prompt are fetched, when that is quicker than reading them. */
	readonly fetchFrom: Upstream | undefined;
	/** Takes the load that the upstream stated before the answer has ended. */
	readonly reportLoad: (load: ReportedLoad) => void;
	/** Gives the place back. */
	readonly release: (end: SendResult) => void;
};

/** What is to be placed. */
export type PlacementDemand = {
	readonly request: RouteRequest;
	readonly route: Route;
	readonly service: string;
	/** Upstreams that the request has been sent to. */
	readonly tried: ReadonlySet<string>;
	/** Time of arrival on the daemon's clock in milliseconds. */
	readonly arrivedAt: number;
	/** Time by which the request must have ended, on the daemon's clock in milliseconds. */
	readonly deadlineAt: number;
	/** Aborted when the caller has gone or the time is over. */
	readonly signal: AbortSignal;
};

/** Why nothing was placed. */
export type PlacementRefusal = {
	readonly reason: 'noUpstream' | 'overloaded' | 'cancelled';
	readonly retryAfterMs: number;
};

/** A place, or why there is none. */
export type PlacementResult = Placement | PlacementRefusal;

/** Chooses upstreams, and makes requests wait or refuses them when there is no room. */
export abstract class UpstreamScheduler {
	/** True when the service consists of model engines. */
	abstract isModelService(service: string): boolean;

	/** True when there is an upstream that the request has not been sent to and that could run it. */
	abstract hasUntriedUpstream(demand: PlacementDemand): boolean;

	/** Places a request of a plain service. */
	abstract placePlain(demand: PlacementDemand): Promise<PlacementResult>;

	/** Places the reading of a prompt; waits for room. */
	abstract placePrefill(demand: PlacementDemand): Promise<PlacementResult>;

	/** Places the generation of an answer, with the prompt read at `source` or by the upstream itself. */
	abstract placeDecode(demand: PlacementDemand, source: Upstream | undefined): PlacementResult;
}

/** True when a place was found. */
export function isPlaced(result: PlacementResult): result is Placement {
	return 'upstream' in result;
}
