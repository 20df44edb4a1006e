import type {ServerResponse} from 'node:http';

/** Whether a request was run; `no` is a promise. */
export type RunState = 'no' | 'unknown' | 'yes';

/** Header that states whether a request was run. */
export const ranHeader = 'wagtailtack-ran';

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

/** Creates an error for a request that was not run. */
export function createRefusal(status: number, code: string, message: string, retryAfterS?: number): CallerError {
	return {
		status, code, message, ran: 'no', ...(retryAfterS === undefined ? {} : {retryAfterS}),
	};
}

/** Sends an error as JSON; a response that has begun is aborted instead, so that it cannot pass for a whole answer. */
export function sendCallerError(response: ServerResponse, error: CallerError): void {
	if (response.headersSent) {
		response.destroy();
		return;
	}

	const body = JSON.stringify({error: {code: error.code, message: error.message, ran: error.ran}});
	response.writeHead(error.status, {
		'content-type': 'application/json',
		'content-length': new TextEncoder().encode(body).length,
		[ranHeader]: error.ran,
		...(error.retryAfterS === undefined ? {} : {'retry-after': String(error.retryAfterS)}),
	});
	response.end(body);
}
