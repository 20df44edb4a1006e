import type {Host} from '../ports/host-list.ts';
import {AttemptListener} from './attempt-listener.ts';
import type {CallerError} from './caller-error.ts';
import type {RequestDemand} from './request-demand.ts';

/** Keeps requests that crash upstreams away from them. */
export abstract class CrashRegistry extends AttemptListener {
	/** Returns a refusal for a condemned request. */
	abstract checkCondemned(demand: RequestDemand): CallerError | undefined;

	/** Returns the candidates on which this request may run now. */
	abstract selectAllowed(demand: RequestDemand, candidates: readonly Host[]): readonly Host[];
}

/** Condemns nothing. */
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
