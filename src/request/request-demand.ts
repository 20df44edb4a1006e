import type {Call} from './call.ts';
import type {RequestIdentity} from './request-identity.ts';

/** Class of work: `live` is interactive, `patient` uses spare capacity. */
export type ServiceClass = 'live' | 'patient';

/** Properties of a request on which admission and routing decide. */
export type RequestDemand = RequestIdentity & {
	readonly requestId: string;
	readonly customer: string;
	readonly method: string;
	readonly call: Call;
	readonly serviceClass: ServiceClass;
	readonly body: Uint8Array;
	/** Deadline on the monotonic clock, in milliseconds. */
	readonly deadlineMs?: number;
};
