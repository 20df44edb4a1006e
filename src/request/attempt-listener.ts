import type {Host} from '../ports/host-list.ts';
import type {RunState} from './caller-error.ts';
import type {RequestDemand} from './request-demand.ts';

/** One dispatch of a request to an upstream. */
export type AttemptStart = {
	/** Unique in the process. */
	readonly attemptId: number;
	readonly demand: RequestDemand;
	readonly upstream: Host;
	/** Time on the monotonic clock, in milliseconds. */
	readonly startMs: number;
};

/** How an attempt ended. */
export type AttemptEnd = {
	/** `connection_lost` is a reset or an early end, as a crash of the upstream causes it. */
	readonly outcome: 'complete' | 'cancelled' | 'not_sent' | 'connection_lost' | 'timed_out' | 'invalid_answer';
	/** Whether the upstream may have run the request. */
	readonly ran: RunState;
	/** Status of the answer, if one began. */
	readonly status?: number;
	/** True when the upstream said that it is leaving. */
	readonly isLeaving: boolean;
	readonly firstByteMs?: number;
	readonly totalMs: number;
};

/** Receives the start and the end of each attempt; calls are synchronous and must not throw. */
export abstract class AttemptListener {
	/** Called at the first byte of the answer. */
	attemptAnswered(_attempt: AttemptStart): void {
		// Most listeners need only the start and the end.
	}

	abstract attemptStarted(attempt: AttemptStart): void;

	abstract attemptEnded(attempt: AttemptStart, end: AttemptEnd): void;
}
