import {loadSpacingMs} from '../../../src/process/orders/reservation.ts';
import type {AcceptedOrder} from '../../../src/stand-ins/engine/engine-orders.ts';
import type {History, Schedule} from './schedule.ts';

/** Names of the invariants that a run can violate. */
export type Violation
	= | 'two-holders'
		| 'fencing-repeated'
		| 'conflicting-orders'
		| 'older-authority'
		| 'requests-cut'
		| 'last-replica'
		| 'loads-too-close'
		| 'load-not-reserved'
		| 'stale-record'
		| 'submission-misreported'
		| 'plan-stuck';

/** Factor on the minimum time between loads: the clocks of two daemons differ in speed by up to 2%, so a correct wait can be shorter in simulated time. */
const clockTolerance = 0.97;

/** Returns the names of the invariants that a recorded history violates. */
export function findViolations(history: History, schedule: Schedule): readonly Violation[] {
	const orders = history.engines.map(engine => engine.accepted);
	const checks: ReadonlyArray<readonly [Violation, boolean]> = [
		['two-holders', history.grants.some(grant => grant.holderCount > 1)],
		['fencing-repeated', hasRepeatedFencing(history)],
		['conflicting-orders', orders.flat().some(order => order.conflicts)],
		['older-authority', orders.some(list => hasOlderAuthority(list))],
		['requests-cut', orders.flat().some(order => order.cutRequests > 0)],
		['last-replica', !schedule.faults.some(fault => fault.kind.startsWith('engine')) && takesLastReplica(history)],
		['loads-too-close', history.reservationTimes.some((time, index) => index > 0 && time - history.reservationTimes[index - 1]! < loadSpacingMs * clockTolerance)],
		['load-not-reserved', orders.flat().filter(order => order.wanted.version !== undefined).length > history.reservationTimes.length],
		['stale-record', history.staleRecords > 0],
		['submission-misreported', isMisreported(history)],
		['plan-stuck', history.unfinishedTargets.length > 0],
	];
	return checks.filter(([, isViolated]) => isViolated).map(([name]) => name);
}

function hasRepeatedFencing({grants}: History): boolean {
	return grants.some((grant, index) =>
		grants.slice(0, index).some(earlier => earlier.group === grant.group && earlier.fencing >= grant.fencing));
}

function hasOlderAuthority(orders: readonly AcceptedOrder[]): boolean {
	return orders.some((order, index) => index > 0 && order.fencing < orders[index - 1]!.fencing);
}

/** Returns true when both engines of a zone were drained, or not yet ready after a drain, at the same time. */
function takesLastReplica({engines}: History): boolean {
	return [engines.slice(0, 2), engines.slice(2, 4)].some(([first, second]) => {
		const spans = [first!, second!].map(engine => findDrainedSpans(engine.accepted));
		return spans[0]!.some(span => spans[1]!.some(other => span.from < other.to && other.from < span.to));
	});
}

function findDrainedSpans(orders: readonly AcceptedOrder[]): ReadonlyArray<{readonly from: number; readonly to: number}> {
	return orders.flatMap((order, index) => {
		if (order.wanted.drain !== true) {
			return [];
		}

		const end = orders.slice(index + 1).find(later => later.wanted.drain === false);
		return [{from: order.acceptedAt, to: end?.readyAt ?? Number.POSITIVE_INFINITY}];
	});
}

/** Returns true when a plan that was reported as submitted doesn't exist, or one whose submission was reported as a conflict or as unavailable does. */
function isMisreported({submissions, plans}: History): boolean {
	return submissions.some(({id, outcome}) => {
		const exists = plans.some(plan => plan.id === id);
		return (outcome === 'submitted' && !exists) || ((outcome === 'conflict' || outcome === 'unavailable') && exists);
	});
}
