/** Authority of the daemon that makes calls to the platform for all daemons. */
export type DutyAuthority = {
	readonly holder: string;
	/** Rises with each holder. */
	readonly fencing: number;
};

/** Requests that each client account began to run in one window of the wall clock. */
export type UsageReport = {
	/** Number of the window: windows follow each other without gaps from 1970 on. */
	readonly window: number;
	readonly counts: ReadonlyMap<string, number>;
};

/** Number of upstreams of one kind that a service should have in an availability zone. */
export type PoolOrder = {
	readonly service: string;
	readonly availabilityZone: string;
	readonly count: number;
	/** True for upstreams that the platform may reclaim, all of a zone at once. */
	readonly isReclaimable: boolean;
};

/** Outcome of a call: `rejected` by the platform, `exhausted` if it has none to give at the moment, `throttled` or `unknown` if it may be repeated unchanged; after `unknown` it may have been applied. */
export type DutyResult = 'accepted' | 'rejected' | 'exhausted' | 'throttled' | 'unknown';

/** Calls to the platform of which only one daemon at a time may make each. */
export abstract class PlatformDuties implements AsyncDisposable {
	/**
	Reports the usage of one window; a repeat must have the same counts.

	`shouldStart` is asked again right before the call is written; if it returns false, nothing is sent and the result is `throttled`.
	*/
	abstract reportUsage(report: UsageReport, authority: DutyAuthority, shouldStart: () => boolean): Promise<DutyResult>;

	/** Orders the number of upstreams of a service in a zone; `shouldStart` as above. */
	abstract orderPool(order: PoolOrder, authority: DutyAuthority, shouldStart: () => boolean): Promise<DutyResult>;

	abstract [Symbol.asyncDispose](): Promise<void>;
}
