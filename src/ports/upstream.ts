/** Stage of inference that a model engine runs. */
export type Stage = 'prefill' | 'decode';

/** One running instance of an upstream, as listed by the platform. */
export type Upstream = {
	/** Identifies this instance; after a restart, an upstream usually has another ID. */
	readonly id: string;
	readonly service: string;
	/** IP and port. */
	readonly address: string;
	readonly availabilityZone: string;
	readonly isDraining: boolean;
	readonly slots: number;
	/** Undefined for plain services. */
	readonly stage: Stage | undefined;
	/** Number of entries that this instance has written to the list; increases with each entry. */
	readonly heartbeatCount: number;
	/** Start time of the process, in Unix milliseconds; distinguishes restarts under the same ID. */
	readonly startedAt: number | undefined;
	/** True if the platform may reclaim this upstream, together with all such ones of the service in its availability zone. */
	readonly isReclaimable?: boolean;
	/** Time until a draining upstream leaves, in milliseconds; undefined if it is not known. */
	readonly leavesInMs?: number;
};
