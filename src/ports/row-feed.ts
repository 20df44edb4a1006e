import type {Either} from 'purify-ts';
import type {TablePosition} from '../process/tables/table-position.ts';

/** Row of a watched table. */
export type FeedRow = {
	readonly key: string;
	/** Bytes as written; undefined if the row was removed or its value cannot be decoded. */
	readonly value: Uint8Array | undefined;
	readonly isRemoved: boolean;
};

/** Rows up to one position of the table. */
export type FeedPage = {
	readonly rows: readonly FeedRow[];
	/** Position after which the next call continues. */
	readonly position: TablePosition;
};

/** Reason why a call to the feed failed; after `history-lost` the whole table must be read again. */
export type FeedFailure = {
	/** `unanswered`: no answer came, so that the store or only the connection to it may have failed. */
	readonly kind: 'history-lost' | 'throttled' | 'unavailable' | 'unanswered';
	readonly message: string;
};

/** Change feed of the platform's tables. */
export abstract class RowFeed implements AsyncDisposable {
	/** Reads the whole table. */
	abstract readTable(table: string): Promise<Either<FeedFailure, FeedPage>>;

	/** Waits up to `waitMs` milliseconds for changes after a version; the page is empty if there are none. It ends as unanswered when the signal is aborted. */
	abstract waitForChanges(table: string, after: number, waitMs: number, signal?: AbortSignal): Promise<Either<FeedFailure, FeedPage>>;

	abstract [Symbol.asyncDispose](): Promise<void>;
}
