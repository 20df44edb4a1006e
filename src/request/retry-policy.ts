import type {AttemptResult} from './attempt.ts';

/** Failed attempt and the conditions of a retry. */
export type RetryContext = {
	readonly result: Pick<AttemptResult, 'outcome' | 'ran'>;
	/** True once the answer to the caller has begun. */
	readonly hasBegun: boolean;
	/** True when the request may safely run twice. */
	readonly isRepeatable: boolean;
	/** Takes a token from the retry budget; called only when the decision depends on it. */
	readonly takeBudget: () => boolean;
};

/** Decides on a retry: always when the request has not run, otherwise only for repeatable work within the retry budget. */
export function mayRetry({result, hasBegun, isRepeatable, takeBudget}: RetryContext): boolean {
	if (hasBegun || result.outcome === 'cancelled' || result.outcome === 'complete') {
		return false;
	}

	return result.ran === 'no' || (isRepeatable && takeBudget());
}
