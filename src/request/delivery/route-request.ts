/** Part of a prompt that requests may share. */
export type PromptPart = {
	readonly id: string;
	readonly tokens: number;
};

/** What a caller says of the prompt of a model request. */
export type Prompt = {
	/** Parts in order; the last one belongs to the request itself or to its session. */
	readonly parts: readonly PromptPart[];
	readonly tokens: number;
	/** Most tokens that the answer may have. */
	readonly maxOutputTokens: number;
};

/** A caller's request, decoded once at the entrance. */
export type RouteRequest = {
	readonly id: string;
	readonly method: string;
	readonly host: string;
	/** Path and query as the caller sent them. */
	readonly target: string;
	/** Names and values in turn, without those of the connection and without those that only the daemon sets. */
	readonly headers: readonly string[];
	readonly body: Uint8Array;
	/** Address of the caller, for the fingerprint of requests that crash upstreams. */
	readonly callerAddress: string;
	/** Time for which the caller waits from the arrival, in milliseconds. */
	readonly callerTimeoutMs: number | undefined;
	/** Last event that the caller has, when it resumes a stream. */
	readonly lastEventId: string | undefined;
	/** Set for model requests. */
	readonly prompt: Prompt | undefined;
};
