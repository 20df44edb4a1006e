import {EitherAsync, type Either} from 'purify-ts';
import type {ObjectFailure, ObjectStore} from '../../platform/object-store.ts';
import type {StoreFailure, Table} from '../../platform/table.ts';
import {
	entryKinds, formatSnapshot, headKey, parseEntry, parseHead, snapshotInterval, toSnapshotName, type ConfigurationDifference,
} from '../../version/configuration.ts';

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
		if (version % snapshotInterval !== 0) {
			return;
		}

		const configuration = await fromPromise(readConfiguration(table));
		// Later changes are in the entries already; the object's version is only a lower bound.
		const text = formatSnapshot({...configuration, version});
		await fromPromise(objects.put(toSnapshotName(version), new TextEncoder().encode(text)));
	}).run();
}
