import type {ServerResponse} from 'node:http';

/** Whether an upstream ran a request; `no` guarantees that it did not and will not run. */
export type RunState = 'no' | 'unknown' | 'yes';

/** Header with the run state of a request. */
export const runStateHeader = 'wagtailtack-ran';

/** An error as reported to the caller. */
export type CallerError = {
	/** HTTP status. */
	readonly status: number;
	/** Stable machine-readable code. */
	readonly code: string;
	/** Human-readable message. */
	readonly message: string;
	readonly ran: RunState;
	/** Seconds after which a retry may succeed. */
	readonly retryAfterS?: number;
};

/** Error of a request whose handling failed in the daemon, without its run state. */
export const internalError: Omit<CallerError, 'ran'> = {status: 500, code: 'internal_error', message: 'The daemon failed to handle the request.'};

/** Time allowed for an error event to be flushed to the caller before the connection is destroyed. */
const errorEventFlushTimeoutMs = 1000;

/** Derives the run state from the status of an upstream's answer; a 5xx status does not tell how much of the request was run. */
export function toRunState(status: number): RunState {
	return status >= 500 ? 'unknown' : 'yes';
}

/** Creates an error for a request that was not run. */
export function createRefusal(status: number, code: string, message: string, retryAfterS?: number): CallerError {
	return {
		status, code, message, ran: 'no', ...(retryAfterS === undefined ? {} : {retryAfterS}),
	};
}

/** Formats the JSON body of an error answer. */
export function formatCallerError(error: CallerError): string {
	return JSON.stringify({error: {code: error.code, message: error.message, ran: error.ran}});
}

/**
Sends an error as JSON. A response that has begun is aborted instead, so that a partial answer cannot be mistaken for a complete one.

The connection is closed if the caller has not finished sending its request.
*/
export function sendCallerError(response: ServerResponse, error: CallerError): void {
	if (response.headersSent) {
		response.destroy();
		return;
	}

	const body = formatCallerError(error);
	const isRequestComplete = response.req.complete;
	response.writeHead(error.status, {
		'content-type': 'application/json',
		'content-length': new TextEncoder().encode(body).length,
		[runStateHeader]: error.ran,
		...(error.retryAfterS === undefined ? {} : {'retry-after': String(error.retryAfterS)}),
		...(isRequestComplete ? {} : {connection: 'close'}),
	});
	response.end(body, () => {
		if (!isRequestComplete) {
			response.req.destroy();
		}
	});
}

/** Ends an event stream that has begun: sends an error event, then aborts the connection. */
export function abortEventStream(response: ServerResponse, error: CallerError): void {
	const timer = setTimeout(() => {
		response.destroy();
	}, errorEventFlushTimeoutMs);
	response.write(`event: error\ndata: ${formatCallerError(error)}\n\n`, () => {
		clearTimeout(timer);
		response.destroy();
	});
}
