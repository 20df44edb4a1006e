import type {LeaseBody, LeaseRow} from './lease-row.ts';

/** Durations of a lease, in milliseconds. */
export type LeaseTimes = {
	readonly durationMs: number;
	readonly renewalMs: number;
	/** Time by which the holder lets its lease expire early; covers clock drift between daemons. */
	readonly marginMs: number;
	/** Delay before the next table call after a failed read or an unavailable table. */
	readonly retryMs: number;
};

/** Lease durations for production. */
export const defaultLeaseTimes: LeaseTimes = {
	durationMs: 8000, renewalMs: 2500, marginMs: 500, retryMs: 500,
};

/** Safety rules of the lease; only mutation checks disable single rules. */
export type LeaseGuards = {
	/** A candidate takes over only after it has observed the same revision for the whole lease duration. */
	readonly observesDuration: boolean;
	/** The lease duration counts from before the write was sent. */
	readonly countsFromSend: boolean;
	/** The outcome of an ambiguous write is determined by reading the row back. */
	readonly readsBack: boolean;
	/** Each grant has a new fencing number. */
	readonly raisesFencing: boolean;
};

/** Epoch of a table that was never restored. */
const firstEpoch = 1;
/** Distance between the fencing numbers of two epochs; far more than the grants of one, and small enough for 2^33 epochs. */
const grantsPerEpoch = 2 ** 20;

/** All safety rules enabled. */
export const allLeaseGuards: LeaseGuards = {
	observesDuration: true, countsFromSend: true, readsBack: true, raisesFencing: true,
};

/** Identity and rules of one candidate. */
export type LeaseOptions = {
	readonly daemon: string;
	readonly times: LeaseTimes;
	readonly guards: LeaseGuards;
};

/** A lease from its holder's point of view; times are in milliseconds of the holder's monotonic clock. */
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
	/** Monotonic time before the first write with this content was sent, in milliseconds. */
	readonly sentAt: number;
};

/** State of one daemon with regard to one lease; times are in milliseconds of its monotonic clock. */
export type LeaseState = {
	readonly isCandidate: boolean;
	readonly observation?: {readonly row: LeaseRow | undefined; readonly since: number};
	readonly inFlight?: 'read' | 'write';
	/** A write whose outcome is not known yet. */
	readonly pendingWrite?: PendingWrite;
	readonly held?: HeldLease;
	readonly nextReadAt: number;
	/** Epoch of the table, and the time since which it is known; undefined if the table names none. */
	readonly epoch?: {readonly number: number; readonly since: number} | undefined;
};

/** Input of the lease state machine. */
export type LeaseEvent
	= | {readonly kind: 'tick'; /** Fresh random token, used if the lease is acquired. */ readonly token: string}
		| {readonly kind: 'candidacy'; readonly isCandidate: boolean}
		| {readonly kind: 'read'; readonly row: LeaseRow | undefined; /** Epoch of the table that the row belongs to. */ readonly epoch?: number | undefined}
		| {readonly kind: 'written'}
		| {readonly kind: 'failed'; readonly failure: 'conflict' | 'unavailable' | 'unknown'};

/** Table call that follows from a decision. */
export type LeaseCommand
	= | {readonly kind: 'read'}
		| {readonly kind: 'write'; readonly expected: number; readonly body: LeaseBody};

/** Next state, and the table call to send if there is one. */
export type LeaseDecision = {readonly state: LeaseState; readonly command?: LeaseCommand};

/** Initial state: not a candidate, no row observed. */
export const initialLease: LeaseState = {isCandidate: false, nextReadAt: Number.NEGATIVE_INFINITY};

/** Returns the lease if it is valid at `now`, in milliseconds of the holder's monotonic clock. */
export function currentLease(state: LeaseState, now: number): HeldLease | undefined {
	return state.held !== undefined && now < state.held.expiresAt ? state.held : undefined;
}

/** Decides how a daemon responds to an event; `now` is in milliseconds of its monotonic clock. */
export function decideLease(state: LeaseState, event: LeaseEvent, now: number, options: LeaseOptions): LeaseDecision {
	switch (event.kind) {
		case 'tick': {
			return decideTick({...state, held: currentLease(state, now)}, event.token, now, options);
		}

		case 'candidacy': {
			return {state: {...state, isCandidate: event.isCandidate}};
		}

		case 'read': {
			return {state: settleRead({...noteEpoch(state, event.epoch, now), inFlight: undefined}, event.row, now, options)};
		}

		case 'written': {
			const {pendingWrite} = state;
			const next = {...state, inFlight: undefined, pendingWrite: undefined};
			return {state: pendingWrite === undefined ? next : applyPendingWrite(next, pendingWrite, now, options)};
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
	if (observation !== undefined && canTakeOver(state, observation, now, options)) {
		return acquire(state, token, now, options);
	}

	return now >= state.nextReadAt ? read(state, now, options) : {state};
}

function decideHolder(state: LeaseState, held: HeldLease, now: number, options: LeaseOptions): LeaseDecision {
	const {fencing, token, revision} = held;
	const {durationMs} = options.times;
	if (!state.isCandidate) {
		// The lease ends locally before the release is sent, so that no order is sent after the release.
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

function noteEpoch(state: LeaseState, epoch: number | undefined, now: number): LeaseState {
	const isKnown = state.epoch?.number === epoch;
	return isKnown ? state : {...state, epoch: epoch === undefined ? undefined : {number: epoch, since: now}};
}

function canTakeOver(
	{epoch}: LeaseState,
	{row, since}: NonNullable<LeaseState['observation']>,
	now: number,
	{times, guards}: LeaseOptions,
): boolean {
	if (!guards.observesDuration) {
		return true;
	}

	if (row === undefined || row.body.holder === '') {
		// A restore may have taken away the row of a holder that does not know yet.
		return epoch === undefined || epoch.number <= firstEpoch || now - epoch.since >= times.durationMs;
	}

	return now - since >= Math.max(row.body.durationMs, times.durationMs);
}

/** Returns the lowest fencing number of the present epoch, which is above all that were granted in earlier ones. */
function fencingFloor({epoch}: LeaseState): number {
	return epoch === undefined || epoch.number <= firstEpoch ? 0 : (epoch.number - firstEpoch) * grantsPerEpoch;
}

function acquire(state: LeaseState, token: string, now: number, options: LeaseOptions): LeaseDecision {
	const row = state.observation?.row;
	const lastFencing = Math.max(row?.body.fencing ?? 0, fencingFloor(state));
	const body = {
		holder: options.daemon,
		token,
		fencing: options.guards.raisesFencing ? lastFencing + 1 : Math.max(lastFencing, 1),
		durationMs: options.times.durationMs,
	};
	return write(state, {
		purpose: 'acquire', expected: row?.revision ?? 0, body, sentAt: now,
	});
}

function read(state: LeaseState, now: number, {times}: LeaseOptions): LeaseDecision {
	return {state: {...state, inFlight: 'read', nextReadAt: now + times.renewalMs}, command: {kind: 'read'}};
}

function write(state: LeaseState, pendingWrite: PendingWrite): LeaseDecision {
	const {expected, body} = pendingWrite;
	return {state: {...state, inFlight: 'write', pendingWrite}, command: {kind: 'write', expected, body}};
}

function settleRead(state: LeaseState, row: LeaseRow | undefined, now: number, options: LeaseOptions): LeaseState {
	const {pendingWrite, held, observation} = state;
	const isSameRevision = observation !== undefined && observation.row?.revision === row?.revision;
	const next = {...state, pendingWrite: undefined, observation: isSameRevision ? observation : {row, since: now}};
	if (pendingWrite !== undefined && row?.revision === pendingWrite.expected + 1 && row.body.token === pendingWrite.body.token) {
		return applyPendingWrite(next, pendingWrite, now, options);
	}

	if (held === undefined) {
		return next;
	}

	// A write that was applied late has the same token: it confirms that the lease is still held but does not extend it.
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
	const {pendingWrite, held, inFlight} = state;
	const retryAt = now + options.times.retryMs;
	const next = {...state, inFlight: undefined};
	if (pendingWrite === undefined || inFlight === 'read') {
		return {...next, nextReadAt: retryAt};
	}

	if (failure === 'unavailable') {
		const postponed = held === undefined ? undefined : {...held, renewAt: Math.max(held.renewAt, retryAt)};
		return {
			...next, pendingWrite: undefined, held: postponed, nextReadAt: retryAt,
		};
	}

	if (failure === 'unknown' && !options.guards.readsBack) {
		return applyPendingWrite({...next, pendingWrite: undefined}, pendingWrite, now, options);
	}

	// The write stays pending until a read determines its outcome: a conflict may come from an earlier write with the same content.
	return next;
}

function applyPendingWrite(state: LeaseState, pendingWrite: PendingWrite, now: number, options: LeaseOptions): LeaseState {
	const {times, guards} = options;
	const row = {revision: pendingWrite.expected + 1, body: pendingWrite.body};
	const next = {...state, observation: {row, since: now}};
	const start = guards.countsFromSend ? pendingWrite.sentAt : now;
	const held = {
		token: pendingWrite.body.token,
		fencing: pendingWrite.body.fencing,
		revision: row.revision,
		grantedAt: pendingWrite.purpose === 'renew' ? state.held?.grantedAt ?? now : now,
		expiresAt: start + times.durationMs - times.marginMs,
		renewAt: start + times.renewalMs,
	};
	switch (pendingWrite.purpose) {
		case 'acquire': {
			return now < held.expiresAt ? {...next, held} : next;
		}

		case 'renew': {
			// A renewal does not revive an expired lease; the next grant has a higher fencing number.
			return state.held === undefined ? next : {...next, held};
		}

		case 'release': {
			return next;
		}
	}
}
