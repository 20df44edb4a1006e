/** Class of a request: live work is served within its latency targets, patient work with spare capacity. */
export type WorkClass = 'live' | 'patient';

/** A request that waits for admission or has been admitted. */
export type Ticket = {
	readonly id: string;
	readonly customer: string;
	readonly workClass: WorkClass;
	/** Cost in tokens; counts against the customer's share. */
	readonly tokens: number;
	/** Number of slots that the request uses from its grant until its first token; one slot from then on. */
	readonly slots: number;
	/** True for work that short live work must not wait for. */
	readonly isLong: boolean;
	/** Monotonic time in milliseconds. */
	readonly arrivedAt: number;
	/** Monotonic time by which the request must be admitted, in milliseconds. */
	readonly startBy: number;
};

/** Why a ticket is refused: too many of its customer wait, it cannot be admitted in time, or nothing serves it any more. */
export type RefusalReason = 'queue_full' | 'deadline' | 'no_upstream';

/** Action to take for a ticket. */
export type AdmissionDecision
	= | {readonly kind: 'grant'; readonly ticket: Ticket}
		| {readonly kind: 'refuse'; readonly ticket: Ticket; readonly reason: RefusalReason; readonly retryAfterS: number}
		| {readonly kind: 'preempt'; readonly ticket: Ticket};

/** Kind of work with its own queues and its own limits on the capacity it may use. */
export type QueueKind = 'short' | 'long' | 'patient';

/** Returns the kind of queue that a ticket waits in. */
export function queueKindOf({workClass, isLong}: Ticket): QueueKind {
	if (workClass === 'patient') {
		return 'patient';
	}

	return isLong ? 'long' : 'short';
}
