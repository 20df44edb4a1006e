import type {Call} from './call.ts';

/** Class of work: interactive, or in spare capacity. */
export type ServiceClass = 'live' | 'patient';

/** What admission and routing know of a request. */
export type RequestDemand = {
	readonly requestId: string;
	readonly customer: string;
	readonly method: string;
	readonly call: Call;
	readonly serviceClass: ServiceClass;
	/** Hash of customer, path and body; the same for each resend. */
	readonly fingerprint: string;
	readonly body: Uint8Array;
	/** Time on the monotonic clock after which the answer is of no use, in milliseconds. */
	readonly deadlineMs?: number;
};
