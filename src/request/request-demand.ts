import type {Call} from './call.ts';

/** Class of work: `live` is interactive, `patient` uses spare capacity. */
export type ServiceClass = 'live' | 'patient';

/** Properties of a request on which admission and routing decide. */
export type RequestDemand = {
	readonly requestId: string;
	readonly customer: string;
	readonly method: string;
	readonly call: Call;
	readonly serviceClass: ServiceClass;
	/** Hash of customer, method, path and body; the same for each resend. */
	readonly fingerprint: string;
	readonly body: Uint8Array;
	/** Deadline on the monotonic clock, in milliseconds. */
	readonly deadlineMs?: number;
};
