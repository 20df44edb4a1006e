import type {LeaseBody, LeaseRow} from './lease-row.ts';

/** Durations of a lease, in milliseconds. */
export type LeaseTimes = {
	readonly durationMs: number;
	readonly renewalMs: number;
	/** Ends the holder's own view of the lease early; covers differences in the speed of clocks. */
	readonly marginMs: number;
	/** Wait before the next try after the table was unavailable. */
	readonly retryMs: number;
};

/** Durations in production. */
export const defaultLeaseTimes: LeaseTimes = {
	durationMs: 8000, renewalMs: 2500, marginMs: 500, retryMs: 500,
};

/** Safety rules of the lease; only mutation checks switch one off. */
export type LeaseGuards = {
	/** An observer sees one revision for the whole duration before it takes over. */
	readonly observesDuration: boolean;
	/** The duration counts from before the request was sent. */
	readonly countsFromSend: boolean;
	/** An ambiguous write is settled by reading back. */
	readonly readsBack: boolean;
	/** Each grant has a new fencing number. */
	readonly raisesFencing: boolean;
};

/** All rules on. */
export const allLeaseGuards: LeaseGuards = {
	observesDuration: true, countsFromSend: true, readsBack: true, raisesFencing: true,
};

/** Identity and rules of one candidate. */
export type LeaseOptions = {
	readonly daemon: string;
	readonly times: LeaseTimes;
	readonly guards: LeaseGuards;
};

/** A lease as its holder knows it; times are milliseconds of the holder's monotonic clock. */
export type HeldLease = {
	readonly token: string;
	readonly fencing: number;
	readonly revision: number;
	readonly grantedAt: number;
	readonly expiresAt: number;
	readonly renewAt: number;
};

type PendingWrite = {
	readonly purpose: 'acquire' | 'renew' | 'release';
	readonly expected: number;
	readonly body: LeaseBody;
	/** Time before the first request with this content was sent. */
	readonly sentAt: number;
};

/** State of one candidate for one lease. */
export type LeaseState = {
	readonly isCandidate: boolean;
	readonly observation?: {readonly row: LeaseRow | undefined; readonly since: number};
	readonly inFlight?: 'read' | 'write';
	/** A write whose effect is not settled. */
	readonly pendingWrite?: PendingWrite;
	readonly held?: HeldLease;
	readonly nextReadAt: number;
};

/** Input of the lease machine. */
export type LeaseEvent
	= | {readonly kind: 'tick'; /** Fresh random token, used if the lease is acquired. */ readonly token: string}
		| {readonly kind: 'candidacy'; readonly isCandidate: boolean}
		| {readonly kind: 'read'; readonly row: LeaseRow | undefined}
		| {readonly kind: 'written'}
		| {readonly kind: 'failed'; readonly failure: 'conflict' | 'unavailable' | 'unknown'};

/** Request to the table that a decision asks for. */
export type LeaseCommand
	= | {readonly kind: 'read'}
		| {readonly kind: 'write'; readonly expected: number; readonly body: LeaseBody};

/** Next state, and the request to send if any. */
export type LeaseDecision = {readonly state: LeaseState; readonly command?: LeaseCommand};

/** State of a candidate that has seen nothing yet. */
export const initialLease: LeaseState = {isCandidate: false, nextReadAt: Number.NEGATIVE_INFINITY};

/** Returns the lease while it is valid at a time of the holder's clock, in milliseconds. */
export function currentLease(state: LeaseState, now: number): HeldLease | undefined {
	return state.held !== undefined && now < state.held.expiresAt ? state.held : undefined;
}

/** Decides what a candidate does at an event; `now` in milliseconds of its monotonic clock. */
export function decideLease(state: LeaseState, event: LeaseEvent, now: number, options: LeaseOptions): LeaseDecision {
	switch (event.kind) {
		case 'tick': {
			return decideTick({...state, held: currentLease(state, now)}, event.token, now, options);
		}

		case 'candidacy': {
			return {state: {...state, isCandidate: event.isCandidate}};
		}

		case 'read': {
			return {state: settleRead({...state, inFlight: undefined}, event.row, now, options)};
		}

		case 'written': {
			const {pendingWrite: claim} = state;
			const next = {...state, inFlight: undefined, pendingWrite: undefined};
			return {state: claim === undefined ? next : applyPendingWrite(next, claim, now, options)};
		}

		case 'failed': {
			return {state: settleFailure(state, event.failure, now, options)};
		}
	}
}

function decideTick(state: LeaseState, token: string, now: number, options: LeaseOptions): LeaseDecision {
	if (state.inFlight !== undefined) {
		return {state};
	}

	if (state.pendingWrite !== undefined) {
		return read(state, now, options);
	}

	if (state.held !== undefined) {
		return decideHolder(state, state.held, now, options);
	}

	if (!state.isCandidate) {
		return {state};
	}

	const {observation} = state;
	if (observation !== undefined && canTakeOver(observation, now, options)) {
		return acquire(state, token, now, options);
	}

	return now >= state.nextReadAt ? read(state, now, options) : {state};
}

function decideHolder(state: LeaseState, held: HeldLease, now: number, options: LeaseOptions): LeaseDecision {
	const {fencing, token, revision} = held;
	const {durationMs} = options.times;
	if (!state.isCandidate) {
		// The lease ends here before the release is sent, so that no order follows it.
		const body = {
			holder: '', token, fencing, durationMs,
		};
		return write({...state, held: undefined}, {
			purpose: 'release', expected: revision, body, sentAt: now,
		});
	}

	if (now < held.renewAt) {
		return {state};
	}

	const body = {
		holder: options.daemon, token, fencing, durationMs,
	};
	return write(state, {
		purpose: 'renew', expected: revision, body, sentAt: now,
	});
}

function canTakeOver(
	observation: NonNullable<LeaseState['observation']>,
	now: number,
	{times, guards}: LeaseOptions,
): boolean {
	const {row, since} = observation;
	return row === undefined
		|| row.body.holder === ''
		|| !guards.observesDuration
		|| now - since >= Math.max(row.body.durationMs, times.durationMs);
}

function acquire(state: LeaseState, token: string, now: number, options: LeaseOptions): LeaseDecision {
	const row = state.observation?.row;
	const last = row?.body.fencing ?? 0;
	const body = {
		holder: options.daemon,
		token,
		fencing: options.guards.raisesFencing ? last + 1 : Math.max(last, 1),
		durationMs: options.times.durationMs,
	};
	return write(state, {
		purpose: 'acquire', expected: row?.revision ?? 0, body, sentAt: now,
	});
}

function read(state: LeaseState, now: number, {times}: LeaseOptions): LeaseDecision {
	return {state: {...state, inFlight: 'read', nextReadAt: now + times.renewalMs}, command: {kind: 'read'}};
}

function write(state: LeaseState, claim: PendingWrite): LeaseDecision {
	const {expected, body} = claim;
	return {state: {...state, inFlight: 'write', pendingWrite: claim}, command: {kind: 'write', expected, body}};
}

function settleRead(state: LeaseState, row: LeaseRow | undefined, now: number, options: LeaseOptions): LeaseState {
	const {pendingWrite: claim, held, observation} = state;
	const isSameRevision = observation !== undefined && observation.row?.revision === row?.revision;
	const next = {...state, pendingWrite: undefined, observation: isSameRevision ? observation : {row, since: now}};
	if (claim !== undefined && row?.revision === claim.expected + 1 && row.body.token === claim.body.token) {
		return applyPendingWrite(next, claim, now, options);
	}

	if (held === undefined) {
		return next;
	}

	// A write that landed late keeps the token; it proves the tenure but does not extend it.
	return row?.body.token === held.token && row.body.holder === options.daemon
		? {...next, held: {...held, revision: row.revision}}
		: {...next, held: undefined};
}

function settleFailure(
	state: LeaseState,
	failure: 'conflict' | 'unavailable' | 'unknown',
	now: number,
	options: LeaseOptions,
): LeaseState {
	const {pendingWrite: claim, held, inFlight} = state;
	const retryAt = now + options.times.retryMs;
	const next = {...state, inFlight: undefined};
	if (claim === undefined || inFlight === 'read') {
		return {...next, nextReadAt: retryAt};
	}

	if (failure === 'unavailable') {
		const postponed = held === undefined ? undefined : {...held, renewAt: Math.max(held.renewAt, retryAt)};
		return {
			...next, pendingWrite: undefined, held: postponed, nextReadAt: retryAt,
		};
	}

	if (failure === 'unknown' && !options.guards.readsBack) {
		return applyPendingWrite({...next, pendingWrite: undefined}, claim, now, options);
	}

	// The claim stays and is settled by a read: a conflict may come from an earlier write of the same claim.
	return next;
}

function applyPendingWrite(state: LeaseState, claim: PendingWrite, now: number, options: LeaseOptions): LeaseState {
	const {times, guards} = options;
	const row = {revision: claim.expected + 1, body: claim.body};
	const next = {...state, observation: {row, since: now}};
	const start = guards.countsFromSend ? claim.sentAt : now;
	const held = {
		token: claim.body.token,
		fencing: claim.body.fencing,
		revision: row.revision,
		grantedAt: claim.purpose === 'renew' ? state.held?.grantedAt ?? now : now,
		expiresAt: start + times.durationMs - times.marginMs,
		renewAt: start + times.renewalMs,
	};
	switch (claim.purpose) {
		case 'acquire': {
			return now < held.expiresAt ? {...next, held} : next;
		}

		case 'renew': {
			// A tenure that has lapsed is not revived; the next one has a higher fencing number.
			return state.held === undefined ? next : {...next, held};
		}

		case 'release': {
			return next;
		}
	}
}
