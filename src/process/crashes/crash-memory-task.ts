import type {Row, RowKey, Table} from '../../ports/table.ts';
import type {Clock} from '../clock.ts';
import type {Log} from '../log.ts';
import {Task} from '../task.ts';
import {
	decodeCrashMemory, emptyCrashMemory, encodeCrashMemory, isEmpty, isOutdated,
} from './crash-memory.ts';
import type {CrashMonitor} from './crash-monitor.ts';

/** What the task needs from the rest of the daemon. */
export type CrashMemoryTaskOptions = {
	readonly log: Log;
	readonly table: Table;
	readonly clock: Clock;
	readonly monitor: Pick<CrashMonitor, 'memoryRevision' | 'remember' | 'recall' | 'tick'>;
	/** Number of live daemons that write before this one. */
	readonly rank: () => number;
	/** Interval at which the row is read again, in milliseconds; infinite where daemons repeat the news to each other. */
	readonly readIntervalMs: number;
	/** Wall time in milliseconds. */
	readonly now: () => number;
};

type Message = {readonly kind: 'tick' | 'restored'} | {readonly kind: 'ended'; readonly result: SyncResult};

/** Result of reading the row and replacing it if it was outdated; `conflict`: another daemon has written it in between. */
type SyncResult = 'current' | 'written' | 'conflict' | 'failed';

const key: RowKey = {partition: 'crashes', sort: 'memory'};
const tickIntervalMs = 100;
/** Daemons that write; the later ones only find something to write if the first one could not. */
const writers = 3;
/** Time by which each writer waits longer than the one before it, in milliseconds. */
const writerDelayMs = 300;
/** Least time between two writes, in milliseconds: daemons report their parts of a crash within a few hundred. */
const writeIntervalMs = 500;
const retryIntervalMs = 1000;
/** Interval at which a stored memory is compared with what is known although nothing has changed, in milliseconds; old crashes are forgotten. */
const removalCheckIntervalMs = 5000;

/**
Keeps what the daemons know of crashes in one row of the platform's table, so that it outlives all of them.

Every daemon reads the row when it starts. The first daemons by rank add what they know, which includes the news of all others, and
remove what has been cleared; without anything left, the row is deleted.
*/
export class CrashMemoryTask extends Task<Message> {
	readonly #options: CrashMemoryTaskOptions;
	#stored = emptyCrashMemory;
	#storedAt = Number.NEGATIVE_INFINITY;
	#readAt = Number.NEGATIVE_INFINITY;
	#checkedRevision = -1;
	#checkedAt = Number.NEGATIVE_INFINITY;
	/** Time of the next attempt to store a change; infinite if there is none. */
	#dueAt = Number.POSITIVE_INFINITY;
	/** Time before which the table is not called again. */
	#restsUntil = Number.NEGATIVE_INFINITY;
	#isSyncing = false;
	#hasFailed = false;

	constructor(options: CrashMemoryTaskOptions) {
		super(options.log);
		this.#options = options;
	}

	/** Starts the periodic checks; the row is read immediately. */
	run(): void {
		this.start({message: {kind: 'tick'}, intervalMs: tickIntervalMs});
	}

	/** Stores what is known again, because the table was restored from a copy that may lack it. */
	storeRestored(): void {
		this.post({kind: 'restored'});
	}

	protected receive(message: Message): void {
		const now = this.#options.clock.now();
		switch (message.kind) {
			case 'tick': {
				this.#options.monitor.tick();
				this.#tick(now);
				return;
			}

			case 'restored': {
				this.#scheduleComparison(now);
				return;
			}

			case 'ended': {
				this.#finish(message.result, now);
			}
		}
	}

	/** Compares the row with what is known, in the order of the writers. */
	#scheduleComparison(now: number): void {
		const rank = this.#options.rank();
		if (rank < writers && !isEmpty(this.#options.monitor.remember())) {
			this.#dueAt = Math.min(this.#dueAt, now + (rank * writerDelayMs));
		}
	}

	#tick(now: number): void {
		if (this.#isSyncing || now < this.#restsUntil) {
			return;
		}

		const rank = this.#options.rank();
		if (rank < writers) {
			this.#check(rank, now);
		}

		const isReadDue = now - this.#readAt >= this.#options.readIntervalMs || this.#readAt === Number.NEGATIVE_INFINITY;
		if (isReadDue || now >= this.#dueAt) {
			this.#isSyncing = true;
			void this.#sync(rank < writers);
		}
	}

	/** Decides whether what is known has to be stored. */
	#check(rank: number, now: number): void {
		const {monitor} = this.#options;
		const isRemovalDue = this.#stored.crashes.length > 0 && now - this.#checkedAt >= removalCheckIntervalMs;
		if (monitor.memoryRevision === this.#checkedRevision && !isRemovalDue) {
			return;
		}

		this.#checkedAt = now;
		if (isOutdated(this.#stored, monitor.remember(), now - this.#storedAt)) {
			this.#dueAt = Math.min(this.#dueAt, now + (rank * writerDelayMs));
		}

		this.#checkedRevision = monitor.memoryRevision;
	}

	#finish(result: SyncResult, now: number): void {
		this.#isSyncing = false;
		this.#restsUntil = now + (result === 'failed' ? retryIntervalMs : (result === 'written' ? writeIntervalMs : 0));
		if (result === 'failed' && !this.#hasFailed) {
			this.log.warn('What is known of crashes could not be read or stored; retrying.');
		}

		this.#hasFailed = result === 'failed';
		if (result === 'current' || result === 'written') {
			this.#dueAt = Number.POSITIVE_INFINITY;
		}
	}

	async #sync(isWriter: boolean): Promise<void> {
		try {
			const read = await this.#options.table.get(key);
			const result = await read.caseOf({
				Left: async () => 'failed' as const,
				Right: async row => this.#merge(row, isWriter),
			});
			this.post({kind: 'ended', result});
		} catch (error) {
			this.log.warn('What is known of crashes could not be merged.', {cause: String(error)});
			this.post({kind: 'ended', result: 'failed'});
		}
	}

	/** Adds the row to what is known, and replaces it if it is outdated. */
	async #merge(row: Row | undefined, isWriter: boolean): Promise<SyncResult> {
		const {clock, monitor, now} = this.#options;
		const stored = row === undefined ? emptyCrashMemory : decodeCrashMemory(row.body, now()) ?? emptyCrashMemory;
		if (this.#readAt === Number.NEGATIVE_INFINITY && stored !== emptyCrashMemory) {
			this.log.info('What is known of crashes was read from the table.', {crashes: stored.crashes.length, condemned: stored.condemned.length, parts: stored.parts.length});
		}

		monitor.recall(stored);
		this.#readAt = clock.now();
		const current = monitor.remember();
		this.#checkedRevision = monitor.memoryRevision;
		const isExpired = row !== undefined && isEmpty(current);
		if (!isWriter || (!isExpired && !isOutdated(stored, current, clock.now() - this.#storedAt))) {
			this.#stored = stored;
			return 'current';
		}

		const expected = row?.revision ?? 0;
		const written = await this.#options.table.write([isExpired
			? {kind: 'delete', key, expected}
			: {
				kind: 'put', key, expected, body: encodeCrashMemory(current, now()),
			}]);
		return written.caseOf({
			Left: ({kind}): SyncResult => kind === 'conflict' ? 'conflict' : 'failed',
			Right: (): SyncResult => {
				this.#stored = current;
				this.#storedAt = clock.now();
				return 'written';
			},
		});
	}
}
