/** Place in the history of the store up to which a copy of a table is complete. */
export type TablePosition = {
	/** Epoch of the store; undefined if the store names none. */
	readonly epoch: number | undefined;
	/** Version of the store; versions are given out again in a later epoch. */
	readonly version: number;
};

/** How one position relates to another; `unknown`: they belong to different epochs, so that neither contains the other. */
export type PositionOrder = 'older' | 'same' | 'newer' | 'unknown';

/** Compares a position with another one. */
export function comparePositions(position: TablePosition, other: TablePosition): PositionOrder {
	if (position.epoch !== other.epoch) {
		return 'unknown';
	}

	if (position.version === other.version) {
		return 'same';
	}

	return position.version < other.version ? 'older' : 'newer';
}

/** Returns true if a position belongs to a later epoch than another one; a store that names an epoch is later than one that named none. */
export function isOfLaterEpoch(position: TablePosition, other: TablePosition): boolean {
	return position.epoch !== undefined && (other.epoch === undefined || position.epoch > other.epoch);
}
