import {EitherAsync, Right, type Either} from 'purify-ts';
import type {ObjectFailure, ObjectStore} from '../../ports/object-store.ts';
import type {Row, StoreFailure, Table} from '../../ports/table.ts';
import {
	formatVersion, headKey, parseEntry, parseHead, parseSnapshot, versionsPerSnapshot, toSnapshotName, type ConfigurationDifference,
} from '../../version/configuration.ts';
import {readConfiguration} from '../administration/snapshot-writer.ts';

/** Result of a read of the table. */
export type TableRead = {
	/** Newest version of the configuration, from the head row. */
	readonly head: number;
	/** Changes above the requested version; `undefined` when there are none. */
	readonly difference?: ConfigurationDifference;
};

type Failure = StoreFailure | ObjectFailure;

/** Maximum number of changes to read; a daemon that is further behind the head reads the whole configuration instead. */
const maxChangesPerRead = 500;

/** Source of the configuration: the platform's table and snapshot objects. */
export class TableConfigurationSource {
	readonly #table: Table;
	readonly #objects: ObjectStore;

	constructor(table: Table, objects: ObjectStore) {
		this.#table = table;
		this.#objects = objects;
	}

	/** Reads everything above a version: the changes in order, or the whole configuration when there are too many changes or they are no longer kept. */
	async read(since: number): Promise<Either<Failure, TableRead>> {
		return EitherAsync<Failure, TableRead>(async ({fromPromise}) => {
			const row = await fromPromise(this.#table.get(headKey));
			const {version: head} = parseHead(row?.body);
			if (head <= since) {
				return {head};
			}

			const changes = head - since > maxChangesPerRead ? undefined : await fromPromise(this.#readChanges(since));
			return {head, difference: changes ?? await fromPromise(this.#readWholeConfiguration(head))};
		}).run();
	}

	/** Reads the changes after a version; `undefined` when the first of them are no longer kept. */
	async #readChanges(since: number): Promise<Either<Failure, ConfigurationDifference | undefined>> {
		const rows = await this.#table.query('change', {after: formatVersion(since), limit: maxChangesPerRead});
		return rows.map(found => toDifference(found, since));
	}

	async #readWholeConfiguration(head: number): Promise<Either<Failure, ConfigurationDifference>> {
		const newest = head - (head % versionsPerSnapshot);
		for (const version of [newest, newest - versionsPerSnapshot].filter(candidate => candidate > 0)) {
			const object = await this.#objects.get(toSnapshotName(version));
			const body = object.toMaybe().extract()?.body;
			if (body !== undefined) {
				return Right(parseSnapshot(new TextDecoder().decode(body)));
			}
		}

		return readConfiguration(this.#table);
	}
}

function toDifference(rows: readonly Row[], since: number): ConfigurationDifference | undefined {
	const entries = rows.map(row => parseEntry(row.body));
	const isContiguous = entries.length > 0 && entries.every((entry, index) => entry.version === since + index + 1);
	return isContiguous ? {version: since + entries.length, snapshot: false, entries} : undefined;
}
