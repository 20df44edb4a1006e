/** What may be repeated on a route: `idempotent` requests may run again, `unrepeatable` ones run at most once, `stream` answers with events. */
export type RouteKind = 'idempotent' | 'unrepeatable' | 'stream';

/** One of the services that take the requests of a route. */
export type RouteTarget = {
	readonly service: string;
	/** Share of the requests, relative to the weights of the other targets. */
	readonly weight: number;
};

/** One route of the operator's configuration. */
export type Route = {
	readonly name: string;
	readonly host: string;
	/** Begins and ends with a slash. */
	readonly pathPrefix: string;
	readonly kind: RouteKind;
	/** Longest time that a request is kept waiting, in milliseconds. */
	readonly timeoutMs: number;
	/** Time to the answer, or to the first event of a stream, that counts as on time, in milliseconds. */
	readonly targetLatencyMs: number;
	/** Longest pause between events of a stream that counts as on time, in milliseconds. */
	readonly targetGapMs: number | undefined;
	/** Rank, 0 is the most urgent. */
	readonly priority: number;
	/** Upstreams to which one request may be sent. */
	readonly attemptLimit: number;
	/** True when a stream may go on at another upstream after its last whole event. */
	readonly isResumable: boolean;
	readonly targets: readonly RouteTarget[];
};

/** What the upstreams of a model service have in common. */
export type EngineProfile = {
	/** Requests that run at once on one upstream. */
	readonly slots: number;
	/** Tokens that the memory of one upstream holds. */
	readonly memoryCapacityTokens: number;
	/** Bytes of memory that one token takes. */
	readonly bytesPerToken: number;
	/** Rate of transfers between upstreams, in megabits a second. */
	readonly linkMbps: number;
	/** Time for which a prefilled prompt is kept until it is fetched, in milliseconds. */
	readonly handleTtlMs: number;
	/** Time that a change of stage takes, in milliseconds. */
	readonly stageChangeMs: number;
};

/** One service of the operator's configuration. */
export type Service = {
	readonly name: string;
	/** Connections that one upstream accepts from all callers together. */
	readonly connectionLimit: number;
	/** Set for model services. */
	readonly engine: EngineProfile | undefined;
};

/** Bounds on what clients may send, and on how long they may take. */
export type ClientLimits = {
	readonly headerBytes: number;
	readonly bodyBytes: number;
	readonly headerTimeoutMs: number;
	readonly idleTimeoutMs: number;
};

/** One version of the operator's configuration. */
export type RouteConfiguration = {
	/** Rises with each change, in uneven steps. */
	readonly version: number;
	readonly routes: readonly Route[];
	readonly services: readonly Service[];
	readonly limits: ClientLimits;
};
