import type {IncomingHttpHeaders} from 'node:http';
import {Left, type Either} from 'purify-ts';
import {createRefusal, type CallerError} from './caller-error.ts';

/** Answer kept for resends of an unrepeatable request. */
export type StoredAnswer = {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
	readonly body: Uint8Array;
};

/** Request that is claimed before dispatch. */
export type ClaimRequest = {
	readonly customer: string;
	readonly idempotencyKey: string;
	/** Hash of customer, method, path and body. */
	readonly digest: string;
};

/** Exclusive right to dispatch one unrepeatable request. */
export abstract class Claim {
	/** Records the whole answer; resolves when it is durable, or when the store cannot take it. */
	abstract complete(answer: StoredAnswer): Promise<void>;

	/** Gives the claim up; only called when no byte of the request has reached an upstream. */
	abstract release(): Promise<void>;

	/** Records that the request may have run and that its answer is not known; it is never dispatched again. */
	abstract abandon(): Promise<void>;
}

/** Result of a claim: the right to dispatch, or the answer of an earlier dispatch. */
export type ClaimResult
	= | {readonly kind: 'granted'; readonly claim: Claim}
		| {readonly kind: 'answered'; readonly answer: StoredAnswer};

/** Claims requests that have an idempotency key. */
export abstract class ClaimStore {
	/** Claims a request, or refuses it; after a refusal nothing may be dispatched. */
	abstract claim(request: ClaimRequest): Promise<Either<CallerError, ClaimResult>>;
}

/** Refuses each request that has an idempotency key, because nothing can record that it runs once. */
export class UnavailableClaimStore extends ClaimStore {
	async claim(): Promise<Either<CallerError, ClaimResult>> {
		return Left(createRefusal(503, 'claims_unavailable', 'The request cannot be claimed now.', 1));
	}
}
