import type {Either} from 'purify-ts';

/** Primary key of a row: partition key and sort key. */
export type RowKey = {
	readonly partition: string;
	readonly sort: string;
};

/** Content of a row, with its revision for a later conditional write. */
export type Row = {
	readonly key: RowKey;
	/** Incremented by each write; starts at 1, also when a deleted row is created again. */
	readonly revision: number;
	/** JSON text. */
	readonly body: string;
};

/** One operation of a transaction; `expected` is the revision that the row must have, or 0 if it must not exist. */
export type RowWrite
	= | {readonly kind: 'put'; readonly key: RowKey; readonly expected: number; readonly body: string}
		| {readonly kind: 'delete'; readonly key: RowKey; readonly expected: number}
		| {readonly kind: 'check'; readonly key: RowKey; readonly expected: number};

/** Reason why a table call failed. Only `unknown` means that a write may have been applied. */
export type StoreFailure
	= | {readonly kind: 'conflict'; readonly keys: readonly RowKey[]}
		| {readonly kind: 'unavailable'; readonly message: string}
		| {readonly kind: 'unknown'; readonly message: string};

/** Transactional table of the platform. */
export abstract class Table implements AsyncDisposable {
	/** Epoch that the latest answer named: 1 for a table that was never restored from an older copy, one more after each restore; undefined if the platform does not say. */
	get epoch(): number | undefined {
		return undefined;
	}

	/** Reads one row with strong consistency; `undefined` if it does not exist. */
	abstract get(key: RowKey): Promise<Either<StoreFailure, Row | undefined>>;

	/** Reads up to `limit` rows of a partition in order of their sort keys, starting after the sort key `after`. */
	abstract query(
		partition: string,
		options?: {readonly after?: string; readonly limit?: number},
	): Promise<Either<StoreFailure, readonly Row[]>>;

	/** Applies all writes atomically. Never retries, because a retry would hide that a response was lost. */
	abstract write(writes: readonly RowWrite[]): Promise<Either<StoreFailure, void>>;

	abstract [Symbol.asyncDispose](): Promise<void>;
}
