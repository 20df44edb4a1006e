/** A connection to an upstream as far as its silence is judged; all times in milliseconds. */
export type ObservedConnection = {
	/** Time of the last byte received, or of the start of the request that waits for its first byte. */
	readonly lastByteAt: number;
	/** Time from which the silence counts; later than the last byte if the upstream stood still. */
	readonly silentSince: number;
	/** Silence after which the request may be given up. */
	readonly silenceTimeoutMs: number;
	/** True if an idle connection of its age, or a younger one, is lost, and no byte has arrived since that was found. */
	readonly isPresumedSilent: boolean;
};

/** How a new connection was answered; all times in milliseconds. */
export type ConnectionTrial = {
	readonly startedAt: number;
	readonly endedAt: number;
	readonly isAnswered: boolean;
};

/** Time without an answer after which a new connection counts as not working. */
export const newConnectionTimeoutMs = 1000;
/**
Time without an answer after which an idle connection is lost if a new one was answered.

Exceeds pauses of 3 s, and finds a lost connection within 5 s. An upstream that stands still and goes on answers both, since
the new connection is given less time.
*/
export const idleConnectionTimeoutMs = 3100;
/** Time from the answer on a new connection until a silent request is given up; an upstream that stood still continues it meanwhile. */
export const confirmationMs = 1000;
/** With the confirmation as long as for an idle connection. */
const presumedSilenceTimeoutMs = 3000;

/** True if a request has been silent for as long as it may, so that a new connection is tried. */
export function isOverdue({silentSince, silenceTimeoutMs, isPresumedSilent}: ObservedConnection, now: number): boolean {
	return now - silentSince >= (isPresumedSilent ? Math.min(silenceTimeoutMs, presumedSilenceTimeoutMs) : silenceTimeoutMs);
}

/**
Returns the time from which the silence of a request counts after a new connection was tried.

Silence counts only while new connections are answered: an upstream that stands still has not lost its connections.
*/
export function countSilenceFrom(silentSince: number, {startedAt, endedAt, isAnswered}: ConnectionTrial): number {
	if (!isAnswered) {
		return Math.max(silentSince, endedAt);
	}

	return silentSince >= startedAt ? silentSince : silentSince + endedAt - startedAt;
}

/** True if a request that was overdue when a new connection was answered is given up: it is still overdue at the confirmation, without a byte since. */
export function isLost(connection: ObservedConnection, lastByteAtAnswer: number, now: number): boolean {
	return connection.lastByteAt === lastByteAtAnswer && isOverdue(connection, now);
}

/** True if a request is given up with an idle connection of its age that was asked then and is lost: no byte has arrived since, so that it was not paused either. */
export function isLostWithIdle({lastByteAt, isPresumedSilent}: ObservedConnection, askedAt: number): boolean {
	return isPresumedSilent && lastByteAt < askedAt;
}
