import type {PlanAction} from '../../version/fleet-plan.ts';
import type {PlanRefusal} from '../orders/plan-check.ts';
import {createPartId, type PlanBody} from '../orders/plan-row.ts';
import type {PlanFailure, PlanView} from '../orders/plan-store.ts';

/** Result of a submission or a dry run. */
export type SubmitResult = {
	readonly plan: PlanBody;
	readonly isDryRun: boolean;
	readonly refusals: readonly PlanRefusal[];
};

/** Describes an action in one line. */
export function describeAction(action: PlanAction): string {
	switch (action.kind) {
		case 'load': {
			const {model, adapters, version} = action;
			return [
				'load',
				...(model === undefined ? [] : [`model ${model}`]),
				...(adapters === undefined ? [] : [`adapters ${adapters.join(',')}`]),
				...(version === undefined ? [] : [`version ${version}`]),
			].join(' ');
		}

		case 'role': {
			return `change role to ${action.role}`;
		}

		case 'replace': {
			return `replace with ${action.replacement}`;
		}

		case 'drain':
		case 'undrain': {
			return action.kind;
		}
	}
}

/** Formats the steps of a plan; `formatSuffix` returns the text that follows each upstream. */
export function formatSteps(plan: PlanBody, formatSuffix: (part: string, upstream: string) => string): readonly string[] {
	return plan.steps.flatMap((step, index) => [
		`  step ${index + 1}: ${describeAction(step.action)}`,
		...step.upstreams.map(upstream => `    ${upstream}${formatSuffix(createPartId(index, upstream), upstream)}`),
	]);
}

/** Formats the result of a submission. */
export function formatSubmit({plan, isDryRun, refusals}: SubmitResult): string {
	const title = isDryRun
		? `Dry run: plan "${plan.name}" by ${plan.author} would do:`
		: `Plan ${plan.id} ("${plan.name}" by ${plan.author}) is submitted:`;
	const lines = formatSteps(plan, part => {
		const reasons = refusals.filter(refusal => `${refusal.step}/${refusal.upstream}` === part).map(refusal => refusal.reason);
		return reasons.length === 0 ? '' : ` REFUSED: ${reasons.join('; ')}`;
	});
	return [title, ...lines].join('\n');
}

/** Formats a plan and its progress. */
export function formatPlan({plan, targets}: PlanView): string {
	const parts = plan.steps.reduce((sum, step) => sum + step.upstreams.length, 0);
	const title = `Plan ${plan.id} ("${plan.name}" by ${plan.author}): ${plan.state}, ${plan.finished.length} of ${parts} finished`;
	const returning = plan.state === 'cancelled' && targets.some(target => target.body.phase !== 'drained')
		? ['  Upstreams are returning to service.']
		: [];
	const shown = new Set<string>();
	const lines = formatSteps(plan, (part, upstream) => {
		if (plan.finished.includes(part)) {
			return ' finished';
		}

		const target = targets.find(candidate => candidate.upstream === upstream);
		if (target === undefined || shown.has(upstream)) {
			return '';
		}

		shown.add(upstream);
		const {phase, note} = target.body;
		return note === '' ? ` ${phase}` : ` ${phase}: ${note}`;
	});
	return [title, ...returning, ...lines].join('\n');
}

/** Formats a list of plans, one line per plan. */
export function formatPlans(plans: readonly PlanBody[]): string {
	return plans.length === 0
		? 'No plans.'
		: plans.map(plan => `${plan.id}\t${plan.state}\t${plan.name}\t${plan.author}`).join('\n');
}

/** Describes why an operation on a plan failed. */
export function describeFailure(failure: PlanFailure): string {
	switch (failure.kind) {
		case 'conflict': {
			return `upstream ${failure.upstream} is held by plan ${failure.planId} ("${failure.planName}" by ${failure.author}); nothing was written`;
		}

		case 'id-in-use': {
			return `plan id ${failure.planId} belongs to a plan with other content; nothing was written`;
		}

		case 'not-found': {
			return `there is no plan ${failure.planId}`;
		}

		case 'not-running': {
			return `plan ${failure.planId} is ${failure.state}`;
		}

		case 'unavailable': {
			return `the platform is unavailable and nothing was written: ${failure.message}`;
		}

		case 'unknown': {
			return `it is unknown whether the write was applied (${failure.message}); repeat the command with the same id`;
		}
	}
}
