import {Left, Right, type Either} from 'purify-ts';
import {createRefusal, type CallerError} from './caller-error.ts';

/** Header with the remaining time of a request in milliseconds; also sent to upstreams. */
export const deadlineHeader = 'wagtailtack-deadline-ms';

const maxDeadlineMs = 24 * 60 * 60 * 1000;

/** Parses the deadline header; returns the remaining time in milliseconds. */
export function parseDeadline(value: string | undefined): Either<CallerError, number | undefined> {
	if (value === undefined) {
		return Right(undefined);
	}

	const milliseconds = /^\d{1,9}$/v.test(value) ? Number(value) : 0;
	return milliseconds > 0 && milliseconds <= maxDeadlineMs
		? Right(milliseconds)
		: Left(createRefusal(400, 'invalid_deadline', `${deadlineHeader} takes milliseconds from 1 to ${maxDeadlineMs}.`));
}
