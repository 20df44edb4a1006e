import {EitherAsync, Right, type Either} from 'purify-ts';
import type {ObjectFailure, ObjectStore} from '../../ports/object-store.ts';
import type {Row, StoreFailure, Table} from '../../ports/table.ts';
import {
	formatVersion, headKey, parseEntry, parseHead, parseSnapshot, versionsPerSnapshot, toSnapshotName, type ConfigurationDifference,
} from '../../version/configuration.ts';
import {readConfiguration} from '../administration/snapshot-writer.ts';

/** What a read of the table brought. */
export type TableRead = {
	/** Version of the head. */
	readonly head: number;
	/** Difference above the version that was asked for; `undefined` when there is none. */
	readonly difference?: ConfigurationDifference;
};

type Failure = StoreFailure | ObjectFailure;

/** Versions behind the head above which the whole configuration is read in place of its changes. */
const maxChangesPerRead = 500;

/** Platform's table and snapshot objects as a source of the configuration. */
export class TableConfigurationSource {
	readonly #table: Table;
	readonly #objects: ObjectStore;

	constructor(table: Table, objects: ObjectStore) {
		this.#table = table;
		this.#objects = objects;
	}

	/** Reads what is above a version: changes in order, or the whole configuration when too far behind. */
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

	/** Reads the changes after a version; `undefined` when the first ones are no longer kept. */
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
