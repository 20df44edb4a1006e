import type {Either} from 'purify-ts';
import type {RouteRequest} from '../request/delivery/route-request.ts';
import type {Stage, Upstream} from './upstream.ts';

/** What an upstream is to do with a prompt. */
export type PromptWork
	/** The whole request on one upstream. */
	= | {readonly kind: 'whole'}
		/** Read the prompt and keep it under a handle. */
		| {readonly kind: 'prefill'; readonly fetchFrom: Upstream | undefined}
		/** Fetch the prompt from the upstream that has read it, then stream. */
		| {readonly kind: 'decode'; readonly source: Upstream; readonly handle: string};

/** One send of a request to one upstream. */
export type UpstreamSend = {
	readonly request: RouteRequest;
	readonly upstream: Upstream;
	/** Time that is left for the answer, in milliseconds. */
	readonly remainingMs: number;
	/** Rank among the upstream's requests, 0 is the most urgent; undefined for plain services. */
	readonly priority: number | undefined;
	/** Replaces the caller's own mark when a stream is resumed within one answer. */
	readonly lastEventId: string | undefined;
	readonly work: PromptWork;
};

/** A request in the upstream's protocol; headers are names and values in turn. */
export type WireRequest = {
	readonly method: string;
	readonly path: string;
	readonly headers: readonly string[];
	readonly body: Uint8Array;
};

/** Load that an upstream states with an answer. */
export type ReportedLoad = {
	readonly running: number;
	readonly waiting: number;
	readonly slots: number;
	/** How long work takes on its host at the moment, relative to the usual 1. */
	readonly slowdownFactor: number;
};

/** Head of an upstream's answer. */
export type UpstreamAnswer = {
	readonly status: number;
	readonly requestId: string | undefined;
	/** True when the answer bears the upstream's signature. */
	readonly isSigned: boolean;
	/** True when the upstream states that it did not run the request and never will. */
	readonly isNotRun: boolean;
	/** True when another upstream has the address. */
	readonly isMisdirected: boolean;
	/** True when the body is not as the upstream wrote it. */
	readonly isEncoded: boolean;
	/** False when only the end of the connection ends the answer. */
	readonly isFramed: boolean;
	readonly isClosing: boolean;
	readonly load: ReportedLoad | undefined;
	/** Headers for the caller, names and values in turn. */
	readonly headers: readonly string[];
};

/** Result of reading a prompt. */
export type PrefillResult = {
	readonly handle: string;
	readonly tokens: number;
};

/** State of a model engine, as of some hundred milliseconds ago. */
export type EngineReport = {
	readonly stage: Stage;
	/** True while an order is in progress. */
	readonly hasOrderInProgress: boolean;
	/** Orders accepted since the engine started. */
	readonly acceptedOrders: number;
};

/** An order to change the stage of an engine. */
export type StageOrder = {
	readonly upstream: Upstream;
	readonly stage: Stage;
	readonly holder: string;
	readonly fencing: number;
	/** Orders that the engine must have accepted so far; it rejects the order otherwise. */
	readonly expectedAcceptedOrders: number;
};

/** Protocol that upstreams speak. */
export abstract class UpstreamProtocol {
	/** Encodes a request. */
	abstract encode(send: UpstreamSend): WireRequest;

	/** Decodes the head of an answer; header names are in lower case. */
	abstract decodeAnswer(status: number, headers: Readonly<Record<string, string | string[] | undefined>>): UpstreamAnswer;

	/** Decodes the answer to a prefill; a failure is a short message. */
	abstract decodePrefill(body: Uint8Array): Either<string, PrefillResult>;

	/** Encodes the call that frees a prompt that no one will fetch. */
	abstract encodeReleaseRequest(upstream: Upstream, handle: string): WireRequest;

	/** Encodes the call for an engine's state. */
	abstract encodeReportRequest(upstream: Upstream): WireRequest;

	/** Decodes an engine's state; a failure is a short message. */
	abstract decodeReport(body: Uint8Array): Either<string, EngineReport>;

	/** Encodes an order. */
	abstract encodeOrder(order: StageOrder): WireRequest;
}
