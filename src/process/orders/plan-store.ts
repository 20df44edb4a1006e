import {createHash} from 'node:crypto';
import {Left, Right, type Either} from 'purify-ts';
import type {FleetPlan} from '../../version/fleet-plan.ts';
import type {
	Row, RowWrite, StoreFailure, Table,
} from '../../ports/table.ts';
import {
	parsePlanRow, parseTargetRow, planKey, targetKey, type PlanBody, type PlanRow, type TargetBody, type TargetRow,
} from './plan-row.ts';

/** Why a plan was not submitted or cancelled. After `unknown` the write may have been applied; after the other kinds it was not. */
export type PlanFailure
	= | {readonly kind: 'conflict'; readonly upstream: string; readonly planId: string; readonly planName: string; readonly author: string}
		| {readonly kind: 'id-in-use'; readonly planId: string}
		| {readonly kind: 'not-found'; readonly planId: string}
		| {readonly kind: 'not-running'; readonly planId: string; readonly state: string}
		| {readonly kind: 'unavailable' | 'unknown'; readonly message: string};

/** A plan with the upstreams that it holds. */
export type PlanView = {
	readonly plan: PlanBody;
	readonly targets: readonly TargetRow[];
};

const maxAttempts = 4;
/** Rows per page; a page of the largest plans stays below the table's limit of 1 MiB. */
const pageSize = 50;

/** Creates the body of a plan row. The same id and content give the same body, so that a repeated submission is recognised. */
export function createPlan(id: string, plan: FleetPlan): PlanBody {
	return {
		id, ...plan, digest: createHash('sha256').update(JSON.stringify(plan)).digest('hex'), finished: [], state: 'running', isAutomatic: false,
	};
}

/** Creates a plan and its hold on each upstream in one transaction. After a lost answer the plan is read back to learn the outcome. */
export async function submitPlan(table: Table, plan: PlanBody): Promise<Either<PlanFailure, PlanBody>> {
	let failure: PlanFailure = {kind: 'unavailable', message: 'not tried'};
	for (let count = 0; count < maxAttempts; count += 1) {
		const existing = await table.get(planKey(plan.id));
		const found = existing.map(row => (row === undefined ? undefined : parsePlanRow(row)));
		if (found.isLeft()) {
			// The outcome of a write whose answer was lost stays unknown until a read shows it.
			failure = failure.kind === 'unknown' ? failure : toFailure(found.extract());
			continue;
		}

		const stored = found.orDefault(undefined);
		if (stored !== undefined) {
			return stored.body.digest === plan.digest ? Right(stored.body) : Left({kind: 'id-in-use', planId: plan.id});
		}

		const result = await writePlan(table, plan);
		if (result.isRight()) {
			return Right(plan);
		}

		const next = result.extract() as PlanFailure | undefined;
		// A hold of the same plan comes from an earlier write of this submission that was applied late.
		if (next?.kind === 'conflict' && next.planId !== plan.id) {
			return Left(next);
		}

		failure = next ?? failure;
	}

	return Left(failure);
}

/** Cancels a plan. Upstreams that still wait are released at once; the others return to service or finish their change. */
export async function cancelPlan(table: Table, id: string): Promise<Either<PlanFailure, PlanBody>> {
	let failure: PlanFailure = {kind: 'unavailable', message: 'not tried'};
	for (let count = 0; count < maxAttempts; count += 1) {
		const view = await readPlanView(table, id);
		if (view.isLeft()) {
			const next = view.extract();
			if (next.kind === 'not-found') {
				return Left(next);
			}

			failure = failure.kind === 'unknown' ? failure : next;
			continue;
		}

		const {row, targets} = view.unsafeCoerce();
		if (row.body.state === 'cancelled') {
			return Right(row.body);
		}

		if (row.body.state === 'done') {
			return Left({kind: 'not-running', planId: id, state: row.body.state});
		}

		const body: PlanBody = {...row.body, state: 'cancelled'};
		const released = targets.filter(target => target.body.phase === 'waiting');
		const result = await table.write([
			{
				kind: 'put', key: planKey(id), expected: row.revision, body: JSON.stringify(body),
			},
			...released.map((target): RowWrite => ({kind: 'delete', key: targetKey(target.upstream), expected: target.revision})),
		]);
		if (result.isRight()) {
			return Right(body);
		}

		failure = toFailure(result.extract() as StoreFailure);
	}

	return Left(failure);
}

/** Reads all plans, ordered by id. */
export async function listPlans(table: Table): Promise<Either<PlanFailure, readonly PlanBody[]>> {
	const rows = await queryAll(table, 'plan');
	return rows.map(list => list.map(row => parsePlanRow(row).body)).mapLeft(toFailure);
}

/** Reads a plan and the upstreams that it holds. */
export async function showPlan(table: Table, id: string): Promise<Either<PlanFailure, PlanView>> {
	const view = await readPlanView(table, id);
	return view.map(({row, targets}) => ({plan: row.body, targets}));
}

/** Reads the holds of all plans. */
export async function readTargets(table: Table): Promise<Either<StoreFailure, readonly TargetRow[]>> {
	const rows = await queryAll(table, 'plan-target');
	return rows.map(list => list.map(row => parseTargetRow(row)));
}

async function readPlanView(
	table: Table,
	id: string,
): Promise<Either<PlanFailure, {readonly row: PlanRow; readonly targets: readonly TargetRow[]}>> {
	const [plan, targets] = [await table.get(planKey(id)), await readTargets(table)];
	return plan.chain(row => targets.map(list => ({row, list}))).mapLeft(toFailure)
		.chain(({row, list}) => (row === undefined
			? Left({kind: 'not-found', planId: id} as const)
			: Right({row: parsePlanRow(row), targets: list.filter(target => target.body.planId === id)})));
}

/** Attempts the transaction once. An `undefined` failure means that rows changed meanwhile and a retry may succeed. */
async function writePlan(table: Table, plan: PlanBody): Promise<Either<PlanFailure | undefined, void>> {
	const upstreams = [...new Set(plan.steps.flatMap(step => step.upstreams))];
	const holds: RowWrite[] = [];
	for (const upstream of upstreams) {
		const row = await table.get(targetKey(upstream));
		if (row.isLeft()) {
			return Left(toFailure(row.extract()));
		}

		const read = row.orDefault(undefined);
		const held = read === undefined ? undefined : parseTargetRow(read);
		const conflict = held === undefined ? undefined : await findConflict(table, held);
		if (conflict !== undefined) {
			return Left(conflict);
		}

		const body: TargetBody = {
			planId: plan.id, planName: plan.name, author: plan.author, phase: held === undefined ? 'waiting' : 'drained', note: '',
		};
		holds.push({
			kind: 'put', key: targetKey(upstream), expected: held?.revision ?? 0, body: JSON.stringify(body),
		});
	}

	const result = await table.write([
		{
			kind: 'put', key: planKey(plan.id), expected: 0, body: JSON.stringify(plan),
		},
		...holds,
	]);
	return result.mapLeft(failure => (failure.kind === 'conflict' ? undefined : toFailure(failure)));
}

/** Any hold is a conflict, except one on an upstream that a plan which no longer runs has left drained. */
async function findConflict(table: Table, held: TargetRow): Promise<PlanFailure | undefined> {
	const {planId, planName, author, phase} = held.body;
	if (phase === 'drained') {
		const plan = await table.get(planKey(planId));
		if (plan.isLeft()) {
			return toFailure(plan.extract());
		}

		const row = plan.orDefault(undefined);
		if (row === undefined || parsePlanRow(row).body.state !== 'running') {
			return undefined;
		}
	}

	return {
		kind: 'conflict', upstream: held.upstream, planId, planName, author,
	};
}

async function queryAll(table: Table, partition: string): Promise<Either<StoreFailure, readonly Row[]>> {
	const rows: Row[] = [];
	for (;;) {
		const page = await table.query(partition, {after: rows.at(-1)?.key.sort, limit: pageSize});
		if (page.isLeft()) {
			return page;
		}

		const list = page.orDefault([]);
		rows.push(...list);
		if (list.length < pageSize) {
			return Right(rows);
		}
	}
}

function toFailure(failure: StoreFailure): PlanFailure {
	return failure.kind === 'conflict'
		? {kind: 'unavailable', message: 'rows kept changing'}
		: failure;
}
