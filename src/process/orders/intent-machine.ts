import type {EngineState} from '../../ports/engine.ts';
import type {WantedState} from '../../ports/order.ts';
import {isDisruptive, type Intent, type IntentRow} from './intent-row.ts';

/** Durations of orders, in milliseconds. */
export type IntentTimes = {
	/** Idle limit of the engines, and a margin for their timers. */
	readonly quiescenceMs: number;
	/** Age up to which a reading counts as current; less than an engine needs to restart. */
	readonly maxReadingAgeMs: number;
};

/** Durations in production. */
export const intentTimes: IntentTimes = {quiescenceMs: 2100, maxReadingAgeMs: 1000};

/** Safety rules of orders; only mutation checks switch one off. */
export type IntentGuards = {
	/** No order before the connections of earlier holders are closed. */
	readonly waitsUntilQuiescent: boolean;
	/** No second order while one is unresolved. */
	readonly resolvesPending: boolean;
	/** An order counts as done only when the engine shows it. */
	readonly readsBack: boolean;
	/** An order that cuts work is sent only to an engine that takes no new work. */
	readonly needsDrain: boolean;
};

/** All rules on. */
export const intentGuards: IntentGuards = {
	waitsUntilQuiescent: true, resolvesPending: true, readsBack: true, needsDrain: true,
};

/** Rules and durations of orders. */
export type IntentOptions = {
	readonly times: IntentTimes;
	readonly guards: IntentGuards;
};

/** What a decision depends on besides the facts. */
export type IntentContext = IntentOptions & {
	readonly leaseGrant: LeaseGrant;
	readonly now: number;
};

/** A lease as far as orders depend on it. */
export type LeaseGrant = {
	readonly group: string;
	readonly fencing: number;
	/** Time at which the holder learned of its grant. */
	readonly grantedAt: number;
};

/** State of an engine as read on a connection of its own. */
export type EngineReading = {
	readonly state: EngineState;
	readonly startedAt: number;
	readonly answeredAt: number;
};

/** What a holder knows of one engine in one tenure. */
export type EngineFacts = {
	/** Absent until it is read in this tenure, and after each ambiguous write. */
	readonly intent?: IntentRow;
	readonly reading?: EngineReading;
	/** Connections that may still carry an earlier order were opened before this time. */
	readonly earlierConnectionsBefore: number;
	/** First answer to a reading that began after `since`: the engine has accepted all those connections by now. */
	readonly firstAnsweredAt?: number;
	readonly sent?: {
		readonly orderId: string;
		readonly isRefused: boolean;
		/** Knowledge of earlier connections before this order; valid again once the order has taken effect. */
		readonly previous: Pick<EngineFacts, 'earlierConnectionsBefore' | 'firstAnsweredAt'>;
	};
};

/** What an engine is to become; the identifier tells whether an earlier order served the same purpose. */
export type OrderGoal = {
	readonly id: string;
	readonly planId: string;
	readonly wanted: WantedState;
};

/** Next action for one engine. */
export type IntentAction
	= | {readonly kind: 'none'}
		| {readonly kind: 'blocked'; readonly reason: string}
		| {readonly kind: 'read-intent'}
		| {readonly kind: 'read-engine'}
		/** A later reading may show more. */
		| {readonly kind: 'wait'}
		| {readonly kind: 'write'; readonly expected: number; readonly intent: Intent}
		| {readonly kind: 'send'; readonly intent: Intent};

/** Facts at the start of a tenure. */
export function createEngineFacts(tenure: LeaseGrant): EngineFacts {
	return {earlierConnectionsBefore: tenure.grantedAt};
}

/** Adds a reading of the engine. */
export function recordReading(facts: EngineFacts, reading: EngineReading): EngineFacts {
	const {firstAnsweredAt = reading.startedAt >= facts.earlierConnectionsBefore ? reading.answeredAt : undefined} = facts;
	return {...facts, reading, firstAnsweredAt};
}

/** Adds an order that was written to the engine; the time is when its connection was closed. */
export function recordSend(facts: EngineFacts, orderId: string, isRefused: boolean, closedAt: number): EngineFacts {
	const {earlierConnectionsBefore, firstAnsweredAt} = facts;
	return {
		...facts, sent: {orderId, isRefused, previous: {earlierConnectionsBefore, firstAnsweredAt}}, earlierConnectionsBefore: closedAt, firstAnsweredAt: undefined,
	};
}

/** Adds the intent row as read or written; an own order that is done leaves nothing on its way. */
export function recordIntent(facts: EngineFacts, intent: IntentRow): EngineFacts {
	const {sent} = facts;
	const {body} = intent;
	return sent !== undefined && body?.phase === 'done' && body.orderId === sent.orderId
		? {...facts, intent, ...sent.previous}
		: {...facts, intent};
}

/** True when the order for a goal is done and the engine still shows it. */
export function isGoalReached(facts: EngineFacts, goal: OrderGoal): boolean {
	const {intent, reading} = facts;
	return intent?.body?.goal === goal.id
		&& intent.body.phase === 'done'
		&& reading?.state.orderId === intent.body.orderId
		&& reading.state.phase === 'ready';
}

/** Decides what a holder does next for one engine; the order id is fresh and used for a new intent. */
export function decideIntent(
	facts: EngineFacts,
	goal: (OrderGoal & {readonly orderId: string}) | undefined,
	context: IntentContext,
): IntentAction {
	const {leaseGrant: tenure} = context;
	const {intent} = facts;
	if (intent === undefined) {
		return {kind: 'read-intent'};
	}

	const {body, revision} = intent;
	if (body !== undefined && body.group !== tenure.group) {
		return {kind: 'blocked', reason: `The last order was given by group ${body.group}.`};
	}

	if (body?.phase === 'pending' && (context.guards.resolvesPending || body.fencing === tenure.fencing)) {
		return decidePending(facts, {revision, body}, context);
	}

	if (goal === undefined || isGoalReached(facts, goal)) {
		return {kind: 'none'};
	}

	if (!isReadingCurrent(facts, context)) {
		return {kind: 'read-engine'};
	}

	if (!isQuiescent(facts, context) || !isChangeAllowed(facts, goal.wanted, context)) {
		return {kind: 'wait'};
	}

	const {orderId, wanted, planId} = goal;
	return {
		kind: 'write',
		expected: revision,
		intent: {
			orderId, group: tenure.group, fencing: tenure.fencing, wanted, goal: goal.id, planId, phase: 'pending',
		},
	};
}

function decidePending(
	facts: EngineFacts,
	{revision, body}: {readonly revision: number; readonly body: Intent},
	context: IntentContext,
): IntentAction {
	const {reading, sent, earlierConnectionsBefore} = facts;
	const isOwn = body.fencing === context.leaseGrant.fencing;
	const isSent = isOwn && sent?.orderId === body.orderId;
	const close = (phase: 'done' | 'superseded'): IntentAction => ({kind: 'write', expected: revision, intent: {...body, phase}});
	if (!context.guards.readsBack && isSent) {
		return close('done');
	}

	if (isSent && sent.isRefused) {
		return close('superseded');
	}

	if (reading !== undefined && reading.startedAt >= earlierConnectionsBefore && reading.state.orderId === body.orderId) {
		return reading.state.phase === 'ready' ? close('done') : readOrWait(facts, context);
	}

	if (!isReadingCurrent(facts, context) || !isQuiescent(facts, context)) {
		return readOrWait(facts, context);
	}

	if (!isOwn || !isChangeAllowed(facts, body.wanted, context)) {
		return isReadingConclusive(facts, context) ? close('superseded') : {kind: 'wait'};
	}

	return !isSent || isReadingConclusive(facts, context) ? {kind: 'send', intent: body} : {kind: 'wait'};
}

function readOrWait(facts: EngineFacts, context: IntentContext): IntentAction {
	return {kind: isReadingCurrent(facts, context) ? 'wait' : 'read-engine'};
}

function isReadingCurrent({reading}: EngineFacts, {times, now}: IntentContext): boolean {
	return reading !== undefined && reading.startedAt >= now - times.maxReadingAgeMs;
}

function isQuiescent({firstAnsweredAt}: EngineFacts, {times, guards, now}: IntentContext): boolean {
	return !guards.waitsUntilQuiescent || (firstAnsweredAt !== undefined && now >= firstAnsweredAt + times.quiescenceMs);
}

/** True when the reading began after every earlier connection was closed: an order that it does not show will never take effect. */
function isReadingConclusive({firstAnsweredAt, reading}: EngineFacts, {times, guards}: IntentOptions): boolean {
	return reading !== undefined
		&& (!guards.waitsUntilQuiescent || (firstAnsweredAt !== undefined && reading.startedAt >= firstAnsweredAt + times.quiescenceMs));
}

function isChangeAllowed({reading}: EngineFacts, wanted: WantedState, {guards}: IntentOptions): boolean {
	return !guards.needsDrain || !isDisruptive(wanted) || reading?.state.draining === true;
}
