import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import type {FeedPage, FeedRow} from '../../ports/row-feed.ts';
import {comparePositions, type TablePosition} from './table-position.ts';

/** Rows of a table that a daemon with an older copy lacks. */
export type TableDelta = FeedPage & {
	/** True when the rows are the whole table: all other keys have been removed. */
	readonly isWhole: boolean;
};

type CopiedRow = {
	readonly row: FeedRow;
	/** Hash of the key and the content; 0 for a removed row. */
	readonly hash: number;
	/** Version up to which the row's last change of content had been read. */
	readonly changedAt: number;
};

/** Returns the part of a row whose changes matter to all daemons, as text. */
export type RowContent = (row: FeedRow) => string;

/** Removed rows that are remembered, so that daemons with an older copy learn of the removal. */
const maxRemovedRows = 1000;
const hashBytes = 6;
const hashRange = 2 ** (hashBytes * 8);

/** Copy of a watched table; its digest is equal at all daemons with the same content. */
export class TableCopy {
	readonly #contentOf: RowContent;
	readonly #rows = new Map<string, CopiedRow>();
	#position: TablePosition | undefined;
	#digest = 0;
	#removedRows = 0;
	/** Copies with an older version than this get the whole table. */
	#completeSince = 0;

	constructor(contentOf: RowContent) {
		this.#contentOf = contentOf;
	}

	/** Position up to which the copy is complete; undefined until the first page. */
	get position(): TablePosition | undefined {
		return this.#position;
	}

	/** Digest of the keys and contents of all rows. */
	get digest(): number {
		return this.#digest;
	}

	/**
	Applies rows up to a position; returns true when the content has changed.

	A whole table replaces the copy also if its position is of another epoch or older, as after a restore of a store that names no epoch.
	*/
	apply({rows, position, isWhole}: TableDelta): boolean {
		const before = this.#digest;
		const {version} = position;
		const order = this.#position === undefined ? 'newer' : comparePositions(position, this.#position);
		if (order === 'unknown' && !isWhole) {
			throw new RangeError(`The rows are of epoch ${position.epoch}, and the copy of epoch ${this.#position?.epoch}.`);
		}

		if (order === 'unknown' || (order === 'older' && isWhole)) {
			this.#clear(version);
		}

		if (isWhole) {
			const listed = new Set(rows.map(({key}) => key));
			for (const key of [...this.#rows.keys()].filter(known => !listed.has(known))) {
				this.#set({key, value: undefined, isRemoved: true}, version);
			}
		}

		for (const row of rows) {
			this.#set(row, version);
		}

		this.confirm(position);
		this.#forgetRemovedRows();
		return this.#digest !== before;
	}

	/** Raises the position of an unchanged copy. */
	confirm(position: TablePosition): void {
		if (this.#position === undefined || comparePositions(position, this.#position) === 'newer') {
			this.#position = position;
		}
	}

	/** Returns the rows whose content may have changed after a position, or the whole table to a copy without one, of another epoch or too old. */
	changesAfter(after: TablePosition | undefined): TableDelta {
		const position = this.#position ?? {epoch: undefined, version: 0};
		const isWhole = after === undefined || after.epoch !== position.epoch || after.version < this.#completeSince;
		const rows = [...this.#rows.values()]
			.filter(({row, changedAt}) => isWhole ? !row.isRemoved : changedAt > after.version)
			.map(({row}) => row);
		return {rows, position, isWhole};
	}

	/** Forgets all rows, whose versions mean nothing in another epoch. */
	#clear(completeSince: number): void {
		this.#rows.clear();
		this.#position = undefined;
		this.#digest = 0;
		this.#removedRows = 0;
		this.#completeSince = completeSince;
	}

	#set(row: FeedRow, version: number): void {
		const known = this.#rows.get(row.key);
		const hash = row.isRemoved ? 0 : hashText(`${row.key}\n${this.#contentOf(row)}`);
		const isSameContent = (known?.hash ?? 0) === hash;
		if (row.isRemoved && isSameContent) {
			return;
		}

		this.#digest = (this.#digest + hash - (known?.hash ?? 0) + hashRange) % hashRange;
		this.#removedRows += Number(row.isRemoved) - Number(known?.row.isRemoved ?? false);
		// Removed rows move to the end, so that the oldest ones are forgotten first.
		this.#rows.delete(row.key);
		this.#rows.set(row.key, {row, hash, changedAt: isSameContent ? known!.changedAt : version});
	}

	#forgetRemovedRows(): void {
		for (const [key, {row, changedAt}] of this.#rows) {
			if (this.#removedRows <= maxRemovedRows) {
				return;
			}

			if (row.isRemoved) {
				this.#rows.delete(key);
				this.#removedRows -= 1;
				this.#completeSince = Math.max(this.#completeSince, changedAt);
			}
		}
	}
}

function hashText(text: string): number {
	// 0 stands for a removed row.
	return Math.max(1, Buffer.from(createHash('sha1').update(text).digest()).readUIntBE(0, hashBytes));
}
