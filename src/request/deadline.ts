import {Left, Right, type Either} from 'purify-ts';
import {createRefusal, type CallerError} from './caller-error.ts';

/** Header with the milliseconds that remain for a request; it is passed on to upstreams. */
export const deadlineHeader = 'wagtailtack-deadline-ms';

const maxDeadlineMs = 24 * 60 * 60 * 1000;

/** Parses a deadline header; the result is in milliseconds from now. */
export function parseDeadline(value: string | undefined): Either<CallerError, number | undefined> {
	if (value === undefined) {
		return Right(undefined);
	}

	const milliseconds = /^\d{1,9}$/v.test(value) ? Number(value) : 0;
	return milliseconds > 0 && milliseconds <= maxDeadlineMs
		? Right(milliseconds)
		: Left(createRefusal(400, 'invalid_deadline', `${deadlineHeader} takes milliseconds from 1 to ${maxDeadlineMs}.`));
}
