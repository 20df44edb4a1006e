/** Time for which a condemned request or prompt part is refused and a crash is remembered, in milliseconds. */
export const refusalDurationMs = 600_000;

/** Time for which a culprit stays pending before it is condemned, in milliseconds; peers report what they had in flight in the same crashes meanwhile. */
export const condemnationDelayMs = 2000;

/** Crashes of several upstreams within this time may share a cause other than a request, in milliseconds. */
export const correlatedFailureWindowMs = 2000;

/** Time after a crash in which its news reaches all daemons and no contested request may start, in milliseconds. */
const newsDelayMs = 300;

/** Maximum number of turns; with more contested requests, several share a turn and need a further crash to be told apart. */
export const maxTurns = 8;

/** Time in which the contested requests of one turn may start, in milliseconds; longer than most requests take to crash an upstream. */
const turnMs = 500;

/**
Time until the next turn of contested requests, in milliseconds; 0 while they may start.

Turns begin at the last crash. Daemons with the same records compute the same turns, so that no other contested request runs
beside these at any daemon.
*/
export function computeTurnDelay(turn: number, turns: number, sinceLastCrashMs: number): number {
	const turnStart = turn * turnMs;
	const sinceStart = sinceLastCrashMs - newsDelayMs;
	if (sinceStart < 0) {
		return turnStart - sinceStart;
	}

	const position = sinceStart % (turns * turnMs);
	if (position >= turnStart && position < turnStart + turnMs) {
		return 0;
	}

	return turnStart > position ? turnStart - position : turnStart + (turns * turnMs) - position;
}
