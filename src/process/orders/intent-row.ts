import {z} from 'zod';
import {engineRoles, type WantedState} from '../../ports/order.ts';
import type {Row, RowKey} from '../../ports/table.ts';

/** An order as it is recorded before it is sent. Each engine has one intent row. */
export type Intent = {
	readonly orderId: string;
	/** Group whose lease allowed the order. */
	readonly group: string;
	readonly fencing: number;
	readonly wanted: WantedState;
	/** Id of the goal that the order serves, such as one part of a plan. */
	readonly goal: string;
	readonly planId: string;
	readonly phase: 'pending' | 'done' | 'superseded';
};

/** An intent row as read; the body is `undefined` when there is no row. */
export type IntentRow = {
	readonly revision: number;
	readonly body: Intent | undefined;
};

const intentBody = z.object({
	orderId: z.string(),
	group: z.string(),
	fencing: z.number(),
	wanted: z.object({
		role: z.enum(engineRoles).optional(),
		model: z.string().optional(),
		adapters: z.array(z.string()).optional(),
		version: z.string().optional(),
		drain: z.boolean().optional(),
	}),
	goal: z.string(),
	planId: z.string(),
	phase: z.enum(['pending', 'done', 'superseded']),
});

/** Key of the intent row of an engine. Intent rows are never deleted, so their revisions never repeat. */
export function intentKey(upstream: string): RowKey {
	return {partition: 'intent', sort: upstream};
}

/** Parses an intent row; throws when the body is not an intent. */
export function parseIntentRow(row: Row | undefined): IntentRow {
	return row === undefined
		? {revision: 0, body: undefined}
		: {revision: row.revision, body: intentBody.parse(JSON.parse(row.body))};
}

/** True when an order changes more than the drain flag; such an order interrupts the requests that run at the engine. */
export function isDisruptive(wanted: WantedState): boolean {
	const {drain, ...change} = wanted;
	return Object.keys(change).length > 0;
}
