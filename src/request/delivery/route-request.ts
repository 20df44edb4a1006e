/** Part of a prompt that several requests may share. */
export type PromptPart = {
	readonly id: string;
	readonly tokens: number;
};

/** Prompt of a model request, as described by the caller. */
export type Prompt = {
	/** Parts in order; the last one is specific to the request or its session. */
	readonly parts: readonly PromptPart[];
	readonly tokens: number;
	/** Limit on the tokens of the answer. */
	readonly maxOutputTokens: number;
	/** The caller's estimate of the tokens of the answer, which is often far off. */
	readonly expectedOutputTokens?: number | undefined;
};

/** A caller's request, decoded once on arrival. */
export type RouteRequest = {
	readonly id: string;
	readonly method: string;
	readonly host: string;
	/** Path and query as the caller sent them. */
	readonly target: string;
	/** Names and values alternate; without hop-by-hop headers and headers that only the daemon sets. */
	readonly headers: readonly string[];
	readonly body: Uint8Array;
	/** Network address of the caller, for logs; it does not identify the caller, who may connect from several. */
	readonly callerAddress: string;
	/** Key with which the caller shows its client account; it is never forwarded or logged. */
	readonly key: string | undefined;
	/** Time from the arrival for which the caller waits, in milliseconds. */
	readonly callerTimeoutMs: number | undefined;
	/** Id of the last event that the caller received, when it resumes a stream. */
	readonly lastEventId: string | undefined;
	/** Set for model requests. */
	readonly prompt: Prompt | undefined;
};
