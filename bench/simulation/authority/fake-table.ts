import {Left, Right, type Either} from 'purify-ts';
import {
	Table, type Row, type RowKey, type RowWrite, type StoreFailure,
} from '../../../src/ports/table.ts';
import {leaseKey, parseLeaseRow} from '../../../src/process/lease/lease-row.ts';
import type {Intent} from '../../../src/process/orders/intent-row.ts';
import {MemoryTable} from '../../../src/stand-ins/platform/memory-table.ts';
import type {Actor, Simulator} from './simulator.ts';

/** Faults of the table, switched on and off during a run. */
export type TableFaults = {
	/** Fails every call, half of them without an answer. */
	isDown: boolean;
	/** Applies writes but loses half of their answers. */
	losesAnswers: boolean;
	/** Reports half of the writes as unknown after a timeout and applies them up to 5 s late, possibly after the timeout. */
	appliesWritesLate: boolean;
};

/** Writes recorded for the invariant checks. */
export type WriteLog = {
	/** Times at which the load reservation was written, in simulated milliseconds. */
	readonly reservationTimes: number[];
	/** Number of pending orders that were recorded although the lease had already been granted again with a higher fencing number. */
	staleRecords: number;
};

/** Rows and state of the platform's table, which all processes share. */
export type SharedTable = {
	readonly rows: MemoryTable;
	readonly faults: TableFaults;
	readonly log: WriteLog;
	/** Drops the lease check from each transaction; only mutation checks set it. */
	readonly dropsLeaseChecks: boolean;
};

const callTimeoutMs = 2000;
const maxWriteDelayMs = 5000;

/** Table port of one process in simulated time, with network delays and faults. */
export class FakeTable extends Table {
	/** True while this process can't reach the table. */
	isPartitioned = false;
	readonly #simulator: Simulator;
	readonly #actor: Actor;
	readonly #shared: SharedTable;

	constructor(simulator: Simulator, actor: Actor, shared: SharedTable) {
		super();
		this.#simulator = simulator;
		this.#actor = actor;
		this.#shared = shared;
	}

	async get(key: RowKey): Promise<Either<StoreFailure, Row | undefined>> {
		return this.#call(async () => this.#shared.rows.get(key), false);
	}

	async query(
		partition: string,
		options: {readonly after?: string; readonly limit?: number} = {},
	): Promise<Either<StoreFailure, readonly Row[]>> {
		return this.#call(async () => this.#shared.rows.query(partition, options), false);
	}

	async write(writes: readonly RowWrite[]): Promise<Either<StoreFailure, void>> {
		const {rows, dropsLeaseChecks} = this.#shared;
		const kept = dropsLeaseChecks ? writes.filter(({kind, key}) => kind !== 'check' || key.partition !== 'lease') : writes;
		return this.#call(async () => {
			const result = await rows.write(kept);
			if (result.isRight()) {
				await this.#record(kept);
			}

			return result;
		}, true);
	}

	async [Symbol.asyncDispose](): Promise<void> {
		// The rows are shared with the other processes.
	}

	async #record(writes: readonly RowWrite[]): Promise<void> {
		const {log, rows} = this.#shared;
		for (const write of writes) {
			if (write.key.partition === 'reservation') {
				log.reservationTimes.push(this.#simulator.now);
			}

			if (write.key.partition === 'intent' && write.kind === 'put') {
				const {group, fencing, phase} = JSON.parse(write.body) as Intent;
				const lease = await rows.get(leaseKey(group));
				const current = lease.orDefault(undefined);
				const isStale = current !== undefined && parseLeaseRow(current).body.fencing > fencing;
				log.staleRecords += isStale && phase === 'pending' ? 1 : 0;
			}
		}
	}

	async #call<Value>(apply: () => Promise<Either<StoreFailure, Value>>, isWrite: boolean): Promise<Either<StoreFailure, Value>> {
		const {promise, resolve} = Promise.withResolvers<Either<StoreFailure, Value>>();
		const {faults} = this.#shared;
		const {random} = this.#simulator;
		const answer = (delayMs: number, result: Either<StoreFailure, Value> | Promise<Either<StoreFailure, Value>>) => {
			this.#actor.after(delayMs, () => {
				resolve(result);
			});
		};

		const networkDelayMs = 1 + random.integer(10);
		if (faults.isDown || this.isPartitioned) {
			const isSilent = random.integer(2) === 0;
			answer(isSilent ? callTimeoutMs : networkDelayMs, Left({kind: isSilent ? 'unknown' : 'unavailable', message: 'table is unavailable'}));
		} else if (isWrite && faults.appliesWritesLate && random.integer(2) === 0) {
			this.#simulator.after(networkDelayMs + random.integer(maxWriteDelayMs), () => {
				void apply();
			});
			answer(callTimeoutMs, Left({kind: 'unknown', message: 'request timed out; the write is applied late'}));
		} else {
			const isLost = isWrite && faults.losesAnswers && random.integer(2) === 0;
			this.#simulator.after(networkDelayMs, () => {
				const result = apply();
				answer(isLost ? callTimeoutMs : networkDelayMs, isLost ? Left({kind: 'unknown', message: 'answer was lost'}) : result);
			});
		}

		return promise;
	}
}

/** Creates an empty table without faults. */
export function createSharedTable(dropsLeaseChecks: boolean): SharedTable {
	return {
		rows: new MemoryTable(), faults: {isDown: false, losesAnswers: false, appliesWritesLate: false}, log: {reservationTimes: [], staleRecords: 0}, dropsLeaseChecks,
	};
}

/** Reads a partition directly, without faults; reading the shared rows never fails. */
export async function readRows(shared: SharedTable, partition: string): Promise<readonly Row[]> {
	const rows = await shared.rows.query(partition);
	return rows.caseOf<Either<never, readonly Row[]>>({Left: () => Right([]), Right: list => Right(list)}).extract();
}
