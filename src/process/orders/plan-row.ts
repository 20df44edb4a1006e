import {z} from 'zod';
import {engineRoles} from '../../ports/order.ts';
import type {Row, RowKey} from '../../ports/table.ts';

const action = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('load'),
		model: z.string().optional(),
		adapters: z.array(z.string()).readonly().optional(),
		version: z.string().optional(),
	}),
	z.object({kind: z.literal('role'), role: z.enum(engineRoles)}),
	z.object({kind: z.literal('replace'), replacement: z.string()}),
	z.object({kind: z.literal('drain')}),
	z.object({kind: z.literal('undrain')}),
]).readonly();

const planBody = z.object({
	id: z.string(),
	name: z.string(),
	author: z.string(),
	/** Digest of the plan's content; a submitter recognises its own earlier write by it. */
	digest: z.string(),
	steps: z.array(z.object({action, upstreams: z.array(z.string()).readonly(), line: z.number()}).readonly()).readonly(),
	/** Ids of the finished parts, each `STEP/UPSTREAM`. */
	finished: z.array(z.string()).readonly(),
	state: z.enum(['running', 'done', 'cancelled']),
	/** True for a plan that a daemon created; its row is deleted once the plan is done. */
	isAutomatic: z.boolean().default(false),
}).readonly();

const targetBody = z.object({
	planId: z.string(),
	planName: z.string(),
	author: z.string(),
	phase: z.enum(['waiting', 'draining', 'changing', 'undraining', 'drained']),
	/** Why the upstream waits; empty when it does not wait. */
	note: z.string(),
}).readonly();

/** A plan and its progress. */
export type PlanBody = z.infer<typeof planBody>;

/** Hold of a plan on an upstream. The row exists while a plan holds the upstream, and after a plan has left it drained. */
export type TargetBody = z.infer<typeof targetBody>;

/** Phase of an upstream within a plan. */
export type TargetPhase = TargetBody['phase'];

/** A plan row as read. */
export type PlanRow = {readonly revision: number; readonly body: PlanBody};

/** A plan-target row as read. */
export type TargetRow = {readonly upstream: string; readonly revision: number; readonly body: TargetBody};

/** Key of a plan row. The id of a deleted row is never used again: only plans of daemons are deleted, and those have random ids. */
export function planKey(id: string): RowKey {
	return {partition: 'plan', sort: id};
}

/** Key of a plan-target row. Each write of such a row also checks the plan row, because a deleted and recreated row starts again at revision 1. */
export function targetKey(upstream: string): RowKey {
	return {partition: 'plan-target', sort: upstream};
}

/** Parses a plan row; throws when the body is not a plan. */
export function parsePlanRow(row: Row): PlanRow {
	return {revision: row.revision, body: planBody.parse(JSON.parse(row.body))};
}

/** Parses a plan-target row; throws when the body is not one. */
export function parseTargetRow(row: Row): TargetRow {
	return {upstream: row.key.sort, revision: row.revision, body: targetBody.parse(JSON.parse(row.body))};
}

/** Returns the upstreams that get no new work because of a plan. */
export function listDrainingUpstreams(targets: readonly TargetRow[]): ReadonlySet<string> {
	return new Set(targets.filter(({body}) => body.phase !== 'waiting').map(({upstream}) => upstream));
}

/** Creates the id of one part of a plan, a step at one upstream. Step numbers in ids start at 1. */
export function createPartId(step: number, upstream: string): string {
	return `${step + 1}/${upstream}`;
}

/** Returns the index of the first step that is not finished at an upstream; -1 when all are finished. */
export function findCurrentStep(plan: PlanBody, upstream: string): number {
	return plan.steps.findIndex((step, index) =>
		step.upstreams.includes(upstream) && !plan.finished.includes(createPartId(index, upstream)));
}

/** True when every step before the given index is finished at all of its upstreams. */
export function areEarlierStepsFinished(plan: PlanBody, step: number): boolean {
	return plan.steps.slice(0, step).every((earlier, index) =>
		earlier.upstreams.every(upstream => plan.finished.includes(createPartId(index, upstream))));
}
