import {setTimeout as delay} from 'node:timers/promises';
import type {RowWrite, StoreFailure, Table} from '../../ports/table.ts';

/** Result of one write; after `unknown` the write may or may not have been applied. */
export type WriteOutcome = 'written' | StoreFailure['kind'];

/** Limits of group commit. */
export type GroupCommitLimits = {
	/** Maximum time that a write waits for others, in milliseconds; writes wait only after the store refused some. */
	readonly windowMs: number;
	/** Maximum number of writes in one transaction. */
	readonly maxWrites: number;
};

/** One write per transaction, without delay. */
export const singleWrites: GroupCommitLimits = {windowMs: 0, maxWrites: 1};

/** Up to 25 writes per transaction; writes wait at most 5 ms after the store refused some. */
export const groupedWrites: GroupCommitLimits = {windowMs: 5, maxWrites: 25};

/** Number of groups that wait for the window after the store refused a write; about one second at several hundred writes per second. */
const delayedGroupsAfterRefusal = 200;

type PendingWrite = {
	readonly write: RowWrite;
	readonly resolve: (outcome: WriteOutcome) => void;
};

/** Commits independent writes in groups; each write gets its own outcome. */
export class WriteBatcher {
	readonly #table: Table;
	readonly #limits: GroupCommitLimits;
	readonly #wait: (milliseconds: number) => Promise<unknown>;
	#pending: PendingWrite[] = [];
	#isFlushScheduled = false;
	/** Number of further groups that wait for the window. */
	#delayedGroupsLeft = 0;

	constructor(table: Table, limits: GroupCommitLimits, wait: (milliseconds: number) => Promise<unknown> = async milliseconds => delay(milliseconds)) {
		this.#table = table;
		this.#limits = limits;
		this.#wait = wait;
	}

	/** Commits one write, together with others that arrive within the window. */
	async submit(write: RowWrite): Promise<WriteOutcome> {
		const {promise, resolve} = Promise.withResolvers<WriteOutcome>();
		this.#pending.push({write, resolve});
		if (this.#pending.length >= this.#limits.maxWrites) {
			this.#flush();
		} else if (!this.#isFlushScheduled) {
			void this.#flushLater();
		}

		return promise;
	}

	async #flushLater(): Promise<void> {
		this.#isFlushScheduled = true;
		if (this.#delayedGroupsLeft > 0) {
			this.#delayedGroupsLeft -= 1;
			await this.#wait(this.#limits.windowMs);
		}

		this.#isFlushScheduled = false;
		this.#flush();
	}

	#flush(): void {
		while (this.#pending.length > 0) {
			const group = takeDistinct(this.#pending, this.#limits.maxWrites);
			this.#pending = this.#pending.filter(pending => !group.includes(pending));
			void this.#commit(group);
		}
	}

	/** Commits a group; after a conflict, the remaining writes are retried without the conflicting ones. */
	async #commit(group: readonly PendingWrite[]): Promise<void> {
		let rest = group;
		while (rest.length > 0) {
			const outcome = await this.#write(rest);
			this.#delayedGroupsLeft = outcome.kind === 'unavailable' ? delayedGroupsAfterRefusal : this.#delayedGroupsLeft;
			const conflicting = outcome.kind === 'conflict' ? outcome.writes : new Set<RowWrite>();
			const settled = conflicting.size === 0 ? rest : rest.filter(({write}) => conflicting.has(write));
			for (const {resolve} of settled) {
				resolve(outcome.kind);
			}

			rest = conflicting.size === 0 ? [] : rest.filter(({write}) => !conflicting.has(write));
		}
	}

	async #write(group: readonly PendingWrite[]): Promise<GroupOutcome> {
		const writes = group.map(({write}) => write);
		try {
			const result = await this.#table.write(writes);
			return result.caseOf<GroupOutcome>({
				Left: failure => (failure.kind === 'conflict'
					? {kind: 'conflict', writes: findConflicting(writes, failure)}
					: {kind: failure.kind}),
				Right: () => ({kind: 'written'}),
			});
		} catch {
			return {kind: 'unknown'};
		}
	}
}

type GroupOutcome
	= | {readonly kind: 'written' | 'unavailable' | 'unknown'}
		| {readonly kind: 'conflict'; readonly writes: ReadonlySet<RowWrite>};

function findConflicting(writes: readonly RowWrite[], {keys}: Extract<StoreFailure, {kind: 'conflict'}>): ReadonlySet<RowWrite> {
	return new Set(writes.filter(write => keys.some(key => key.partition === write.key.partition && key.sort === write.key.sort)));
}

/** Selects writes to distinct rows, in order; a transaction must not contain a row twice. */
function takeDistinct(pending: readonly PendingWrite[], limit: number): readonly PendingWrite[] {
	const names = new Set<string>();
	return pending.filter(({write: {key}}) => {
		const name = JSON.stringify([key.partition, key.sort]);
		if (names.size >= limit || names.has(name)) {
			return false;
		}

		names.add(name);
		return true;
	});
}
