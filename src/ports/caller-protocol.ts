import type {IncomingMessage} from 'node:http';
import type {RouteRequest} from '../request/delivery/route-request.ts';

/** An answer of the daemon's own. */
export type Refusal = {
	/** `notRun` promises that the request has not run and never will; `unknown` promises nothing. */
	readonly ran: 'notRun' | 'unknown';
	readonly kind: 'busy' | 'unprepared' | 'noRoute' | 'tooLarge' | 'malformed' | 'badAnswer' | 'expired';
	readonly message: string;
	/** When the caller may come back, in milliseconds. */
	readonly retryAfterMs: number | undefined;
};

/** An encoded answer; headers are names and values in turn. */
export type EncodedRefusal = {
	readonly status: number;
	readonly headers: readonly string[];
	readonly body: string;
};

/** Protocol that callers speak. */
export abstract class CallerProtocol {
	/** Decodes a request. */
	abstract decode(message: IncomingMessage, body: Uint8Array): RouteRequest;

	/** Encodes an answer of the daemon's own. */
	abstract encodeRefusal(refusal: Refusal, requestId: string): EncodedRefusal;

	/** True when the path asks whether the daemon takes connections. */
	abstract isReadinessPath(target: string): boolean;
}
