import type {Either} from 'purify-ts';
import type {SharedRows} from '../../connection/row-exchange.ts';
import type {
	FeedFailure, FeedPage, FeedRow, RowFeed,
} from '../../ports/row-feed.ts';
import type {Clock} from '../clock.ts';
import type {DecisionLog} from '../fleet/decision-log.ts';
import type {Random} from '../random.ts';
import {backoffMs} from './read-backoff.ts';
import {TableCopy, type RowContent} from './table-copy.ts';
import {comparePositions, isOfLaterEpoch, type TablePosition} from './table-position.ts';
import {TableSharing, type TableAnnouncement} from './table-sharing.ts';
import type {CallTimes, WatchTimes} from './watch-times.ts';

/** Receives the rows of a table; its methods must be synchronous. */
export type WatchListener = {
	/** Receives the whole table, at the start and after the feed has lost its history. */
	readonly onSnapshot: (rows: readonly FeedRow[]) => void;
	readonly onChanges: (rows: readonly FeedRow[]) => void;
	/** Called on the first of consecutive failures to read the store. */
	readonly onLost: () => void;
	/** Called when the store responds again, before the rows of that response are delivered; `recoveredMs`: time since then, in milliseconds. */
	readonly onRecovered: (recoveredMs: number) => void;
	/** Called when the store was restored from an older copy, before the rows of the restored table are delivered. */
	readonly onRestored: () => void;
};

/** Access to the copies of the other daemons. */
export type TablePeers = {
	/** True while this daemon is one of those that read the store for the others. */
	readonly isReader: () => boolean;
	/** True while each reader has many followers. */
	readonly areFollowersMany: () => boolean;
	/** Fetches the rows that changed after a position from another daemon; a failure is a short message. */
	readonly fetchRows: (daemon: string, table: string, after: TablePosition | undefined) => Promise<Either<string, SharedRows>>;
	/** Called when this daemon has read a change that the other daemons may lack. */
	readonly onChangeRead: () => void;
};

/** Dependencies of a watch. */
export type TableWatchOptions = {
	readonly feed: RowFeed;
	readonly table: string;
	readonly times: WatchTimes;
	readonly listener: WatchListener;
	readonly contentOf: RowContent;
	readonly peers: TablePeers;
	/** Clock that includes suspensions, by which the age of confirmations is measured. */
	readonly clock: Clock;
	readonly log: DecisionLog;
	readonly random: Random;
	/** Called with a row that made the listener or `contentOf` throw; the row is dropped. */
	readonly onRowFailed: (key: string, error: unknown) => void;
};

/** Spread of the first own read of daemons that have lost their readers at the same time, in milliseconds. */
const takeoverSpreadMs = 300;
/** Shortest wait of a call, as a fraction of the longest. */
const minWaitFraction = 0.7;
/** Spread of the reads of all daemons that see a restore of the store at the same time, in milliseconds. */
const restoreSpreadMs = 200;
/** Time from the end of the longest wait of a call to its answer while the store works, in milliseconds. */
const maxAnswerMs = 1500;
/** Least time between two reads of the whole table for which the store gives a reason, in milliseconds. */
const wholeReadIntervalMs = 500;
const never = Number.NEGATIVE_INFINITY;

/** Keeps a copy of one table of the platform: reads its change feed, or follows the daemons that do. */
export class TableWatch implements AsyncDisposable {
	readonly #options: TableWatchOptions;
	readonly #copy: TableCopy;
	readonly #sharing: TableSharing;
	#times: WatchTimes;
	readonly #stop = new AbortController();
	/** True when the next page must be the whole table. */
	#needsWhole = true;
	/** Time of the last attempt to read the whole table. */
	#wholeReadAt = never;
	/** Latest epoch that an answer of the store has shown, if the copy is of an earlier one. */
	#awaitedEpoch: number | undefined;
	/** Ends the call that waits for changes. */
	#waiting: AbortController | undefined;
	#failures = 0;
	#confirmedAt = never;
	#recoveredAt = never;
	#isFetching = false;
	/** True after a call without an answer, until the next one on a new connection shows whether the store has failed. */
	#isDoubtful = false;
	#isFollowing = false;
	/** Ends the current pause. */
	#wake: (() => void) | undefined;
	#running: Promise<void> = Promise.resolve();

	constructor(options: TableWatchOptions) {
		this.#options = options;
		this.#copy = new TableCopy(row => this.#readContent(row));
		this.#times = options.times;
		this.#sharing = new TableSharing(options.times.maxAgeMs);
	}

	/** Name of the table. */
	get table(): string {
		return this.#options.table;
	}

	/** State of the copy as confirmed by the store; undefined unless this daemon reads the store for the others. */
	get announcement(): TableAnnouncement | undefined {
		const {table, peers, clock} = this.#options;
		const ageMs = clock.now() - this.#confirmedAt;
		return this.#copy.position === undefined || this.#awaitedEpoch !== undefined || ageMs >= this.#times.maxAgeMs || !peers.isReader()
			? undefined
			: {
				table, position: this.#copy.position, digest: this.#copy.digest, ageMs: Math.round(ageMs),
			};
	}

	/** False while the store may have newer rows than the copy, because neither it nor a daemon that reads it has been heard of. */
	get isConfirmed(): boolean {
		if (this.#copy.position === undefined || this.#awaitedEpoch !== undefined) {
			return false;
		}

		const now = this.#options.clock.now();
		const {kind} = this.#sharing.assess(this.#copy, now);
		// The store answers a waiting call at once when a row changes, so a confirmation counts until that call must have ended.
		const isWaiting = this.#failures === 0 && !this.#isDoubtful && now - this.#confirmedAt < this.#callTimes.waitMs + maxAnswerMs;
		return kind === 'current' || (kind === 'unconfirmed' && isWaiting);
	}

	get #callTimes(): CallTimes {
		const {isReader, areFollowersMany} = this.#options.peers;
		return isReader() && areFollowersMany() ? this.#times.forMany : this.#times;
	}

	/** Changes the timing; it takes effect with the next call. */
	setTimes(times: WatchTimes): void {
		this.#times = times;
		this.#sharing.setMaxAge(times.maxAgeMs);
	}

	/** Records what another daemon announced, and fetches the rows that this one lacks. */
	accept(daemon: string, announcement: TableAnnouncement): void {
		this.#sharing.record(daemon, announcement, this.#options.clock.now());
		void this.#catchUp();
	}

	/** Reads the whole table again unless the copy is of the epoch that an answer of the store, to whatever call, has shown. */
	noteEpoch(epoch: number): void {
		if (this.#copy.position === undefined || this.#copy.position.epoch === epoch) {
			return;
		}

		this.#needsWhole = true;
		this.#awaitedEpoch = epoch;
		setTimeout(() => {
			if (this.#awaitedEpoch === epoch) {
				this.#waiting?.abort();
				this.#wake?.();
			}
		}, this.#options.random.next() * restoreSpreadMs);
	}

	/** Returns the rows for another daemon whose copy is complete up to a position; undefined without a copy that the store has confirmed. */
	share(after: TablePosition | undefined): SharedRows | undefined {
		const {announcement} = this;
		const recoveredMs = this.#options.clock.now() - this.#recoveredAt;
		return announcement === undefined || this.#failures > 0
			? undefined
			: {
				...this.#copy.changesAfter(after), digest: announcement.digest, ageMs: announcement.ageMs, recoveredMs: Number.isFinite(recoveredMs) ? recoveredMs : undefined,
			};
	}

	start(): void {
		this.#running = this.#run();
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#stop.abort();
		this.#waiting?.abort();
		this.#wake?.();
		await this.#running;
	}

	async #run(): Promise<void> {
		while (!this.#stop.signal.aborted) {
			const followMs = this.#followMs();
			this.#setFollowing(followMs > 0);
			if (followMs > 0) {
				await this.#pause(followMs + (this.#options.random.next() * takeoverSpreadMs));
			} else {
				await this.#tryPoll();
				if (!this.#isDoubtful) {
					await this.#pause(this.#pauseMs());
				}
			}
		}
	}

	/** Time for which this daemon can rely on the readers, in milliseconds; 0 if it has to read the store itself. */
	#followMs(): number {
		if (this.#options.peers.isReader() || this.#needsWhole) {
			return 0;
		}

		const now = this.#options.clock.now();
		return Math.max(0, this.#sharing.reliableUntil(this.#copy, this.#isFetching, now) - now);
	}

	#setFollowing(isFollowing: boolean): void {
		if (isFollowing !== this.#isFollowing) {
			this.#isFollowing = isFollowing;
			this.#options.log.write('store.reader', {table: this.table, isFollowing, ...this.#copy.position});
		}
	}

	/** Polls; an error of the daemon itself must not end the watch. */
	async #tryPoll(): Promise<void> {
		try {
			await this.#poll();
		} catch (error) {
			this.#handleFailure({kind: 'unavailable', message: describe(error)});
		}
	}

	async #poll(): Promise<void> {
		const {feed, peers} = this.#options;
		const {position: known} = this.#copy;
		// The wait varies, because a change ends the waits of all readers at the same time.
		const waitMs = this.#isDoubtful ? 0 : Math.round(this.#callTimes.waitMs * (minWaitFraction + (this.#options.random.next() * (1 - minWaitFraction))));
		const isWhole = this.#needsWhole || known === undefined;
		const page = isWhole ? await this.#readWhole() : await this.#waitForChanges(known, waitMs);
		// Rows of another daemon may have brought the copy to a later epoch meanwhile.
		const isOutdated = this.#copy.position?.epoch !== known?.epoch;
		if (this.#stop.signal.aborted || page === undefined || isOutdated) {
			return;
		}

		page.caseOf({
			Left: failure => {
				this.#handleFailure(failure);
				void this.#catchUp();
			},
			Right: ({rows, position}) => {
				this.#handleSuccess();
				if (!isWhole && position.epoch !== known.epoch) {
					this.#needsWhole = true;
					return;
				}

				if (isWhole) {
					this.#options.log.write('store.wholeRead', {
						table: this.table, rows: rows.length, ...position, knownEpoch: known?.epoch, knownVersion: known?.version,
					});
					this.#needsWhole = false;
					this.#awaitedEpoch = undefined;
				}

				this.#confirmedAt = this.#options.clock.now();
				const isRestored = known !== undefined && position.epoch !== known.epoch;
				if (isRestored) {
					this.#handleRestore(0);
				}

				if ((this.#apply(rows, position, isWhole) || isRestored) && peers.isReader()) {
					peers.onChangeRead();
				}
			},
		});
	}

	async #readWhole(): Promise<Either<FeedFailure, FeedPage>> {
		this.#wholeReadAt = this.#options.clock.now();
		return this.#options.feed.readTable(this.table);
	}

	/** Waits for changes; undefined if the wait was ended because the whole table must be read. */
	async #waitForChanges(after: TablePosition, waitMs: number): Promise<Either<FeedFailure, FeedPage> | undefined> {
		const waiting = new AbortController();
		this.#waiting = waiting;
		const page = await this.#options.feed.waitForChanges(this.table, after.version, waitMs, waiting.signal);
		this.#waiting = undefined;
		return waiting.signal.aborted ? undefined : page;
	}

	/** Tells the listener of a restore of the store that was noticed `recoveredMs` ago. */
	#handleRestore(recoveredMs: number): void {
		this.#recoveredAt = this.#options.clock.now() - recoveredMs;
		this.#options.listener.onRestored();
	}

	/** Updates the copy and tells the listener; returns true when the content has changed. */
	#apply(rows: readonly FeedRow[], position: TablePosition, isWhole: boolean): boolean {
		const isChanged = this.#copy.apply({rows, position, isWhole});
		if (!isWhole || !this.#deliverSnapshot(rows)) {
			this.#deliverChanges(rows);
		}

		return isChanged;
	}

	/** Returns false if the listener throws; the rows are then delivered one by one. */
	#deliverSnapshot(rows: readonly FeedRow[]): boolean {
		const {listener, log} = this.#options;
		try {
			listener.onSnapshot(rows);
			return true;
		} catch (error) {
			log.write('store.snapshotFailed', {table: this.table, rows: rows.length, cause: describe(error)});
			return false;
		}
	}

	/** Delivers each row by itself, so that one with which the listener cannot deal does not hold up the others. */
	#deliverChanges(rows: readonly FeedRow[]): void {
		const {listener, onRowFailed} = this.#options;
		for (const row of rows) {
			try {
				listener.onChanges([row]);
			} catch (error) {
				onRowFailed(row.key, error);
			}
		}
	}

	#readContent(row: FeedRow): string {
		const {contentOf, onRowFailed} = this.#options;
		try {
			return contentOf(row);
		} catch (error) {
			onRowFailed(row.key, error);
			return '';
		}
	}

	/** Fetches the rows that a reader has and this daemon lacks, unless this daemon reads the store itself without failures. */
	async #catchUp(): Promise<void> {
		const {clock, peers} = this.#options;
		while (!this.#isFetching && !this.#stop.signal.aborted && (this.#failures > 0 || !peers.isReader())) {
			const state = this.#sharing.assess(this.#copy, clock.now());
			if (state.kind === 'current') {
				this.#copy.confirm(state.position);
			}

			if (state.kind !== 'behind') {
				return;
			}

			this.#isFetching = true;
			try {
				await this.#fetch(state.reader);
			} finally {
				this.#isFetching = false;
			}
		}
	}

	async #fetch(reader: string): Promise<void> {
		const {clock, log, peers} = this.#options;
		const shared = await peers.fetchRows(reader, this.table, this.#copy.position);
		shared.caseOf({
			Left: cause => {
				log.write('store.notShared', {table: this.table, peer: reader, cause});
				this.#sharing.markUnusable(reader, clock.now());
				this.#wake?.();
			},
			Right: value => {
				this.#acceptShared(reader, value);
			},
		});
	}

	#acceptShared(reader: string, {rows, position, digest, isWhole, ageMs, recoveredMs}: SharedRows): void {
		const {clock, log, listener} = this.#options;
		const now = clock.now();
		const {position: own} = this.#copy;
		const order = own === undefined ? 'newer' : comparePositions(position, own);
		if (this.#stop.signal.aborted || order === 'older') {
			// The own read has been faster.
			return;
		}

		if (order === 'unknown' && !(isWhole && isOfLaterEpoch(position, own!))) {
			this.#sharing.markUnusable(reader, now);
			this.#wake?.();
			return;
		}

		if (recoveredMs !== undefined && now - recoveredMs > this.#recoveredAt) {
			this.#recoveredAt = now - recoveredMs;
			listener.onLost();
			listener.onRecovered(recoveredMs);
		}

		if (order === 'unknown') {
			this.#handleRestore(recoveredMs ?? 0);
		}

		this.#apply(rows, position, isWhole);
		const isAwaited = this.#awaitedEpoch === undefined || (position.epoch !== undefined && position.epoch >= this.#awaitedEpoch);
		if (isAwaited) {
			this.#needsWhole = false;
			this.#awaitedEpoch = undefined;
		}

		log.write('store.shared', {
			table: this.table, peer: reader, ...position, rows: rows.length, ageMs: Math.round(ageMs),
		});
		if (this.#copy.digest === digest) {
			this.#sharing.record(reader, {
				table: this.table, position, digest, ageMs,
			}, now);
			return;
		}

		// The copies differ although the rows were applied, so the own one is read again from the store.
		this.#needsWhole = true;
		this.#sharing.markUnusable(reader, now);
		this.#wake?.();
	}

	#handleSuccess(): void {
		this.#isDoubtful = false;
		if (this.#failures > 0) {
			this.#recoveredAt = this.#options.clock.now();
			this.#options.log.write('store.regained', {table: this.table, failures: this.#failures});
			this.#options.listener.onRecovered(0);
		}

		this.#failures = 0;
	}

	#handleFailure({kind, message}: FeedFailure): void {
		const {log, listener} = this.#options;
		if (kind === 'unanswered' && this.#failures === 0 && !this.#isDoubtful) {
			// An open connection may have gone silent for good while the store works.
			this.#isDoubtful = true;
			log.write('store.unanswered', {table: this.table, cause: message});
			return;
		}

		this.#isDoubtful = false;
		if (kind === 'history-lost') {
			// This failure is a response of the store, so the store itself is available.
			log.write('store.historyLost', {table: this.table, ...this.#copy.position, cause: message});
			this.#needsWhole = true;
			return;
		}

		this.#failures += 1;
		if (this.#failures === 1) {
			log.write('store.lost', {table: this.table, kind, cause: message});
			listener.onLost();
		}
	}

	/** Time until the next call, in milliseconds. */
	#pauseMs(): number {
		const {clock, random, peers} = this.#options;
		if (this.#failures > 0) {
			return backoffMs(this.#failures, peers.isReader(), random);
		}

		return this.#needsWhole ? Math.max(0, this.#wholeReadAt + wholeReadIntervalMs - clock.now()) : this.#callTimes.pauseMs;
	}

	/** Waits until the time is over, the watch is stopped or it has to be read at once. */
	async #pause(ms: number): Promise<void> {
		const {promise, resolve} = Promise.withResolvers<void>();
		const timer = setTimeout(resolve, ms);
		this.#wake = resolve;
		if (this.#stop.signal.aborted) {
			resolve();
		}

		await promise;
		clearTimeout(timer);
	}
}

function describe(error: unknown): string {
	return error instanceof Error ? error.message : String(error);
}
