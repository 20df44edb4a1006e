import type {Refusal} from '../../ports/caller-protocol.ts';
import type {CallerError} from '../../request/caller-error.ts';
import type {AccessRefusal} from '../accounts/access.ts';

/** Retry delay when no configuration is known, its age is unknown or memory for bodies is short. */
const defaultRetryMs = 500;
/** Retry delay while shutting down; short because the load balancer no longer routes to this daemon, so a new connection reaches another one. */
const closingRetryMs = 50;

const accessRefusals: Readonly<Record<AccessRefusal, Refusal>> = {
	noKey: createRefusal('unauthorized', 'The request has no valid header with a key.'),
	unknownKey: createRefusal('unauthorized', 'The key is not known.'),
	undecided: createRefusal('unprepared', 'It is not known whether the key is valid by now.', defaultRetryMs),
};

/** Refusal of a request that has not run. */
export function createRefusal(kind: Refusal['kind'], message: string, retryAfterMs?: number): Refusal {
	return {
		ran: 'notRun', kind, message, retryAfterMs,
	};
}

/** Refusal while the daemon shuts down. */
export function createStopRefusal(): Refusal {
	return createRefusal('busy', 'The daemon is stopping.', closingRetryMs);
}

/** Refusal until a configuration has been received; it is logged and counted as `unprepared`. */
export function createUnpreparedRefusal(): Refusal {
	return createRefusal('unprepared', 'No configuration is known yet.', defaultRetryMs);
}

/** Refusal of a request whose body could not be read. */
export function createBodyRefusal({status, message}: CallerError): Refusal {
	return status === 413
		? createRefusal('tooLarge', 'The body is too large.')
		: createRefusal('busy', message, defaultRetryMs);
}

/** Refusal while as many requests are in progress as may be. */
export function createFullRefusal(message: string): Refusal {
	return createRefusal('busy', message, defaultRetryMs);
}

/** Refusal of a request without access. */
export function createAccessRefusal(reason: AccessRefusal): Refusal {
	return accessRefusals[reason];
}
