import type {RowWrite, Table} from '../../ports/table.ts';
import type {HeldLease} from '../lease/lease-machine.ts';
import {leaseKey} from '../lease/lease-row.ts';
import {createLoadId, type TargetDecision, type TargetFacts} from './plan-machine.ts';
import {
	findCurrentStep, planKey, targetKey, type PlanBody, type PlanRow, type TargetBody, type TargetRow,
} from './plan-row.ts';
import {reservationKey, type ReservationObservation} from './reservation.ts';

/** Rows and facts on which a decision about one upstream is based. */
export type DecisionContext = {
	readonly group: string;
	readonly held: HeldLease;
	readonly plan: PlanRow;
	readonly target: TargetRow;
	readonly facts: TargetFacts;
	readonly reservation: ReservationObservation;
};

/** Returns the transaction that records a decision; empty when there is nothing to record. */
export function createDecisionWrites(decision: TargetDecision, context: DecisionContext): readonly RowWrite[] {
	const {target, plan} = context;
	switch (decision.kind) {
		case 'wait': {
			return decision.note === target.body.note
				? []
				: withChecks(context, putTarget(target, {...target.body, note: decision.note}));
		}

		case 'move': {
			return withChecks(context, putTarget(target, {...target.body, phase: decision.phase, note: ''}));
		}

		case 'reserve': {
			const body = JSON.stringify({load: createLoadId(context.facts)});
			const {revision: expected} = context.reservation;
			return withChecks(context, {
				kind: 'put', key: reservationKey, expected, body,
			});
		}

		case 'finish': {
			return decision.part === undefined
				? withChecks(context, releaseTarget(target))
				: createPartCompletion(decision.part, decision.phase, context, plan.body);
		}
	}
}

/** Creates the transaction condition that a plan row is unchanged. */
export function createPlanCheck({revision, body}: PlanRow): RowWrite {
	return {kind: 'check', key: planKey(body.id), expected: revision};
}

/** Writes a decision; returns true when it was recorded. The next round reads the rows again instead of assuming an outcome. */
export async function writeDecision(table: Table, decision: TargetDecision, context: DecisionContext): Promise<boolean> {
	const writes = createDecisionWrites(decision, context);
	if (writes.length === 0) {
		return false;
	}

	const result = await table.write(writes);
	return result.isRight();
}

function createPartCompletion(
	part: string,
	phase: 'released' | 'drained',
	{plan, target, group, held}: DecisionContext,
	body: PlanBody,
): readonly RowWrite[] {
	const finished = [...body.finished, part];
	const partCount = body.steps.reduce((sum, step) => sum + step.upstreams.length, 0);
	const next: PlanBody = {...body, finished, state: finished.length === partCount ? 'done' : 'running'};
	const hasMoreSteps = findCurrentStep(next, target.upstream) !== -1;
	const deletesPlanRow = next.state === 'done' && body.isAutomatic;
	const keepsTarget = phase === 'drained' || hasMoreSteps;
	return [
		deletesPlanRow
			? {kind: 'delete', key: planKey(body.id), expected: plan.revision}
			: {
				kind: 'put', key: planKey(body.id), expected: plan.revision, body: JSON.stringify(next),
			},
		keepsTarget ? putTarget(target, {...target.body, phase: phase === 'drained' ? 'drained' : 'waiting', note: ''}) : releaseTarget(target),
		createLeaseCheck(group, held),
	];
}

function withChecks({plan, group, held}: DecisionContext, write: RowWrite): readonly RowWrite[] {
	return [write, createPlanCheck(plan), createLeaseCheck(group, held)];
}

function createLeaseCheck(group: string, held: HeldLease): RowWrite {
	return {kind: 'check', key: leaseKey(group), expected: held.revision};
}

function putTarget(target: TargetRow, body: TargetBody): RowWrite {
	return {
		kind: 'put', key: targetKey(target.upstream), expected: target.revision, body: JSON.stringify(body),
	};
}

function releaseTarget(target: TargetRow): RowWrite {
	return {kind: 'delete', key: targetKey(target.upstream), expected: target.revision};
}
