import type {Either} from 'purify-ts';
import type {RouteRequest} from '../request/delivery/route-request.ts';
import type {Stage, Upstream} from './upstream.ts';

/** Part of a request that an upstream is asked to run. */
export type PromptWork
	/** Runs the whole request on one upstream. */
	= | {readonly kind: 'whole'}
		/** Prefills the prompt and keeps its KV cache under a handle. */
		| {readonly kind: 'prefill'; readonly fetchFrom: Upstream | undefined}
		/** Fetches the KV cache from the upstream that prefilled the prompt, then streams the answer. */
		| {readonly kind: 'decode'; readonly source: Upstream; readonly handle: string};

/** One attempt to send a request to one upstream. */
export type UpstreamSend = {
	readonly request: RouteRequest;
	readonly upstream: Upstream;
	/** Time remaining until the deadline of the answer, in milliseconds. */
	readonly remainingMs: number;
	/** Priority among the requests of the upstream, 0 is the highest; undefined for plain services. */
	readonly priority: number | undefined;
	/** Overrides the `last-event-id` of the caller when the daemon resumes a stream within one answer. */
	readonly lastEventId: string | undefined;
	/** Client account of the caller, named to the upstream; undefined if there is none. */
	readonly account: string | undefined;
	readonly work: PromptWork;
};

/** Request in the wire format of the upstream; `headers` alternates names and values. */
export type WireRequest = {
	readonly method: string;
	readonly path: string;
	readonly headers: readonly string[];
	readonly body: Uint8Array;
};

/** Load that an upstream reports in a header of its answer. */
export type ReportedLoad = {
	readonly running: number;
	readonly waiting: number;
	readonly slots: number;
	/** Current duration of work on its host relative to normal, where 1 is normal. */
	readonly slowdownFactor: number;
};

/** Status and headers of an upstream's answer. */
export type UpstreamAnswer = {
	readonly status: number;
	readonly requestId: string | undefined;
	/** True when the answer carries the signature of the upstream. */
	readonly isSigned: boolean;
	/** True when the upstream guarantees that it has not run the request and never will. */
	readonly isNotRun: boolean;
	/** True when callers take the status for a promise that the request has not run and never will, which only `isNotRun` makes true. */
	readonly promisesNotRun: boolean;
	/** True when the address belongs to another upstream. */
	readonly isMisdirected: boolean;
	/** True when the body has a content encoding, so it is not as the upstream wrote it. */
	readonly hasContentEncoding: boolean;
	/** False when the body is delimited only by the end of the connection. */
	readonly isFramed: boolean;
	/** True when the upstream closes the connection after the answer. */
	readonly isClosing: boolean;
	readonly load: ReportedLoad | undefined;
	/** Headers to relay to the caller, alternating names and values. */
	readonly headers: readonly string[];
};

/** What an upstream asks of all daemons in the head of an answer, to protect itself. */
export type Backpressure = {
	/** Requests per second that the upstream takes from all daemons together; undefined if it names no limit. */
	readonly requestsPerSecond: number | undefined;
	/** True if the upstream is leaving: it wants no new work from any daemon until it restarts. */
	readonly isLeaving: boolean;
	/** Time for which the upstream wants nothing from this daemon, in milliseconds; undefined if it asks for no pause. */
	readonly pauseMs: number | undefined;
	/** True for a successful answer of the upstream itself: what such an answer does not ask for is no longer asked for. */
	readonly isConclusive: boolean;
	/** Names and values of headers that could not be decoded. */
	readonly malformedHeaders: readonly string[];
};

/** Result of a prefill. */
export type PrefillResult = {
	readonly handle: string;
	readonly tokens: number;
};

/** State of a model engine, which may be a few hundred milliseconds old. */
export type EngineReport = {
	readonly stage: Stage;
	/** True while the engine carries out an order. */
	readonly isBusy: boolean;
	/** Number of orders accepted since the engine started. */
	readonly acceptedOrders: number;
};

/** Order to change the stage of an engine. */
export type StageOrder = {
	readonly upstream: Upstream;
	readonly stage: Stage;
	readonly holder: string;
	readonly fencing: number;
	/** Number of orders that the engine must have accepted before this one; otherwise it rejects the order. */
	readonly expectedAcceptedOrders: number;
};

/** Protocol between the daemon and upstreams. */
export abstract class UpstreamProtocol {
	/** Encodes a request. */
	abstract encode(send: UpstreamSend): WireRequest;

	/** Decodes status and headers of an answer; header names are in lower case. */
	abstract decodeAnswer(status: number, headers: Readonly<Record<string, string | string[] | undefined>>): UpstreamAnswer;

	/** Decodes what the upstream asks for in the head of an answer; undefined if another upstream has its address. */
	abstract decodeBackpressure(status: number, headers: Readonly<Record<string, string | string[] | undefined>>): Backpressure | undefined;

	/** Decodes the answer to a prefill; a failure is an error message. */
	abstract decodePrefill(body: Uint8Array): Either<string, PrefillResult>;

	/** Encodes the request that releases the KV cache of a prefilled prompt that will not be fetched. */
	abstract encodeReleaseRequest(upstream: Upstream, handle: string): WireRequest;

	/** Encodes the request for the report of an engine. */
	abstract encodeReportRequest(upstream: Upstream): WireRequest;

	/** Decodes the report of an engine; a failure is an error message. */
	abstract decodeReport(body: Uint8Array): Either<string, EngineReport>;

	/** Encodes an order. */
	abstract encodeOrder(order: StageOrder): WireRequest;
}
