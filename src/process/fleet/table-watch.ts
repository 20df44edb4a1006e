import {setTimeout as delay} from 'node:timers/promises';
import type {FeedFailure, FeedRow, RowFeed} from '../../ports/row-feed.ts';
import type {Random} from '../random.ts';
import type {DecisionLog} from './decision-log.ts';

/** Timing of a watch, in milliseconds. */
export type WatchTimes = {
	/** Longest wait of one long-poll call; it also bounds how long a dead connection goes unnoticed. */
	readonly waitMs: number;
	/** Pause between calls, to batch rows that change constantly. */
	readonly pauseMs: number;
};

/** Receives the rows of a table; its methods must be synchronous. */
export type WatchListener = {
	/** Receives the whole table, at the start and after the feed has lost its history. */
	readonly onSnapshot: (rows: readonly FeedRow[]) => void;
	readonly onChanges: (rows: readonly FeedRow[]) => void;
	/** Called on the first of consecutive failures to read the store. */
	readonly onLost: () => void;
	/** Called when the store responds again, before the rows of that response are delivered. */
	readonly onRecovered: () => void;
};

/** Dependencies of a watch. */
export type TableWatchOptions = {
	readonly feed: RowFeed;
	readonly table: string;
	readonly times: WatchTimes;
	readonly listener: WatchListener;
	readonly log: DecisionLog;
	readonly random: Random;
};

const minBackoffMs = 100;
const maxBackoffMs = 600;

/** Follows one table of the platform through its change feed. */
export class TableWatch implements AsyncDisposable {
	readonly #feed: RowFeed;
	readonly #table: string;
	readonly #times: WatchTimes;
	readonly #listener: WatchListener;
	readonly #log: DecisionLog;
	readonly #random: Random;
	readonly #stop = new AbortController();
	#version: number | undefined;
	#failures = 0;
	#running: Promise<void> = Promise.resolve();

	constructor({feed, table, times, listener, log, random}: TableWatchOptions) {
		this.#feed = feed;
		this.#table = table;
		this.#times = times;
		this.#listener = listener;
		this.#log = log;
		this.#random = random;
	}

	start(): void {
		this.#running = this.#run();
	}

	async [Symbol.asyncDispose](): Promise<void> {
		this.#stop.abort();
		await this.#running;
	}

	async #run(): Promise<void> {
		while (!this.#stop.signal.aborted) {
			await this.#poll();
			await this.#pause(this.#failures === 0 ? this.#times.pauseMs : this.#backoffMs());
		}
	}

	async #poll(): Promise<void> {
		const {waitMs} = this.#times;
		const isWhole = this.#version === undefined;
		const page = this.#version === undefined
			? await this.#feed.readTable(this.#table)
			: await this.#feed.waitForChanges(this.#table, this.#version, waitMs);
		if (this.#stop.signal.aborted) {
			return;
		}

		page.caseOf({
			Left: failure => {
				this.#handleFailure(failure);
			},
			Right: ({rows, version}) => {
				this.#handleSuccess();
				this.#version = version;
				if (isWhole) {
					this.#listener.onSnapshot(rows);
				} else if (rows.length > 0) {
					this.#listener.onChanges(rows);
				}
			},
		});
	}

	#handleSuccess(): void {
		if (this.#failures > 0) {
			this.#log.write('store.regained', {table: this.#table, failures: this.#failures});
			this.#listener.onRecovered();
		}

		this.#failures = 0;
	}

	#handleFailure({kind, message}: FeedFailure): void {
		if (kind === 'history-lost') {
			// This failure is a response of the store, so the store itself is available.
			this.#log.write('store.historyLost', {table: this.#table, version: this.#version});
			this.#version = undefined;
			return;
		}

		this.#failures += 1;
		if (this.#failures === 1) {
			this.#log.write('store.lost', {table: this.#table, kind, cause: message});
			this.#listener.onLost();
		}
	}

	#backoffMs(): number {
		const bound = Math.min(maxBackoffMs, minBackoffMs * (2 ** (this.#failures - 1)));
		return bound * (0.5 + (this.#random.next() / 2));
	}

	async #pause(ms: number): Promise<void> {
		try {
			await delay(ms, undefined, {signal: this.#stop.signal});
		} catch {
			// The watch has been stopped.
		}
	}
}
