import {z} from 'zod';
import type {Row, RowKey} from '../../ports/table.ts';

/** Minimum time between the starts of two loads from the weight store, in milliseconds. */
export const loadSpacingMs = 5000;

/** Fraction of the spacing within which a reserved load must start; the next reservation waits for the whole spacing. */
const reservationHoldFraction = 0.5;

/** Key of the row that spaces loads from the weight store, for the whole fleet. */
export const reservationKey: RowKey = {partition: 'reservation', sort: 'weight-store'};

/** Reservation row as one observer sees it; `firstSeenAt` is when it first saw this revision, on its own clock. */
export type ReservationObservation = {
	readonly revision: number;
	/** Identifies the load that holds the reservation; empty when there is no row. */
	readonly load: string;
	readonly firstSeenAt: number;
};

/** Whether a load may start now. */
export type ReservationDecision = 'held' | 'take' | 'wait';

const reservationBody = z.object({load: z.string()});

/** Updates an observation with the row as read; an unchanged revision keeps its time. */
export function observeReservation(
	last: ReservationObservation | undefined,
	row: Row | undefined,
	now: number,
): ReservationObservation {
	const revision = row?.revision ?? 0;
	if (last?.revision === revision) {
		return last;
	}

	return {revision, load: row === undefined ? '' : reservationBody.parse(JSON.parse(row.body)).load, firstSeenAt: now};
}

/** Decides whether a load may start. Each observer measures the age of the row itself, so that no clocks of different hosts are compared. */
export function decideReservation(
	observation: ReservationObservation,
	load: string,
	now: number,
	spacingMs: number,
): ReservationDecision {
	const age = now - observation.firstSeenAt;
	if (observation.load === load && age < spacingMs * reservationHoldFraction) {
		return 'held';
	}

	return observation.revision === 0 || age >= spacingMs ? 'take' : 'wait';
}
