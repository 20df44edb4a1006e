import {EitherAsync, type Either} from 'purify-ts';
import type {ObjectFailure, ObjectStore} from '../../ports/object-store.ts';
import type {StoreFailure, Table} from '../../ports/table.ts';
import {
	entryKinds, formatSnapshot, headKey, parseEntry, parseHead, versionsPerSnapshot, toSnapshotName, type ConfigurationDifference,
} from '../../version/configuration.ts';

/** Number of change rows that are kept below the newest snapshot. */
const retainedChanges = 1000;

/** Number of changes that one transaction deletes; each change has two rows, and a transaction may write at most 100. */
const trimBatchSize = 50;

/**
Reads the whole configuration from the table.

The head is read before the entries, so that every change up to the version of the head is included. Entries may be newer.
*/
export async function readConfiguration(table: Table): Promise<Either<StoreFailure, ConfigurationDifference>> {
	return EitherAsync<StoreFailure, ConfigurationDifference>(async ({fromPromise}) => {
		const head = await fromPromise(table.get(headKey));
		const entries = [];
		for (const kind of entryKinds) {
			const rows = await fromPromise(table.query(kind, {limit: Number.POSITIVE_INFINITY}));
			entries.push(...rows.map(row => parseEntry(row.body)));
		}

		return {version: parseHead(head?.body).version, snapshot: true, entries};
	}).run();
}

/** Writes a snapshot object of the configuration when a version completes a snapshot interval. Its name contains the version, so that a repeated write is idempotent. */
export async function writeSnapshot(
	table: Table,
	objects: ObjectStore,
	version: number,
): Promise<Either<StoreFailure | ObjectFailure, void>> {
	return EitherAsync<StoreFailure | ObjectFailure, void>(async ({fromPromise}) => {
		if (version % versionsPerSnapshot !== 0) {
			return;
		}

		const configuration = await fromPromise(readConfiguration(table));
		// The entries may include later changes; the version of the snapshot is only a lower bound.
		const text = formatSnapshot({...configuration, version});
		await fromPromise(objects.put(toSnapshotName(version), new TextEncoder().encode(text)));
		await fromPromise(trimChanges(table, version));
	}).run();
}

/** Deletes change rows and their change-id rows that are far below a snapshot. */
async function trimChanges(table: Table, version: number): Promise<Either<StoreFailure, void>> {
	return EitherAsync<StoreFailure, void>(async ({fromPromise}) => {
		const rows = await fromPromise(table.query('change', {limit: 2 * versionsPerSnapshot}));
		const expired = rows.filter(row => parseEntry(row.body).version <= version - retainedChanges);
		for (let start = 0; start < expired.length; start += trimBatchSize) {
			await fromPromise(table.write(expired.slice(start, start + trimBatchSize).flatMap(row => [
				{kind: 'delete', key: row.key, expected: row.revision},
				{kind: 'delete', key: {partition: 'change-id', sort: parseChangeId(row.body)}, expected: 1},
			])));
		}
	}).run();
}

function parseChangeId(body: string): string {
	return (JSON.parse(body) as {readonly changeId: string}).changeId;
}
