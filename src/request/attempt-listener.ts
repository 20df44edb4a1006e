import type {Host} from '../ports/host-list.ts';
import type {RunState} from './caller-error.ts';
import type {RequestDemand} from './request-demand.ts';

/** One dispatch of a request to an upstream. */
export type AttemptStart = {
	/** Unique within the process. */
	readonly attemptId: number;
	readonly demand: RequestDemand;
	readonly upstream: Host;
	/** Time on the monotonic clock, in milliseconds. */
	readonly startMs: number;
};

/** How an attempt ended. */
export type AttemptEnd = {
	/** `connection_lost`: the connection was reset or closed early, as when the upstream crashes. */
	readonly outcome: 'complete' | 'cancelled' | 'not_sent' | 'connection_lost' | 'timed_out' | 'invalid_answer';
	/** Whether the upstream may have run the request. */
	readonly ran: RunState;
	/** HTTP status, if the head of an answer arrived. */
	readonly status?: number;
	/** True when the upstream answered that it is leaving and takes no new work. */
	readonly isLeaving: boolean;
	readonly firstByteMs?: number;
	readonly totalMs: number;
};

/** Receives the start and the end of each attempt; calls are synchronous and must not throw. */
export abstract class AttemptListener {
	/** Called at the first byte of the answer. */
	attemptAnswered(_attempt: AttemptStart): void {
		// Optional: most listeners need only the start and the end.
	}

	abstract attemptStarted(attempt: AttemptStart): void;

	abstract attemptEnded(attempt: AttemptStart, end: AttemptEnd): void;
}
