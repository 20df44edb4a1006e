import {EitherAsync, type Either} from 'purify-ts';
import type {ObjectFailure, ObjectStore} from '../../ports/object-store.ts';
import type {StoreFailure, Table} from '../../ports/table.ts';
import {
	entryKinds, formatSnapshot, headKey, parseEntry, parseHead, versionsPerSnapshot, toSnapshotName, type ConfigurationDifference,
} from '../../version/configuration.ts';

/** Change rows that are kept below the newest snapshot. */
const retainedChanges = 1000;

/** Changes in one deleting transaction; each takes two rows of at most 100. */
const trimBatchSize = 50;

/**
Reads the whole configuration from the table.

The head is read before the entries, so that every change up to its version is included; an entry may be newer.
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

/** Writes the snapshot object of the configuration when a version completes an interval; the name makes it idempotent. */
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
		// Later changes are in the entries already; the object's version is only a lower bound.
		const text = formatSnapshot({...configuration, version});
		await fromPromise(objects.put(toSnapshotName(version), new TextEncoder().encode(text)));
		await fromPromise(trimChanges(table, version));
	}).run();
}

/** Deletes change rows, and the ids of their changes, that are well below a snapshot. */
async function trimChanges(table: Table, version: number): Promise<Either<StoreFailure, void>> {
	return EitherAsync<StoreFailure, void>(async ({fromPromise}) => {
		const rows = await fromPromise(table.query('change', {limit: 2 * versionsPerSnapshot}));
		const old = rows.filter(row => parseEntry(row.body).version <= version - retainedChanges);
		for (let start = 0; start < old.length; start += trimBatchSize) {
			await fromPromise(table.write(old.slice(start, start + trimBatchSize).flatMap(row => [
				{kind: 'delete', key: row.key, expected: row.revision},
				{kind: 'delete', key: {partition: 'change-id', sort: parseChangeId(row.body)}, expected: 1},
			])));
		}
	}).run();
}

function parseChangeId(body: string): string {
	return (JSON.parse(body) as {readonly changeId: string}).changeId;
}
