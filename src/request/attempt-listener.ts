import type {Host} from '../ports/host-list.ts';
import type {RunState} from './caller-error.ts';
import type {RequestDemand} from './request-demand.ts';

/** One attempt: a request sent to one upstream. */
export type Attempt = {
	/** Unique within the process. */
	readonly attemptId: number;
	readonly demand: RequestDemand;
	readonly upstream: Host;
	/** Time on the monotonic clock, in milliseconds. */
	readonly startedAt: number;
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
	/** Time from the start of the attempt to the first byte of the answer, in milliseconds; absent if none arrived. */
	readonly firstByteMs?: number;
	/** Time from the start to the end of the attempt, in milliseconds. */
	readonly totalMs: number;
};

/** Receives the start and the end of each attempt; calls are synchronous and must not throw. */
export abstract class AttemptListener {
	/** Called at the first byte of the answer. */
	attemptAnswered(_attempt: Attempt): void {
		// Optional: most listeners need only the start and the end.
	}

	abstract attemptStarted(attempt: Attempt): void;

	abstract attemptEnded(attempt: Attempt, end: AttemptEnd): void;
}
