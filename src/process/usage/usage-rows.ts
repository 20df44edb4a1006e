import {Right, type Either} from 'purify-ts';
import {
	Codec, number, record, string,
} from 'purify-ts/Codec';
import type {RowKey, StoreFailure, Table} from '../../ports/table.ts';
import {keptWindows} from './usage-ledger.ts';

/** Counts of a window that never change again. */
export type FixedUsage = {
	readonly window: number;
	readonly counts: ReadonlyMap<string, number>;
	/** All windows up to this one need no further report. */
	readonly settledThrough: number;
};

/** Result of fixing a window; after `lost` the rows must be read again. */
export type FixResult = 'fixed' | 'unavailable' | 'lost';

const rowCodec = Codec.interface({window: number, counts: record(string, number), settledThrough: number});
const partition = 'usage';

/**
Rows with the fixed counts of the latest windows.

The number of rows is bounded: a window replaces the one that is `keptWindows` older. A write is conditional on the revision
that was read, so that two daemons can't fix different counts, and an older window never replaces a later one.
*/
export class UsageRows {
	readonly #table: Table;
	/** Revision and window of each row, by sort key. */
	readonly #rows = new Map<string, {readonly revision: number; readonly window: number}>();

	constructor(table: Table) {
		this.#table = table;
	}

	/** Reads the fixed counts, in the order of their windows. */
	async load(): Promise<Either<StoreFailure, readonly FixedUsage[]>> {
		const rows = await this.#table.query(partition);
		return rows.chain(found => {
			this.#rows.clear();
			const fixed: FixedUsage[] = [];
			for (const {key, revision, body} of found) {
				const decoded = decodeRow(body);
				this.#rows.set(key.sort, {revision, window: decoded?.window ?? Number.NEGATIVE_INFINITY});
				fixed.push(...decoded === undefined ? [] : [decoded]);
			}

			return Right(fixed.toSorted((a, b) => a.window - b.window));
		});
	}

	/** Fixes the counts of a window; a failure with an unknown outcome counts as `lost`. */
	async fix({window, counts, settledThrough}: FixedUsage): Promise<FixResult> {
		const key = toKey(window);
		const row = this.#rows.get(key.sort);
		if (row !== undefined && row.window >= window) {
			return 'lost';
		}

		const expected = row?.revision ?? 0;
		const written = await this.#table.write([{
			kind: 'put', key, expected, body: JSON.stringify({window, counts: Object.fromEntries(counts), settledThrough}),
		}]);
		return written.caseOf<FixResult>({
			Left: ({kind}) => kind === 'unavailable' ? 'unavailable' : 'lost',
			Right: () => {
				this.#rows.set(key.sort, {revision: expected + 1, window});
				return 'fixed';
			},
		});
	}
}

function toKey(window: number): RowKey {
	return {partition, sort: `slot-${window % keptWindows}`};
}

/** Decodes a row; one that cannot be decoded is replaced by the next window of its key. */
function decodeRow(body: string): FixedUsage | undefined {
	try {
		return rowCodec.decode(JSON.parse(body)).map(({counts, ...row}) => ({...row, counts: new Map(Object.entries(counts))})).toMaybe().extract();
	} catch {
		return undefined;
	}
}
