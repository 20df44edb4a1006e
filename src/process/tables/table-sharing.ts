import {comparePositions, isOfLaterEpoch, type TablePosition} from './table-position.ts';

/** State of a reader's copy of a table, as it tells the other daemons. */
export type TableAnnouncement = {
	readonly table: string;
	readonly position: TablePosition;
	/** Digest of the table's content at that position. */
	readonly digest: number;
	/** Time since the store confirmed that position, in milliseconds. */
	readonly ageMs: number;
};

/** Own copy, as far as the comparison needs it. */
export type OwnCopy = {
	readonly position: TablePosition | undefined;
	readonly digest: number;
};

/** How the own copy compares with what the readers announced. */
export type CopyState
	= | {readonly kind: 'current'; /** Time until which no further confirmation is needed. */ readonly until: number; readonly position: TablePosition}
		| {readonly kind: 'behind'; readonly reader: string}
		| {readonly kind: 'unconfirmed'};

/** Readers of the store in each availability zone; the other daemons of the zone follow them. */
export const readersPerZone = 2;
/** Time that an announcement may take on its way, which its age does not include, in milliseconds; relays add the time that it waits there. */
export const announcementDelayMs = 400;
/** Daemons that follow each reader, from which on it reads more often for them. */
const manyFollowers = 3;
/** Time for which a reader that could not be asked for rows is left out, in milliseconds. */
const failedReaderMs = 1000;

/** True if the readers of an availability zone with so many daemons read for many others. */
export function readsForMany(zoneDaemons: number): boolean {
	return zoneDaemons - readersPerZone >= readersPerZone * manyFollowers;
}

type KnownReader = {
	readonly position: TablePosition;
	readonly digest: number;
	readonly confirmedAt: number;
	unusableUntil: number;
};

/**
Decides for one table whether a daemon can rely on what the readers of the store announce.

Answers the load of hundreds of daemons on the store: two of each availability zone read it, and the others read it themselves
only while no reader has confirmed the state of their copy for longer than the bound allows.
*/
export class TableSharing {
	#maxAgeMs: number;
	readonly #readers = new Map<string, KnownReader>();
	/** Time of the last confirmation of the own copy. */
	#confirmedAt = Number.NEGATIVE_INFINITY;

	/** `maxAgeMs`: age in milliseconds from which a confirmation no longer counts. */
	constructor(maxAgeMs: number) {
		this.#maxAgeMs = maxAgeMs;
	}

	/** Changes the age from which a confirmation no longer counts, in milliseconds. */
	setMaxAge(maxAgeMs: number): void {
		this.#maxAgeMs = maxAgeMs;
	}

	/** Records an announcement; those that arrive late, after a newer one of the same reader, are ignored. */
	record(reader: string, {position, digest, ageMs}: TableAnnouncement, now: number): void {
		const confirmedAt = now - ageMs - announcementDelayMs;
		const known = this.#readers.get(reader);
		if (known === undefined || isNewer(position, known.position) || comparePositions(position, known.position) === 'same') {
			this.#readers.set(reader, {
				position, digest, confirmedAt, unusableUntil: known?.unusableUntil ?? Number.NEGATIVE_INFINITY,
			});
		}
	}

	/** Records that a reader could not be asked for its rows. */
	markUnusable(reader: string, now: number): void {
		const known = this.#readers.get(reader);
		if (known !== undefined) {
			known.unusableUntil = now + failedReaderMs;
		}
	}

	/** Compares the own copy with the announcements that are recent enough; those of an earlier epoch than the own copy say nothing about it. */
	assess({position: own, digest}: OwnCopy, now: number): CopyState {
		this.#forgetOld(now);
		let newest: [string, KnownReader] | undefined;
		let until = Number.NEGATIVE_INFINITY;
		let confirmed = own;
		for (const [reader, known] of this.#readers) {
			if (own !== undefined && known.digest === digest && known.position.epoch === own.epoch) {
				until = Math.max(until, known.confirmedAt + this.#maxAgeMs);
				confirmed = isNewer(known.position, confirmed) ? known.position : confirmed;
			} else if (isNewer(known.position, own) && now >= known.unusableUntil && isNewer(known.position, newest?.[1].position)) {
				newest = [reader, known];
			}
		}

		if (now < until) {
			this.#confirmedAt = until - this.#maxAgeMs;
		}

		// A reader with other content counts only if its position is newer than all that confirm the own copy.
		if (newest !== undefined && isNewer(newest[1].position, confirmed)) {
			return {kind: 'behind', reader: newest[0]};
		}

		return confirmed !== undefined && now < until ? {kind: 'current', until, position: confirmed} : {kind: 'unconfirmed'};
	}

	/** Time until which a daemon can rely on its copy without a call to the store; one that fetches the rows that it lacks need not read them as well. */
	reliableUntil(copy: OwnCopy, isFetching: boolean, now: number): number {
		const state = this.assess(copy, now);
		switch (state.kind) {
			case 'current': {
				return state.until;
			}

			case 'behind': {
				return isFetching ? this.#confirmedAt + this.#maxAgeMs : now;
			}

			case 'unconfirmed': {
				return now;
			}
		}
	}

	#forgetOld(now: number): void {
		for (const [reader, {confirmedAt}] of this.#readers) {
			if (now - confirmedAt >= this.#maxAgeMs) {
				this.#readers.delete(reader);
			}
		}
	}
}

/** Returns true for a position that is newer in the same epoch, or of a later one. */
function isNewer(position: TablePosition, other: TablePosition | undefined): boolean {
	return other === undefined || isOfLaterEpoch(position, other) || comparePositions(position, other) === 'newer';
}
