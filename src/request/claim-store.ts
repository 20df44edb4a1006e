import type {IncomingHttpHeaders} from 'node:http';
import {Left, type Either} from 'purify-ts';
import {createRefusal, type CallerError} from './caller-error.ts';

/** Answer stored for resends of an unrepeatable request. */
export type StoredAnswer = {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
	readonly body: Uint8Array;
};

/** Request to be claimed before dispatch. */
export type ClaimRequest = {
	readonly customer: string;
	readonly idempotencyKey: string;
	/** Hash of customer, method, path and body. */
	readonly digest: string;
};

/** Exclusive right to dispatch one unrepeatable request. */
export abstract class Claim {
	/** Stores the complete answer; resolves once it is durable or the store has failed to take it. */
	abstract complete(answer: StoredAnswer): Promise<void>;

	/** Releases the claim; called only when the request is known not to have run. */
	abstract release(): Promise<void>;

	/** Records that the request may have run and its answer is unknown, so that it is not dispatched again. */
	abstract abandon(): Promise<void>;
}

/** Result of a claim: the right to dispatch, or the stored answer of an earlier dispatch. */
export type ClaimResult
	= | {readonly kind: 'granted'; readonly claim: Claim}
		| {readonly kind: 'answered'; readonly answer: StoredAnswer};

/** Store of the claims on requests with an idempotency key. */
export abstract class ClaimStore {
	/** Claims a request or refuses it; a refused request must not be dispatched. */
	abstract claim(request: ClaimRequest): Promise<Either<CallerError, ClaimResult>>;
}

/** Refuses every request with an idempotency key, because nothing can record that it runs only once. */
export class UnavailableClaimStore extends ClaimStore {
	async claim(): Promise<Either<CallerError, ClaimResult>> {
		return Left(createRefusal(503, 'claims_unavailable', 'The request cannot be claimed now.', 1));
	}
}
