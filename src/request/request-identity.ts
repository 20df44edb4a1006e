/** What identifies a request in the search for requests that crash upstreams. */
export type RequestIdentity = {
	/** The same in all repetitions of the request. */
	readonly fingerprint: string;
	/** Keys of the parts of its prompt that other requests may share. */
	readonly promptParts: readonly string[];
};
