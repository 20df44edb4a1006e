import type {Either} from 'purify-ts';

/** A row of a watched table. */
export type FeedRow = {
	readonly key: string;
	/** Bytes as written; undefined when the row was removed or its value cannot be decoded. */
	readonly value: Uint8Array | undefined;
	readonly isRemoved: boolean;
};

/** Rows as of one version of the table. */
export type FeedPage = {
	readonly rows: readonly FeedRow[];
	/** Version from which the feed goes on. */
	readonly version: number;
};

/** Why a call to the feed did not succeed; after `history-lost` the table must be read again as a whole. */
export type FeedFailure = {
	readonly kind: 'history-lost' | 'throttled' | 'unavailable';
	readonly message: string;
};

/** Change feed of the platform's tables. */
export abstract class RowFeed implements AsyncDisposable {
	/** Reads the whole table. */
	abstract readTable(table: string): Promise<Either<FeedFailure, FeedPage>>;

	/** Waits for changes after a version, at most `waitMs`; the page is empty when there are none. */
	abstract waitForChanges(table: string, after: number, waitMs: number): Promise<Either<FeedFailure, FeedPage>>;

	abstract [Symbol.asyncDispose](): Promise<void>;
}
