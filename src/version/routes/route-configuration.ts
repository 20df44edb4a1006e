/** Kind of a route: `idempotent` requests may be retried, `unrepeatable` ones run at most once, and `stream` requests are answered with events. */
export type RouteKind = 'idempotent' | 'unrepeatable' | 'stream';

/** One of the services that receive the requests of a route. */
export type RouteTarget = {
	readonly service: string;
	/** Share of the requests relative to the weights of the other targets. */
	readonly weight: number;
};

/** One route of the operator's configuration. */
export type Route = {
	readonly name: string;
	readonly host: string;
	/** Starts and ends with a slash. */
	readonly pathPrefix: string;
	readonly kind: RouteKind;
	/** Maximum time that a request may wait for its answer, in milliseconds. */
	readonly timeoutMs: number;
	/** Target for the time to the answer, or to the first event of a stream, in milliseconds. */
	readonly targetLatencyMs: number;
	/** Target for the longest gap between events of a stream, in milliseconds. */
	readonly targetGapMs: number | undefined;
	/** Priority, 0 is the highest. */
	readonly priority: number;
	/** Maximum number of upstreams to which one request may be sent. */
	readonly attemptLimit: number;
	/** True when a stream may be resumed at another upstream after its last complete event. */
	readonly isResumable: boolean;
	/** True when requests need no key of a client account. */
	readonly isPublic: boolean;
	readonly targets: readonly RouteTarget[];
};

/** Characteristics that all upstreams of a model service share. */
export type EngineProfile = {
	/** Number of requests that one upstream runs concurrently. */
	readonly slots: number;
	/** Number of tokens that fit into the KV cache of one upstream. */
	readonly memoryCapacityTokens: number;
	/** KV cache size of one token, in bytes. */
	readonly bytesPerToken: number;
	/** Bandwidth of transfers between upstreams, in megabits per second. */
	readonly linkMbps: number;
	/** Time for which the KV cache of a prefilled prompt is kept until it is fetched, in milliseconds. */
	readonly handleTtlMs: number;
	/** Duration of a stage change, in milliseconds. */
	readonly stageChangeMs: number;
};

/** Bounds and prices within which the number of a service's upstreams may be ordered. */
export type PoolScaling = {
	/** Fewest and most upstreams in each availability zone, of both kinds together. */
	readonly minUpstreams: number;
	readonly maxUpstreams: number;
	/** Time from an order until a new upstream serves, in milliseconds. */
	readonly bootMs: number;
	/** Price of a reclaimable upstream relative to an ordinary one; undefined if the service has none. */
	readonly reclaimablePrice: number | undefined;
	/** Price of one second of an upstream, by availability zone. */
	readonly zonePrices: ReadonlyMap<string, number>;
};

/** One service of the operator's configuration. */
export type Service = {
	readonly name: string;
	/** Maximum number of connections that one upstream accepts from all callers together. */
	readonly connectionLimit: number;
	/** Undefined for plain services. */
	readonly engine: EngineProfile | undefined;
	/** Undefined if the number of upstreams is fixed. */
	readonly scaling: PoolScaling | undefined;
};

/** Limits on the size and the duration of client requests. */
export type ClientLimits = {
	readonly headerBytes: number;
	readonly bodyBytes: number;
	readonly headerTimeoutMs: number;
	readonly idleTimeoutMs: number;
};

/** Client account whose callers show one of its keys. */
export type ClientAccount = {
	readonly name: string;
	readonly keys: readonly string[];
	/** Priority of the account's requests, 0 is the highest; undefined to use that of the route. */
	readonly priority: number | undefined;
};

/** One version of the operator's configuration. */
export type RouteConfiguration = {
	/** Increases with each change, not necessarily by one. */
	readonly version: number;
	readonly routes: readonly Route[];
	readonly services: readonly Service[];
	readonly limits: ClientLimits;
	/** Undefined if callers need no keys. */
	readonly accounts: readonly ClientAccount[] | undefined;
};
