import {z} from 'zod';
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

const leaseBody = z.object({
	holder: z.string(),
	token: z.string(),
	fencing: z.number().int(),
	durationMs: z.number(),
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
	return {revision: row.revision, body: leaseBody.parse(JSON.parse(row.body))};
}
