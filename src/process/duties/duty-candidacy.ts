/** What decides whether a daemon competes for the lease of duties. */
export type DutyCandidacy = {
	/** Rank of this daemon among those that were recently heard, from 0. */
	readonly rank: number;
	readonly isHolder: boolean;
	/** Time since this daemon last heard of a holder at work, in milliseconds. */
	readonly silentMs: number;
};

/** Daemons that always compete: the one that holds the lease in the normal case, and one that observes it. */
const permanentCandidates = 2;
/** Silence of the holder after which further daemons compete, in milliseconds; the permanent candidates may all be cut off from the store. */
const holderSilenceMs = 6000;
/** Additional delay by rank, so that few daemons read the lease at the same time. */
const rankDelayMs = 700;
const maxRankDelayMs = 10_000;

/** Decides whether a daemon competes for the lease of duties. */
export function isDutyCandidate({rank, isHolder, silentMs}: DutyCandidacy): boolean {
	const delayMs = Math.min(maxRankDelayMs, (rank - permanentCandidates) * rankDelayMs);
	return isHolder || rank < permanentCandidates || silentMs >= holderSilenceMs + delayMs;
}
