import {Right, type Either} from 'purify-ts';
import type {CallerError} from './caller-error.ts';
import type {RequestDemand} from './request-demand.ts';

/** Resource usage of a request, reported when it ends. */
export type RequestUsage = {
	readonly outcome: 'complete' | 'failed' | 'cancelled';
	/** Bytes of the answer that were relayed to the caller. */
	readonly answerBytes: number;
	/** Milliseconds from admission to the first byte of the answer, if there was one. */
	readonly firstByteMs?: number;
	/** Milliseconds from admission to the end. */
	readonly totalMs: number;
};

/** Permission to dispatch one request; holds capacity until it is released. */
export type Ticket = {
	/** Value of `X-Priority` for engines: 0 live, 1 patient. */
	readonly enginePriority: 0 | 1;
	/** Aborts when patient work must give up its capacity; absent for work that is never preempted. */
	readonly preemptionSignal?: AbortSignal;
	/** Releases the capacity; must be called exactly once. */
	readonly release: (usage: RequestUsage) => void;
};

/** Decides when a request may be dispatched. */
export abstract class Admission {
	/** Resolves with a ticket or a refusal. Aborting the signal (caller disconnected, deadline passed) ends the wait with a refusal. */
	abstract acquire(demand: RequestDemand, signal: AbortSignal): Promise<Either<CallerError, Ticket>>;
}

/** Admits every request immediately. */
export class UnlimitedAdmission extends Admission {
	async acquire(demand: RequestDemand): Promise<Either<CallerError, Ticket>> {
		return Right({
			enginePriority: demand.serviceClass === 'live' ? 0 : 1,
			release() {
				// No capacity is reserved.
			},
		});
	}
}
