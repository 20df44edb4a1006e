import {z} from 'zod';
import type {Row, RowKey, Table} from '../../ports/table.ts';
import type {Log} from '../log.ts';
import {Task} from '../task.ts';
import type {CrashNews} from './crash-attribution.ts';

/** What the task needs from the rest of the daemon. */
export type CrashRowTaskOptions = {
	readonly log: Log;
	readonly table: Table;
	/** Receives the requests that other daemons have condemned. */
	readonly applyNews: (news: CrashNews) => void;
	/** Called every second. */
	readonly tick: () => void;
	/** True while this daemon is responsible for deleting expired rows. */
	readonly isSweeper: () => boolean;
	/** Wall time in milliseconds. */
	readonly now: () => number;
};

type Message
	= | {readonly kind: 'tick'}
		| {readonly kind: 'read'; readonly rows: readonly Row[]}
		| {readonly kind: 'failed'; readonly message: string}
		| {readonly kind: 'news'; readonly news: CrashNews};

/** A row to be written; the row is deleted if `refusedUntil` is 0. */
type PendingRow = z.infer<typeof rowSchema>;

const tickIntervalMs = 1000;
const ticksPerRead = 30;
const maxRowsPerRead = 1000;
const condemnationReason = 'in flight in at least two crashes of upstreams';
const rowSchema = z.object({
	/** Fingerprint of a request, or a name made of the condemned parts; also the sort key. */
	fingerprint: z.string(),
	/** Wall time in milliseconds. */
	refusedUntil: z.number(),
	/** Condemned parts and the wall time of their first crash in milliseconds; absent in the row of a request. */
	parts: z.object({keys: z.array(z.string()), firstCrashAt: z.number()}).optional(),
});
const partsPrefix = 'parts ';

/** Stores condemned requests and prompt parts in the platform's table, so that daemons that start later or miss the news refuse them too. */
export class CrashRowTask extends Task<Message> {
	readonly #options: CrashRowTaskOptions;
	readonly #pending = new Map<string, PendingRow>();
	/** Condemned parts that have a row, by its sort key. */
	readonly #partRows = new Map<string, readonly string[]>();
	#ticks = 0;
	#isWriting = false;

	constructor(options: CrashRowTaskOptions) {
		super(options.log);
		this.#options = options;
	}

	/** Starts the periodic reads and writes; the first read is sent immediately. */
	run(): void {
		this.start({message: {kind: 'tick'}, intervalMs: tickIntervalMs});
	}

	/** Queues the row change that follows from this daemon's own conclusion. */
	record(news: CrashNews): void {
		this.post({kind: 'news', news});
	}

	protected receive(message: Message): void {
		switch (message.kind) {
			case 'tick': {
				this.#tick();
				return;
			}

			case 'read': {
				this.#applyRows(message.rows);
				return;
			}

			case 'failed': {
				this.log.warn('Reading or writing condemned requests failed; retrying.', {message: message.message});
				return;
			}

			case 'news': {
				this.#queueWrite(message.news);
			}
		}
	}

	#tick(): void {
		this.#options.tick();
		if (this.#ticks % ticksPerRead === 0) {
			void this.#read();
		}

		this.#ticks += 1;
		void this.#writePending();
	}

	#queueWrite(news: CrashNews): void {
		switch (news.kind) {
			case 'condemned': {
				const {fingerprint, refusedForMs} = news;
				this.#queueRow({fingerprint, refusedUntil: this.#options.now() + refusedForMs});
				break;
			}

			case 'partsCondemned': {
				const {promptParts, refusedForMs, firstCrashAgeMs} = news;
				const now = this.#options.now();
				const fingerprint = nameParts(promptParts);
				this.#partRows.set(fingerprint, promptParts);
				this.#queueRow({fingerprint, refusedUntil: now + refusedForMs, parts: {keys: [...promptParts], firstCrashAt: now - firstCrashAgeMs}});
				break;
			}

			case 'cleared': {
				this.#queueDeletion(news.fingerprint);
				break;
			}

			case 'partsCleared': {
				const cleared = [...this.#partRows].filter(([, promptParts]) => promptParts.some(part => news.promptParts.includes(part)));
				for (const [fingerprint] of cleared) {
					this.#queueDeletion(fingerprint);
				}

				break;
			}

			case 'suspected': {
				break;
			}
		}
	}

	#queueRow(row: PendingRow): void {
		this.#pending.set(row.fingerprint, row);
	}

	#queueDeletion(fingerprint: string): void {
		this.#partRows.delete(fingerprint);
		this.#queueRow({fingerprint, refusedUntil: 0});
	}

	#applyRows(rows: readonly Row[]): void {
		const now = this.#options.now();
		for (const row of rows) {
			const {fingerprint, refusedUntil, parts} = rowSchema.parse(JSON.parse(row.body));
			if (refusedUntil > now && this.#pending.get(fingerprint)?.refusedUntil !== 0) {
				if (parts !== undefined) {
					this.#partRows.set(fingerprint, parts.keys);
				}

				this.#options.applyNews(parts === undefined
					? {kind: 'condemned', fingerprint, refusedForMs: refusedUntil - now}
					: {
						kind: 'partsCondemned', promptParts: parts.keys, refusedForMs: refusedUntil - now, firstCrashAgeMs: now - parts.firstCrashAt,
					});
			} else if (refusedUntil <= now && this.#options.isSweeper()) {
				this.#queueDeletion(fingerprint);
			}
		}
	}

	async #read(): Promise<void> {
		const rows = await this.#options.table.query('crash', {limit: maxRowsPerRead});
		rows.caseOf({
			Left: failure => {
				this.post({kind: 'failed', message: failure.kind});
			},
			Right: found => {
				this.post({kind: 'read', rows: found});
			},
		});
	}

	/** Writes the pending rows; rows that cannot be written stay pending until the next tick. */
	async #writePending(): Promise<void> {
		if (this.#isWriting) {
			return;
		}

		this.#isWriting = true;
		try {
			for (const row of this.#pending.values()) {
				if (await this.#write(row) && this.#pending.get(row.fingerprint) === row) {
					this.#pending.delete(row.fingerprint);
				}
			}
		} catch (error) {
			this.post({kind: 'failed', message: String(error)});
		}

		this.#isWriting = false;
	}

	async #write({fingerprint, refusedUntil, parts}: PendingRow): Promise<boolean> {
		const {table} = this.#options;
		const key: RowKey = {partition: 'crash', sort: fingerprint};
		const read = await table.get(key);
		if (read.isLeft()) {
			return false;
		}

		const expected = read.toMaybe().extract()?.revision ?? 0;
		if (refusedUntil === 0 && expected === 0) {
			return true;
		}

		const body = JSON.stringify({
			fingerprint, refusedUntil, parts, reason: condemnationReason,
		});
		const written = await table.write([refusedUntil === 0
			? {kind: 'delete', key, expected}
			: {
				kind: 'put', key, expected, body,
			}]);
		return written.isRight();
	}
}

function nameParts(promptParts: readonly string[]): string {
	return `${partsPrefix}${promptParts.join(' ')}`;
}
