/** Part of the work on a prompt that a model engine does. */
export type Stage = 'prefill' | 'decode';

/** One start of a back end, as the platform lists it. */
export type Upstream = {
	/** Identifies this start; a restart mostly has another id. */
	readonly id: string;
	readonly service: string;
	/** IP and port. */
	readonly address: string;
	readonly availabilityZone: string;
	readonly isDraining: boolean;
	readonly slots: number;
	/** Set for model engines. */
	readonly stage: Stage | undefined;
	/** Counts the entries that this upstream has written. */
	readonly heartbeatCount: number;
	/** Start of the process, in Unix milliseconds; distinguishes restarts under one id. */
	readonly startedAt: number | undefined;
};
