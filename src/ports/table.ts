import type {Either} from 'purify-ts';

/** Name of a row: partition and sort key. */
export type RowKey = {
	readonly partition: string;
	readonly sort: string;
};

/** A row as read. */
export type Row = {
	readonly key: RowKey;
	/** Raised by one on each write; a row that is deleted and created again starts at 1. */
	readonly revision: number;
	/** JSON text. */
	readonly body: string;
};

/** One part of a transaction; `expected` is the revision read before, or 0 for a row that must be absent. */
export type RowWrite
	= | {readonly kind: 'put'; readonly key: RowKey; readonly expected: number; readonly body: string}
		| {readonly kind: 'delete'; readonly key: RowKey; readonly expected: number}
		| {readonly kind: 'check'; readonly key: RowKey; readonly expected: number};

/** Why a table call did not succeed. Only `unknown` leaves open whether a write was applied. */
export type StoreFailure
	= | {readonly kind: 'conflict'; readonly keys: readonly RowKey[]}
		| {readonly kind: 'unavailable'; readonly message: string}
		| {readonly kind: 'unknown'; readonly message: string};

/** Transactional table of the platform. */
export abstract class Table implements AsyncDisposable {
	/** Reads one row with strong consistency; `undefined` when it is absent. */
	abstract get(key: RowKey): Promise<Either<StoreFailure, Row | undefined>>;

	/** Reads rows of a partition in order of sort key, after the given one, at most `limit`. */
	abstract query(
		partition: string,
		options?: {readonly after?: string; readonly limit?: number},
	): Promise<Either<StoreFailure, readonly Row[]>>;

	/** Applies all writes or none. Never retries: a retry would hide a lost answer. */
	abstract write(writes: readonly RowWrite[]): Promise<Either<StoreFailure, void>>;

	abstract [Symbol.asyncDispose](): Promise<void>;
}
