import type {ServerResponse} from 'node:http';

/** Whether a request was run; `no` is a promise. */
export type RunState = 'no' | 'unknown' | 'yes';

/** Header that states whether a request was run. */
export const runStateHeader = 'wagtailtack-ran';

/** An error as the caller sees it. */
export type CallerError = {
	/** HTTP status. */
	readonly status: number;
	/** Stable identifier for programs. */
	readonly code: string;
	/** Plain sentence for people. */
	readonly message: string;
	readonly ran: RunState;
	/** Seconds after which a retry may succeed. */
	readonly retryAfterS?: number;
};

/** Limit on the wait for an error event to reach the caller before its connection is destroyed. */
const errorEventFlushTimeoutMs = 1000;

/** Run state of an upstream's answer; an upstream's own failure says nothing about how far it came with the request. */
export function toRunState(status: number): RunState {
	return status >= 500 ? 'unknown' : 'yes';
}

/** Creates an error for a request that was not run. */
export function createRefusal(status: number, code: string, message: string, retryAfterS?: number): CallerError {
	return {
		status, code, message, ran: 'no', ...(retryAfterS === undefined ? {} : {retryAfterS}),
	};
}

/** Formats the JSON body of an error. */
export function formatCallerError(error: CallerError): string {
	return JSON.stringify({error: {code: error.code, message: error.message, ran: error.ran}});
}

/**
Sends an error as JSON; a response that has begun is aborted instead, so that a part cannot pass for a whole answer.

The connection is closed when the caller has not finished sending its request.
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

/** Ends an event stream that has begun with an error event and an aborted connection. */
export function abortEventStream(response: ServerResponse, error: CallerError): void {
	const timer = setTimeout(() => {
		response.destroy();
	}, errorEventFlushTimeoutMs);
	response.write(`event: error\ndata: ${formatCallerError(error)}\n\n`, () => {
		clearTimeout(timer);
		response.destroy();
	});
}
