import {Left, Right, type Either} from 'purify-ts';
import {
	Table, type Row, type RowKey, type RowWrite, type StoreFailure,
} from '../../ports/table.ts';

const maxTransactionRows = 100;

/** In-memory table with the semantics of the platform's table. */
export class MemoryTable extends Table {
	readonly #partitions = new Map<string, Map<string, Row>>();

	async get(key: RowKey): Promise<Either<StoreFailure, Row | undefined>> {
		return Right(this.#read(key));
	}

	async query(
		partition: string,
		options: {readonly after?: string; readonly limit?: number} = {},
	): Promise<Either<StoreFailure, readonly Row[]>> {
		const rows = [...(this.#partitions.get(partition)?.values() ?? [])];
		const {after, limit} = options;
		const sorted = rows
			.filter(row => after === undefined || row.key.sort > after)
			.toSorted((a, b) => (a.key.sort < b.key.sort ? -1 : 1));
		return Right(sorted.slice(0, limit));
	}

	async write(writes: readonly RowWrite[]): Promise<Either<StoreFailure, void>> {
		const names = new Set(writes.map(write => JSON.stringify([write.key.partition, write.key.sort])));
		if (writes.length === 0 || writes.length > maxTransactionRows || names.size < writes.length) {
			return Left({kind: 'unavailable', message: 'a transaction has 1 to 100 rows, each of them once'});
		}

		const conflicts = writes.filter(write => (this.#read(write.key)?.revision ?? 0) !== write.expected);
		if (conflicts.length > 0) {
			return Left({kind: 'conflict', keys: conflicts.map(write => write.key)});
		}

		for (const write of writes) {
			this.#apply(write);
		}

		return Right(undefined);
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#partitions.clear();
	}

	#read(key: RowKey): Row | undefined {
		return this.#partitions.get(key.partition)?.get(key.sort);
	}

	#apply(write: RowWrite): void {
		const {key} = write;
		if (write.kind === 'put') {
			const rows = this.#partitions.get(key.partition) ?? new Map<string, Row>();
			this.#partitions.set(key.partition, rows);
			rows.set(key.sort, {key, revision: write.expected + 1, body: write.body});
		} else if (write.kind === 'delete') {
			this.#partitions.get(key.partition)?.delete(key.sort);
		}
	}
}
