import type {AttemptResult} from './attempt.ts';

/** What decides whether a failed attempt may be followed by another one. */
export type RetryContext = {
	readonly result: Pick<AttemptResult, 'outcome' | 'ran'>;
	/** True once a byte was sent to the caller. */
	readonly hasBegun: boolean;
	/** True when running the request twice does no harm. */
	readonly isRepeatable: boolean;
	/** Takes a token from the retry budget; called only when the budget decides. */
	readonly takeBudget: () => boolean;
};

/** Decides on a retry: always before a byte was sent to the upstream, else only for repeatable work within the budget. */
export function mayRetry({result, hasBegun, isRepeatable, takeBudget}: RetryContext): boolean {
	if (hasBegun || result.outcome === 'cancelled' || result.outcome === 'complete') {
		return false;
	}

	return result.ran === 'no' || (isRepeatable && takeBudget());
}
