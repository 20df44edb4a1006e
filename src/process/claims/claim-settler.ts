import {setTimeout as delay} from 'node:timers/promises';
import type {ObjectStore} from '../../ports/object-store.ts';
import type {RowKey, Table} from '../../ports/table.ts';
import {parseClaimRecord, type ClaimRecord} from '../../request/claim.ts';
import type {Log} from '../log.ts';
import type {WriteBatcher} from './write-batcher.ts';

/** The final state of a claim that this daemon holds, to be written over the claim's row. */
export type Settlement = {
	readonly key: RowKey;
	readonly record: ClaimRecord;
	/** Last known revision of the row. */
	readonly revision: number;
	/** Answer body that is stored as the object named in the record, before the row is written. */
	readonly objectBody?: Uint8Array;
};

/** What the settler needs from the rest of the daemon. */
export type ClaimSettlerOptions = {
	readonly log: Log;
	readonly table: Table;
	readonly objects: ObjectStore;
	readonly batcher: WriteBatcher;
	readonly wait?: (milliseconds: number) => Promise<unknown>;
	/** Time limit for the retries on shutdown, in milliseconds. @default 10000 */
	readonly shutdownTimeoutMs?: number;
};

type SettlementAttempt = {readonly kind: 'settled'} | {readonly kind: 'open'; readonly settlement: Settlement};

const retryIntervalMs = 1000;

/** Maximum number of settlements that are written in one round, so that the end of an outage causes no burst of writes. */
const settlementsPerRound = 100;
const defaultShutdownTimeoutMs = 10_000;
const maxPendingBytes = 32 * 1024 * 1024;

/** Writes the final states of claims; retries in the background while the store is unavailable. */
export class ClaimSettler implements AsyncDisposable {
	readonly #options: ClaimSettlerOptions;
	readonly #wait: (milliseconds: number) => Promise<unknown>;
	readonly #pending = new Set<Settlement>();
	#pendingBytes = 0;
	#isRetrying = false;
	#isStopped = false;

	constructor(options: ClaimSettlerOptions) {
		this.#options = options;
		this.#wait = options.wait ?? (async milliseconds => delay(milliseconds, undefined, {ref: false}));
	}

	/** Number of claims whose final state is not written yet. */
	get pendingCount(): number {
		return this.#pending.size;
	}

	/** Tries to write a settlement once; if that fails, it is read back and retried in the background. */
	async settle(settlement: Settlement): Promise<void> {
		if (!await this.#write(settlement)) {
			this.defer(settlement);
		}
	}

	/** Writes a settlement in the background. */
	defer(settlement: Settlement): void {
		this.#addPending(this.#omitAnswerAboveLimit(settlement));
		void this.#retryInBackground();
	}

	/** Tries to write the oldest pending settlements, each once. */
	async retryOnce(): Promise<void> {
		await Promise.all([...this.#pending].slice(0, settlementsPerRound).map(async settlement => {
			const attempt = await this.#attempt(settlement);
			this.#removePending(settlement);
			if (attempt.kind === 'open') {
				this.#addPending(attempt.settlement);
			}
		}));
	}

	/** Retries until no settlement is pending or the time limit is reached. */
	async [Symbol.asyncDispose](): Promise<void> {
		this.#isStopped = true;
		const rounds = Math.ceil((this.#options.shutdownTimeoutMs ?? defaultShutdownTimeoutMs) / retryIntervalMs);
		for (let round = 0; round < rounds && this.#pending.size > 0; round += 1) {
			await this.retryOnce();
			await (this.#pending.size > 0 ? this.#wait(retryIntervalMs) : undefined);
		}

		if (this.#pending.size > 0) {
			this.#options.log.warn('Claims are left unsettled at shutdown.', {claims: this.#pending.size});
		}
	}

	async #retryInBackground(): Promise<void> {
		if (this.#isRetrying) {
			return;
		}

		this.#isRetrying = true;
		while (this.#pending.size > 0 && !this.#isStopped) {
			await this.#wait(retryIntervalMs);
			await (this.#isStopped ? undefined : this.retryOnce());
		}

		this.#isRetrying = false;
	}

	async #attempt(settlement: Settlement): Promise<SettlementAttempt> {
		return await this.#write(settlement) ? {kind: 'settled'} : this.#readBack(settlement);
	}

	async #write(settlement: Settlement): Promise<boolean> {
		const {key, record, revision} = settlement;
		if (!await this.#storeObject(settlement)) {
			return false;
		}

		const outcome = await this.#options.batcher.submit({
			kind: 'put', key, expected: revision, body: JSON.stringify(record),
		});
		return outcome === 'written';
	}

	async #storeObject({record, objectBody}: Settlement): Promise<boolean> {
		const object = record.answer?.object;
		if (object === undefined || objectBody === undefined) {
			return true;
		}

		const stored = await this.#options.objects.put(object, objectBody);
		return stored.isRight();
	}

	/** Reads the row back after a failed write: it is settled if it holds the record or another claim. */
	async #readBack(settlement: Settlement): Promise<SettlementAttempt> {
		const read = await this.#options.table.get(settlement.key);
		return read.caseOf<SettlementAttempt>({
			Left: () => ({kind: 'open', settlement}),
			Right(row) {
				const current = row === undefined ? undefined : parseClaimRecord(row.body);
				if (row === undefined || current === undefined) {
					return settlement.revision === 0 ? {kind: 'open', settlement} : {kind: 'settled'};
				}

				const {record, revision} = settlement;
				if (current.token === record.token) {
					return current.phase === record.phase
						? {kind: 'settled'}
						: {kind: 'open', settlement: {...settlement, revision: row.revision}};
				}

				// Every write of this claim that is still in flight conflicts with a row that has a newer revision.
				return row.revision > revision ? {kind: 'settled'} : {kind: 'open', settlement};
			},
		});
	}

	/** Omits the answer if it would exceed the memory limit; the claim's outcome is then recorded as unknown. */
	#omitAnswerAboveLimit(settlement: Settlement): Settlement {
		if (this.#pendingBytes + sizeOf(settlement) <= maxPendingBytes) {
			return settlement;
		}

		const {answer: _, ...record} = settlement.record;
		return {key: settlement.key, revision: settlement.revision, record: {...record, phase: record.phase === 'done' ? 'unknown' : record.phase}};
	}

	#addPending(settlement: Settlement): void {
		this.#pending.add(settlement);
		this.#pendingBytes += sizeOf(settlement);
	}

	#removePending(settlement: Settlement): void {
		if (this.#pending.delete(settlement)) {
			this.#pendingBytes -= sizeOf(settlement);
		}
	}
}

function sizeOf({record, objectBody}: Settlement): number {
	return (record.answer?.body?.length ?? 0) + (objectBody?.length ?? 0);
}
