import type {WantedState} from '../../ports/order.ts';
import type {PlanAction} from '../../version/fleet-plan.ts';
import {isGoalReached, type EngineFacts, type OrderGoal} from './intent-machine.ts';
import {
	areEarlierStepsFinished, findCurrentStep, createPartId, type PlanBody, type TargetBody, type TargetPhase,
} from './plan-row.ts';
import type {ReservationDecision} from './reservation.ts';

/** Safety rules of plans. All are on in production; guard tests switch one off to show which invariant then breaks. */
export type PlanGuards = {
	/** An order that interrupts requests is written only when none are in flight at the engine. */
	readonly waitsUntilIdle: boolean;
	/** The last ready replica of a model in an availability zone is never drained. */
	readonly keepsLastReplica: boolean;
	/** Loads from the weight store start at a minimum distance in time. */
	readonly spacesLoads: boolean;
};

/** All rules switched on. */
export const planGuards: PlanGuards = {waitsUntilIdle: true, keepsLastReplica: true, spacesLoads: true};

/** Durations and rules of plans. */
export type PlanOptions = {
	/** Time after which no daemon routes to an upstream any more whose row says `draining`, in milliseconds. */
	readonly drainPropagationMs: number;
	readonly guards: PlanGuards;
};

/** Time within which every daemon learns that an upstream drains, in milliseconds; the same limit as for a leaving upstream. */
export const drainPropagationMs = 3000;

/** What the lease holder knows about one upstream that a plan holds. */
export type TargetFacts = {
	readonly upstream: string;
	readonly plan: PlanBody;
	readonly target: TargetBody;
	readonly engine: EngineFacts;
	/** Time at which this lease holder first saw the current phase. */
	readonly phaseSince: number;
	/** Number of other ready replicas of the same model in the availability zone. */
	readonly readyPeers: number;
	/** True when another upstream of the group is being changed. */
	readonly isGroupBusy: boolean;
	/** True when the upstream that takes over in a `replace` step is ready. */
	readonly isReplacementReady: boolean;
	readonly reservation: ReservationDecision;
};

/** Next action for an upstream that a plan holds; the goal of a `wait` is the state that its engine is to reach meanwhile. */
export type TargetDecision
	= | {readonly kind: 'wait'; readonly note: string; readonly goal?: OrderGoal}
		| {readonly kind: 'move'; readonly phase: TargetPhase}
		| {readonly kind: 'reserve'}
		| {readonly kind: 'finish'; readonly phase: 'released' | 'drained'; readonly part?: string};

/** Decides the next action for one upstream that a plan holds. */
export function decideTarget(facts: TargetFacts, now: number, options: PlanOptions): TargetDecision {
	const {plan, target, upstream} = facts;
	const step = findCurrentStep(plan, upstream);
	const {action} = plan.steps[step] ?? {};
	if (plan.state !== 'running' || action === undefined) {
		return decideAfterCancellation(facts);
	}

	const part = createPartId(step, upstream);
	switch (target.phase) {
		case 'waiting':
		case 'drained': {
			return areEarlierStepsFinished(plan, step)
				? decideStart(facts, action, options)
				: {kind: 'wait', note: 'An earlier step is not finished.'};
		}

		case 'draining': {
			return decideDraining(facts, action, now, options);
		}

		case 'changing': {
			return decideChanging(facts, action);
		}

		case 'undraining': {
			const goal = createGoal(facts, 'undrain', {drain: false});
			return isGoalReached(facts.engine, goal) ? finishUndrain(action, part) : {kind: 'wait', note: '', goal};
		}
	}
}

/** Creates the id of one load for the reservation row. It includes the intent revision, so that a load that is repeated after a crash needs a new reservation. */
export function createLoadId({plan, upstream, engine}: Pick<TargetFacts, 'plan' | 'upstream' | 'engine'>): string {
	return `${plan.id}/${createPartId(findCurrentStep(plan, upstream), upstream)}/${engine.intent?.revision ?? 0}`;
}

function decideStart(facts: TargetFacts, action: PlanAction, {guards}: PlanOptions): TargetDecision {
	if (action.kind === 'undrain') {
		return {kind: 'move', phase: 'undraining'};
	}

	if (facts.target.phase === 'drained') {
		return {kind: 'move', phase: 'draining'};
	}

	if (facts.isGroupBusy) {
		return {kind: 'wait', note: 'Another upstream of the group is being changed.'};
	}

	if (action.kind === 'replace' && !facts.isReplacementReady) {
		return {kind: 'wait', note: `Its replacement ${action.replacement} is not ready.`};
	}

	return facts.readyPeers === 0 && guards.keepsLastReplica
		? {kind: 'wait', note: 'It is the last ready replica of its model in its availability zone.'}
		: {kind: 'move', phase: 'draining'};
}

function decideDraining(facts: TargetFacts, action: PlanAction, now: number, options: PlanOptions): TargetDecision {
	const {plan, upstream, engine} = facts;
	const isPermanent = action.kind === 'drain' || action.kind === 'replace';
	if (facts.readyPeers === 0 && options.guards.keepsLastReplica) {
		return {kind: 'move', phase: 'undraining'};
	}

	if (now < facts.phaseSince + options.drainPropagationMs) {
		return {kind: 'wait', note: 'The daemons learn that it drains.'};
	}

	const goal = createGoal(facts, 'drain', {drain: true});
	if (!isGoalReached(engine, goal) || engine.reading?.state.draining !== true) {
		return {kind: 'wait', note: '', goal};
	}

	// The same reading shows that the engine accepts no new work and that none is in flight, so the count cannot rise again.
	if (engine.reading.state.inFlight > 0 && options.guards.waitsUntilIdle) {
		return {kind: 'wait', note: 'Requests are in flight at the engine.', goal};
	}

	if (isPermanent) {
		return {kind: 'finish', phase: 'drained', part: createPartId(findCurrentStep(plan, upstream), upstream)};
	}

	if (action.kind !== 'load' || !options.guards.spacesLoads || facts.reservation === 'held') {
		return {kind: 'move', phase: 'changing'};
	}

	return facts.reservation === 'take' ? {kind: 'reserve'} : {kind: 'wait', note: 'The weight store serves another load.', goal};
}

function decideChanging(facts: TargetFacts, action: PlanAction): TargetDecision {
	const {plan, upstream, engine} = facts;
	const goal = createGoal(facts, 'change', toWantedState(action));
	if (isGoalReached(engine, goal)) {
		return {kind: 'finish', phase: 'released', part: createPartId(findCurrentStep(plan, upstream), upstream)};
	}

	const isPending = engine.intent?.body?.phase === 'pending';
	const hasLostDrain = engine.reading?.state.draining === false && engine.reading.state.phase === 'ready';
	// An engine that crashed restarts without its drain flag and may have new work in flight.
	return engine.intent !== undefined && !isPending && hasLostDrain
		? {kind: 'move', phase: 'draining'}
		: {kind: 'wait', note: '', goal};
}

/** Decides the next action once no step is left to run, as after a cancellation: the upstream returns to service or stays drained. */
function decideAfterCancellation(facts: TargetFacts): TargetDecision {
	const {engine} = facts;
	switch (facts.target.phase) {
		case 'waiting': {
			return {kind: 'finish', phase: 'released'};
		}

		case 'drained': {
			return {kind: 'wait', note: ''};
		}

		case 'draining':
		case 'changing': {
			return engine.intent?.body?.phase === 'pending'
				? {kind: 'wait', note: 'An order is being resolved.'}
				: {kind: 'move', phase: 'undraining'};
		}

		case 'undraining': {
			const goal = createGoal(facts, 'return', {drain: false});
			return isGoalReached(engine, goal) ? {kind: 'finish', phase: 'released'} : {kind: 'wait', note: '', goal};
		}
	}
}

function finishUndrain(action: PlanAction, part: string): TargetDecision {
	return action.kind === 'undrain' ? {kind: 'finish', phase: 'released', part} : {kind: 'move', phase: 'waiting'};
}

function createGoal({plan, upstream}: TargetFacts, purpose: string, wanted: WantedState): OrderGoal {
	return {id: `${plan.id}/${createPartId(findCurrentStep(plan, upstream), upstream)}/${purpose}`, planId: plan.id, wanted};
}

function toWantedState(action: PlanAction): WantedState {
	switch (action.kind) {
		case 'load': {
			const {kind, ...weights} = action;
			return {...weights, drain: false};
		}

		case 'role': {
			return {role: action.role, drain: false};
		}

		case 'replace':
		case 'drain':
		case 'undrain': {
			return {drain: action.kind !== 'undrain'};
		}
	}
}
