import type {IncomingMessage} from 'node:http';
import type {RouteRequest} from '../request/delivery/route-request.ts';

/** Error response that the daemon itself generates, instead of relaying one from an upstream. */
export type Refusal = {
	/** `notRun` guarantees that the request has not run and never will; `unknown` guarantees nothing. */
	readonly ran: 'notRun' | 'unknown';
	readonly kind: 'busy' | 'unprepared' | 'noRoute' | 'unauthorized' | 'tooLarge' | 'malformed' | 'badAnswer' | 'expired';
	readonly message: string;
	/** Delay after which the caller may retry, in milliseconds; undefined for no hint. */
	readonly retryAfterMs: number | undefined;
};

/** Encoded refusal; `headers` alternates names and values. */
export type EncodedRefusal = {
	readonly status: number;
	readonly headers: readonly string[];
	readonly body: string;
};

/** Protocol between callers and the daemon. */
export abstract class CallerProtocol {
	/** Decodes a caller's request. */
	abstract decode(message: IncomingMessage, body: Uint8Array): RouteRequest;

	/** Returns a request without the headers that show or name a client account, for deployments with accounts. */
	abstract removeCredentials(request: RouteRequest): RouteRequest;

	/** Encodes a refusal for the caller. */
	abstract encodeRefusal(refusal: Refusal, requestId: string): EncodedRefusal;

	/** True when the request target is the readiness endpoint. */
	abstract isReadinessPath(target: string): boolean;
}
