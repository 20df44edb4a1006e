import type {AttemptResult} from './attempt.ts';
import {createRefusal, type CallerError, type RunState} from './caller-error.ts';
import type {CancelReason} from './cancellation.ts';
import type {AnswerRelay} from './relay.ts';

/** Refusal of a request that no live upstream serves. */
export const noUpstream: CallerError = createRefusal(503, 'no_upstream', 'No upstream serves this request now.', 1);

type Failure = Omit<CallerError, 'ran'>;

const failures: Readonly<Record<Exclude<AttemptResult['outcome'], 'cancelled' | 'complete'>, Failure>> = {
	not_sent: {
		status: 503, code: 'upstream_unreachable', message: 'No upstream could be reached.', retryAfterS: 1,
	},
	connection_lost: {status: 502, code: 'upstream_failed', message: 'The upstream failed before it answered.'},
	timed_out: {status: 504, code: 'upstream_timeout', message: 'The upstream did not answer in time.'},
	invalid_answer: {status: 502, code: 'invalid_answer', message: 'The upstream gave an answer that cannot be relayed.'},
};

const cancellations: Readonly<Record<CancelReason, Failure>> = {
	caller_gone: {status: 499, code: 'caller_gone', message: 'The caller closed its connection.'},
	deadline: {status: 504, code: 'deadline_exceeded', message: 'The deadline has passed.'},
	preempted: {
		status: 503, code: 'preempted', message: 'The capacity is needed for live work.', retryAfterS: 1,
	},
};

/** Creates the error of a cancelled request. */
export function describeCancellation(reason: CancelReason, ran: RunState): CallerError {
	return {...cancellations[reason], ran};
}

/** Creates the error of a failed attempt; `ran` covers all attempts of the request. */
export function describeFailure(result: AttemptResult, relay: AnswerRelay, ran: RunState): CallerError {
	if (result.outcome === 'cancelled' && result.message in cancellations) {
		return describeCancellation(result.message as CancelReason, ran);
	}

	if (result.outcome === 'cancelled' || result.outcome === 'complete') {
		return describeCancellation('caller_gone', ran);
	}

	if (relay.streamErrorCode !== undefined) {
		return {
			status: 502, code: relay.streamErrorCode, message: 'The stream broke its format or mixed two answers.', ran,
		};
	}

	return relay.hasBegun && result.outcome === 'connection_lost'
		? {
			status: 502, code: 'stream_truncated', message: 'The answer ended before it was whole.', ran,
		}
		: {...failures[result.outcome], ran};
}
