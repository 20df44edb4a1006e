import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import type {FeedPage, FeedRow} from '../../ports/row-feed.ts';

/** Rows of a table that a daemon with an older copy lacks. */
export type TableDelta = Omit<FeedPage, 'epoch'> & {
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
	#version: number | undefined;
	#digest = 0;
	#removedRows = 0;
	/** Copies with an older version than this get the whole table. */
	#completeSince = 0;

	constructor(contentOf: RowContent) {
		this.#contentOf = contentOf;
	}

	/** Version of the store up to which the copy is complete; undefined until the first page. */
	get version(): number | undefined {
		return this.#version;
	}

	/** Digest of the keys and contents of all rows. */
	get digest(): number {
		return this.#digest;
	}

	/** Applies rows up to a version; returns true when the content has changed. */
	apply({rows, version, isWhole}: TableDelta): boolean {
		const before = this.#digest;
		if (isWhole) {
			const listed = new Set(rows.map(({key}) => key));
			for (const key of [...this.#rows.keys()].filter(known => !listed.has(known))) {
				this.#set({key, value: undefined, isRemoved: true}, version);
			}
		}

		for (const row of rows) {
			this.#set(row, version);
		}

		this.#version = Math.max(this.#version ?? 0, version);
		this.#forgetRemovedRows();
		return this.#digest !== before;
	}

	/** Raises the version of an unchanged copy. */
	confirm(version: number): void {
		this.#version = Math.max(this.#version ?? 0, version);
	}

	/** Returns the rows whose content may have changed after a version, or the whole table to a copy without one or with one that is too old. */
	changesAfter(version: number | undefined): TableDelta {
		const isWhole = version === undefined || version < this.#completeSince;
		const rows = [...this.#rows.values()]
			.filter(({row, changedAt}) => isWhole ? !row.isRemoved : changedAt > version)
			.map(({row}) => row);
		return {rows, version: this.#version ?? 0, isWhole};
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
