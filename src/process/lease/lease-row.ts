import {Codec, number, string} from 'purify-ts/Codec';
import type {Row, RowKey} from '../../ports/table.ts';

/** Body of a lease row. */
export type LeaseBody = {
	/** Daemon id of the holder; empty if the last holder has released the lease. */
	readonly holder: string;
	/** Random for each acquisition, so that a daemon recognises its own write. */
	readonly token: string;
	/** Increases by one with each grant; never decreases. */
	readonly fencing: number;
	readonly durationMs: number;
};

// Uses the smaller schema library because daemons on small hosts, which parse leases too, don't load the larger one.
const leaseBody = Codec.interface({
	holder: string, token: string, fencing: number, durationMs: number,
});

/** A lease row as read. */
export type LeaseRow = {
	readonly revision: number;
	readonly body: LeaseBody;
};

/** Returns the key of a group's lease row. Lease rows are never deleted, so their revisions never repeat. */
export function leaseKey(group: string): RowKey {
	return {partition: 'lease', sort: group};
}

/** Parses a lease row; throws if the body is not a lease. */
export function parseLeaseRow(row: Row): LeaseRow {
	const body: LeaseBody = leaseBody.decode(JSON.parse(row.body)).unsafeCoerce();
	if (!Number.isInteger(body.fencing)) {
		throw new TypeError('The fencing number is not an integer.');
	}

	return {revision: row.revision, body};
}
