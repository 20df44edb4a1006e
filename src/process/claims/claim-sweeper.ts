import type {ObjectStore} from '../../ports/object-store.ts';
import type {Row, Table} from '../../ports/table.ts';
import {parseClaimRecord} from '../../request/claim.ts';
import type {Log} from '../log.ts';
import {Task} from '../task.ts';

/** What the sweeper needs from the rest of the daemon. */
export type ClaimSweeperOptions = {
	readonly log: Log;
	readonly table: Table;
	readonly objects: ObjectStore;
	/** True while this daemon is responsible for deleting expired claims. */
	readonly isSweeper: () => boolean;
	/** Wall time in milliseconds. */
	readonly now: () => number;
};

type Message = {readonly kind: 'tick'};

const sweepIntervalMs = 10_000;
const rowsPerSweep = 100;
const rowsPerDelete = 25;

/** Time between the expiry of a claim and the deletion of its row, in milliseconds; no write of the claim is in flight by then. */
const deletionGraceMs = 3_600_000;

/** Deletes expired claims periodically, a bounded number each time. */
export class ClaimSweeper extends Task<Message> {
	readonly #options: ClaimSweeperOptions;
	#cursor: string | undefined;
	#isSweeping = false;

	constructor(options: ClaimSweeperOptions) {
		super(options.log);
		this.#options = options;
	}

	/** Starts the periodic sweeps. */
	run(): void {
		this.start({message: {kind: 'tick'}, intervalMs: sweepIntervalMs});
	}

	/** Reads the next page of rows and deletes the expired ones; starts over after the last page. */
	async sweep(): Promise<void> {
		const {table, now} = this.#options;
		const rows = await table.query('claim', {limit: rowsPerSweep, ...(this.#cursor === undefined ? {} : {after: this.#cursor})});
		const found = rows.orDefault([]);
		this.#cursor = found.length < rowsPerSweep ? undefined : found.at(-1)?.key.sort;
		const expired = found.filter(row => parseClaimRecord(row.body).expiresAt + deletionGraceMs < now());
		for (let start = 0; start < expired.length; start += rowsPerDelete) {
			await this.#delete(expired.slice(start, start + rowsPerDelete));
		}
	}

	protected receive(): void {
		if (this.#options.isSweeper() && !this.#isSweeping) {
			void this.#sweepSafely();
		}
	}

	async #sweepSafely(): Promise<void> {
		this.#isSweeping = true;
		try {
			await this.sweep();
		} catch (error) {
			this.log.error('Deleting expired claims failed.', error);
		}

		this.#isSweeping = false;
	}

	/** Deletes objects before their rows, so that a failure never leaves an object without a row that refers to it. */
	async #delete(rows: readonly Row[]): Promise<void> {
		for (const row of rows) {
			const object = parseClaimRecord(row.body).answer?.object;
			await (object === undefined ? undefined : this.#options.objects.delete(object));
		}

		await this.#options.table.write(rows.map(({key, revision}) => ({kind: 'delete', key, expected: revision})));
	}
}
