/** Class of a request: live work is answered on time, patient work in spare room. */
export type WorkClass = 'live' | 'patient';

/** A request that waits for admission. */
export type Ticket = {
	readonly id: string;
	readonly customer: string;
	readonly workClass: WorkClass;
	/** Cost in tokens, which counts against the customer's share. */
	readonly tokens: number;
	/** Room that the request takes while it runs. */
	readonly slots: number;
	/** True for work that must not hold up short live work. */
	readonly isLong: boolean;
	/** Monotonic time in milliseconds. */
	readonly arrivedAt: number;
	/** Monotonic time by which the request must be admitted, in milliseconds. */
	readonly startBy: number;
};

/** What is to be done with a ticket. */
export type AdmissionDecision
	= | {readonly kind: 'grant'; readonly ticket: Ticket}
		| {readonly kind: 'refuse'; readonly ticket: Ticket; readonly reason: 'queue_full' | 'deadline'; readonly retryAfterS: number}
		| {readonly kind: 'preempt'; readonly ticket: Ticket};

/** Kind of work with its own queues and its own part of the room. */
export type QueueKind = 'short' | 'long' | 'patient';

/** Lane of a ticket. */
export function queueKindOf({workClass, isLong}: Ticket): QueueKind {
	if (workClass === 'patient') {
		return 'patient';
	}

	return isLong ? 'long' : 'short';
}
