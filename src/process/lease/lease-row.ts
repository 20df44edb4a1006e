import {Codec, number, string} from 'purify-ts/Codec';
import type {Row, RowKey} from '../../ports/table.ts';

/** Body of a lease row. An empty holder means that the last holder has released the lease. */
export type LeaseBody = {
	/** Daemon id. */
	readonly holder: string;
	/** Random for each acquisition, so that a writer recognises its own write. */
	readonly token: string;
	/** Raised by one at each grant; never lowered. */
	readonly fencing: number;
	readonly durationMs: number;
};

// Daemons on small hosts parse leases too, and do without the larger schema library.
const leaseBody = Codec.interface({
	holder: string, token: string, fencing: number, durationMs: number,
});

/** A lease row as read. */
export type LeaseRow = {
	readonly revision: number;
	readonly body: LeaseBody;
};

/** Key of the lease row of a group. Lease rows are never deleted, so their revisions never repeat. */
export function leaseKey(group: string): RowKey {
	return {partition: 'lease', sort: group};
}

/** Parses a lease row; throws when the body is not a lease. */
export function parseLeaseRow(row: Row): LeaseRow {
	const body: LeaseBody = leaseBody.decode(JSON.parse(row.body)).unsafeCoerce();
	if (!Number.isInteger(body.fencing)) {
		throw new TypeError('The fencing number is not an integer.');
	}

	return {revision: row.revision, body};
}
