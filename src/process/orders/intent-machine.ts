import type {EngineState} from '../../ports/engine.ts';
import type {WantedState} from '../../ports/order.ts';
import {isDisruptive, type Intent, type IntentRow} from './intent-row.ts';

/** Durations of orders, in milliseconds. */
export type IntentTimes = {
	/** Time after which an engine has closed its idle connections: its idle limit plus a margin for its timers. */
	readonly quiescenceMs: number;
	/** Maximum age of a reading that counts as current; shorter than the restart of an engine. */
	readonly maxReadingAgeMs: number;
};

/** Durations in production. */
export const intentTimes: IntentTimes = {quiescenceMs: 2100, maxReadingAgeMs: 1000};

/** Safety rules of orders. All are on in production; guard tests switch one off to show which invariant then breaks. */
export type IntentGuards = {
	/** No order is recorded or sent before the connections of earlier holders are closed. */
	readonly waitsUntilQuiescent: boolean;
	/** No second order is recorded while one is pending. */
	readonly resolvesPending: boolean;
	/** An order counts as done only when the engine shows it. */
	readonly readsBack: boolean;
	/** An order that interrupts requests is sent only to an engine that drains. */
	readonly needsDrain: boolean;
};

/** All rules switched on. */
export const intentGuards: IntentGuards = {
	waitsUntilQuiescent: true, resolvesPending: true, readsBack: true, needsDrain: true,
};

/** Rules and durations of orders. */
export type IntentOptions = {
	readonly times: IntentTimes;
	readonly guards: IntentGuards;
};

/** Input of a decision besides the facts. */
export type IntentContext = IntentOptions & {
	readonly leaseGrant: LeaseGrant;
	readonly now: number;
};

/** The part of a held lease that orders depend on. */
export type LeaseGrant = {
	readonly group: string;
	readonly fencing: number;
	/** Time at which the holder learned that the lease was granted. */
	readonly grantedAt: number;
};

/** State of an engine, read on a separate connection. */
export type EngineReading = {
	readonly state: EngineState;
	readonly startedAt: number;
	readonly answeredAt: number;
};

/** What a lease holder knows about one engine in one lease period. */
export type EngineFacts = {
	/** Absent until it is read in this lease period, and after each write with an unknown outcome. */
	readonly intent?: IntentRow;
	readonly reading?: EngineReading;
	/** All connections that may still carry an earlier order were opened before this time. */
	readonly earlierConnectionsBefore: number;
	/** Time of the first answer to a reading that began after `earlierConnectionsBefore`; by then the engine has accepted all those connections. */
	readonly firstAnsweredAt?: number;
	readonly sent?: {
		readonly orderId: string;
		readonly isRefused: boolean;
		/** Values from before this order was sent; they apply again once the order has taken effect. */
		readonly previous: Pick<EngineFacts, 'earlierConnectionsBefore' | 'firstAnsweredAt'>;
	};
};

/** State that an engine is to reach; an earlier order with the same goal id served the same purpose. */
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
		/** Nothing can be done until a later reading. */
		| {readonly kind: 'wait'}
		| {readonly kind: 'write'; readonly expected: number; readonly intent: Intent}
		| {readonly kind: 'send'; readonly intent: Intent};

/** Creates the facts at the start of a lease period. */
export function createEngineFacts(leaseGrant: LeaseGrant): EngineFacts {
	return {earlierConnectionsBefore: leaseGrant.grantedAt};
}

/** Adds a reading of the engine. */
export function recordReading(facts: EngineFacts, reading: EngineReading): EngineFacts {
	const {firstAnsweredAt = reading.startedAt >= facts.earlierConnectionsBefore ? reading.answeredAt : undefined} = facts;
	return {...facts, reading, firstAnsweredAt};
}

/** Adds an order that was sent to the engine, with the time at which its connection was closed. */
export function recordSend(facts: EngineFacts, orderId: string, isRefused: boolean, closedAt: number): EngineFacts {
	const {earlierConnectionsBefore, firstAnsweredAt} = facts;
	return {
		...facts, sent: {orderId, isRefused, previous: {earlierConnectionsBefore, firstAnsweredAt}}, earlierConnectionsBefore: closedAt, firstAnsweredAt: undefined,
	};
}

/** Adds the intent row as read or written. An own order that is done can no longer arrive, so the values from before it apply again. */
export function recordIntent(facts: EngineFacts, intent: IntentRow): EngineFacts {
	const {sent} = facts;
	const {body} = intent;
	return sent !== undefined && body?.phase === 'done' && body.orderId === sent.orderId
		? {...facts, intent, ...sent.previous}
		: {...facts, intent};
}

/** True when the order for a goal is done and the engine still reports it as its last order. */
export function isGoalReached(facts: EngineFacts, goal: OrderGoal): boolean {
	const {intent, reading} = facts;
	return intent?.body?.goal === goal.id
		&& intent.body.phase === 'done'
		&& reading?.state.orderId === intent.body.orderId
		&& reading.state.phase === 'ready';
}

/** Decides the lease holder's next action for one engine. The goal carries an unused order id for a new intent. */
export function decideIntent(
	facts: EngineFacts,
	goal: (OrderGoal & {readonly orderId: string}) | undefined,
	context: IntentContext,
): IntentAction {
	const {leaseGrant} = context;
	const {intent} = facts;
	if (intent === undefined) {
		return {kind: 'read-intent'};
	}

	const {body, revision} = intent;
	if (body !== undefined && body.group !== leaseGrant.group) {
		return {kind: 'blocked', reason: `The last order was given by group ${body.group}.`};
	}

	if (body?.phase === 'pending' && (context.guards.resolvesPending || body.fencing === leaseGrant.fencing)) {
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
			orderId, group: leaseGrant.group, fencing: leaseGrant.fencing, wanted, goal: goal.id, planId, phase: 'pending',
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
	const resolveAs = (phase: 'done' | 'superseded'): IntentAction => ({kind: 'write', expected: revision, intent: {...body, phase}});
	if (!context.guards.readsBack && isSent) {
		return resolveAs('done');
	}

	if (isSent && sent.isRefused) {
		return resolveAs('superseded');
	}

	if (reading !== undefined && reading.startedAt >= earlierConnectionsBefore && reading.state.orderId === body.orderId) {
		return reading.state.phase === 'ready' ? resolveAs('done') : readOrWait(facts, context);
	}

	if (!isReadingCurrent(facts, context) || !isQuiescent(facts, context)) {
		return readOrWait(facts, context);
	}

	if (!isOwn || !isChangeAllowed(facts, body.wanted, context)) {
		return isReadingConclusive(facts, context) ? resolveAs('superseded') : {kind: 'wait'};
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

/** True when the reading began after every earlier connection was closed; an order that it does not show will never take effect. */
function isReadingConclusive({firstAnsweredAt, reading}: EngineFacts, {times, guards}: IntentOptions): boolean {
	return reading !== undefined
		&& (!guards.waitsUntilQuiescent || (firstAnsweredAt !== undefined && reading.startedAt >= firstAnsweredAt + times.quiescenceMs));
}

function isChangeAllowed({reading}: EngineFacts, wanted: WantedState, {guards}: IntentOptions): boolean {
	return !guards.needsDrain || !isDisruptive(wanted) || reading?.state.draining === true;
}
