import type {Host} from '../ports/host-list.ts';
import {AttemptListener} from './attempt-listener.ts';
import type {CallerError} from './caller-error.ts';
import type {RequestDemand} from './request-demand.ts';

/** Tracks requests that crash upstreams and keeps them off other upstreams. */
export abstract class CrashRegistry extends AttemptListener {
	/** Returns a refusal for a condemned request: one that crashed upstreams and is refused on all daemons (a poison request). */
	abstract checkCondemned(demand: RequestDemand): CallerError | undefined;

	/** Returns the candidates on which the request may run now. */
	abstract selectAllowed(demand: RequestDemand, candidates: readonly Host[]): readonly Host[];
}

/** Tracks nothing and condemns no request. */
export class DisabledCrashRegistry extends CrashRegistry {
	checkCondemned(): undefined {
		return undefined;
	}

	selectAllowed(_demand: RequestDemand, candidates: readonly Host[]): readonly Host[] {
		return candidates;
	}

	attemptStarted(): void {
		// Nothing is recorded.
	}

	attemptEnded(): void {
		// Nothing is recorded.
	}
}
