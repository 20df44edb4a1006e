import {setTimeout as delay} from 'node:timers/promises';
import type {RowWrite, StoreFailure, Table} from '../../ports/table.ts';

/** Result of one write; only `unknown` leaves open whether it was applied. */
export type WriteOutcome = 'written' | StoreFailure['kind'];

/** Limits of group commit. */
export type GroupCommitLimits = {
	/** Longest time that a write waits for others, in milliseconds; it waits only after the store has refused writes. */
	readonly windowMs: number;
	/** Most writes in one transaction. */
	readonly maxWrites: number;
};

/** One write for each transaction, at once. */
export const singleWrites: GroupCommitLimits = {windowMs: 0, maxWrites: 1};

/** Up to 25 writes for each transaction, which wait at most 5 ms while the store refuses some. */
export const groupedWrites: GroupCommitLimits = {windowMs: 5, maxWrites: 25};

/** Groups that wait for the window after the store has refused a write; about a second at several hundred writes a second. */
const delayedGroupsAfterRefusal = 200;

type PendingWrite = {
	readonly write: RowWrite;
	readonly resolve: (outcome: WriteOutcome) => void;
};

/** Commits independent writes in groups; each gets its own outcome. */
export class WriteBatcher {
	readonly #table: Table;
	readonly #limits: GroupCommitLimits;
	readonly #wait: (milliseconds: number) => Promise<unknown>;
	#pending: PendingWrite[] = [];
	#isFlushScheduled = false;
	/** Groups that still wait for the window. */
	#delayedGroupsLeft = 0;

	constructor(table: Table, limits: GroupCommitLimits, wait: (milliseconds: number) => Promise<unknown> = async milliseconds => delay(milliseconds)) {
		this.#table = table;
		this.#limits = limits;
		this.#wait = wait;
	}

	/** Commits one write, with others that arrive within the window. */
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

	/** Commits a group; on a conflict the others are tried again without the conflicting ones. */
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

/** Takes writes of different rows, in order; a transaction may not have a row twice. */
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
