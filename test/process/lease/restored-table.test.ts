import process from 'node:process';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
	allLeaseGuards, currentLease, decideLease, initialLease, type LeaseCommand, type LeaseEvent, type LeaseState, type LeaseTimes,
} from '../../../src/process/lease/lease-machine.ts';
import type {LeaseBody, LeaseRow} from '../../../src/process/lease/lease-row.ts';

type StoredRow = {readonly body: LeaseBody; readonly revision: number; readonly version: number};
type TableState = {
	readonly row: StoredRow | undefined;
	readonly version: number;
	/** Latest epoch in which a daemon wrote that knew of it; no other daemon writes with a condition from before. */
	readonly knownEpoch: number;
};

/** State of a table without rows. */
const empty: TableState = {row: undefined, version: 1, knownEpoch: 0};
type Grant = {readonly daemon: number; readonly token: string; readonly fencing: number};

const times: LeaseTimes = {
	durationMs: 3000, renewalMs: 1000, marginMs: 300, retryMs: 200,
};
const stepMs = 50;
const runMs = 30_000;
const daemons = 3;
const revisionsPerEpoch = 1_000_000;

const fault = fc.oneof(
	fc.record({
		kind: fc.constant('restore' as const), at: fc.integer({min: 0, max: runMs}), copyAgeMs: fc.integer({min: 200, max: 15_000}), awayMs: fc.integer({min: 0, max: 5000}),
	}),
	fc.record({kind: fc.constant('kill' as const), at: fc.integer({min: 0, max: runMs}), daemon: fc.nat(daemons - 1)}),
	fc.record({
		kind: fc.constant('cut' as const), at: fc.integer({min: 0, max: runMs}), daemon: fc.nat(daemons - 1), forMs: fc.integer({min: 0, max: 6000}),
	}),
	fc.record({kind: fc.constant('resign' as const), at: fc.integer({min: 0, max: runMs}), daemon: fc.nat(daemons - 1)}),
);
type Fault = typeof fault extends fc.Arbitrary<infer T> ? T : never;

/** Lease row of a table that is restored from older copies; versions are given out again after a restore. */
class RestoredTable {
	#state = empty;
	#epoch = 1;
	readonly #history: Array<{readonly at: number; readonly state: TableState}> = [];
	#awayUntil = Number.NEGATIVE_INFINITY;

	get epoch(): number {
		return this.#epoch;
	}

	get row(): StoredRow | undefined {
		return this.#state.row;
	}

	isAway(now: number): boolean {
		return now < this.#awayUntil;
	}

	tick(now: number): void {
		this.#history.push({at: now, state: this.#state});
	}

	restore(now: number, copyAgeMs: number, awayMs: number): void {
		this.#awayUntil = Math.max(this.#awayUntil, now + awayMs);
		this.#state = this.#history.findLast(({at}) => at <= now - copyAgeMs)?.state ?? empty;
		this.#epoch += 1;
	}

	/** Writes the row if it has the expected version; `epoch` is the latest one that the writer knows. */
	write(epoch: number, expectedVersion: number, revision: number, body: LeaseBody): boolean {
		if ((this.#state.row?.version ?? 0) !== expectedVersion || this.#state.knownEpoch > epoch) {
			return false;
		}

		const version = this.#state.version + 1;
		this.#state = {row: {body, revision, version}, version, knownEpoch: epoch};
		return true;
	}
}

/** One daemon; its table calls take a moment, and their answers are lost while it is cut off. */
class Daemon {
	readonly #index: number;
	readonly #table: RestoredTable;
	readonly #latencyMs: () => number;
	#state: LeaseState = initialLease;
	#starts = 0;
	#tokens = 0;
	/** Epoch that the answers have shown, the number of its changes, and the row version of the revision known last. */
	#epoch: number | undefined;
	#epochChanges = 0;
	#known: {readonly revision: number; readonly version: number} | undefined;
	#cutUntil = Number.NEGATIVE_INFINITY;
	readonly #deliveries: Array<{readonly at: number; readonly start: number; readonly run: () => void}> = [];

	constructor(index: number, table: RestoredTable, latencyMs: () => number) {
		this.#index = index;
		this.#table = table;
		this.#latencyMs = latencyMs;
	}

	grant(now: number): Grant | undefined {
		const held = currentLease(this.#state, now);
		return held === undefined ? undefined : {daemon: this.#index, token: held.token, fencing: held.fencing};
	}

	cut(until: number): void {
		this.#cutUntil = until;
	}

	kill(): void {
		this.#starts += 1;
		this.#state = initialLease;
		this.#epoch = undefined;
		this.#epochChanges = 0;
		this.#known = undefined;
	}

	resign(now: number): void {
		this.#handle({kind: 'candidacy', isCandidate: false}, now);
	}

	tick(now: number): void {
		for (const delivery of this.#deliveries.filter(({at}) => at <= now)) {
			this.#deliveries.splice(this.#deliveries.indexOf(delivery), 1);
			delivery.run();
		}

		if (!this.#state.isCandidate && this.#state.held === undefined && this.#state.pendingWrite === undefined) {
			this.#handle({kind: 'candidacy', isCandidate: true}, now);
		}

		this.#tokens += 1;
		this.#handle({kind: 'tick', token: `${this.#index}.${this.#starts}.${this.#tokens}`}, now);
	}

	#handle(event: LeaseEvent, now: number): void {
		const {state, command} = decideLease(this.#state, event, now, {daemon: `d${this.#index}`, times, guards: allLeaseGuards});
		this.#state = state;
		if (command !== undefined) {
			this.#call(command, now);
		}
	}

	#call(command: LeaseCommand, now: number): void {
		const changes = this.#epochChanges;
		const knownEpoch = this.#epoch ?? 0;
		const version = command.kind === 'write' ? this.#conditionVersion(command.expected) : 0;
		this.#at(now + this.#latencyMs(), arrivedAt => {
			if (this.#table.isAway(arrivedAt) || arrivedAt < this.#cutUntil || version === undefined) {
				this.#answer(arrivedAt, () => ({kind: 'failed', failure: version === undefined ? 'conflict' : 'unavailable'}));
				return;
			}

			const isWritten = command.kind === 'write' && this.#table.write(knownEpoch, version, (command.expected % revisionsPerEpoch) + 1, command.body);
			const {row, epoch} = this.#table;
			this.#answer(arrivedAt, answeredAt => {
				if (answeredAt < this.#cutUntil) {
					return {kind: 'failed', failure: command.kind === 'write' ? 'unknown' : 'unavailable'};
				}

				this.#noteEpoch(epoch);
				if (command.kind === 'read') {
					return {kind: 'read', row: this.#decode(row), epoch};
				}

				if (!isWritten) {
					return {kind: 'failed', failure: 'conflict'};
				}

				if (this.#epochChanges !== changes) {
					return {kind: 'failed', failure: 'unknown'};
				}

				this.#known = {revision: command.expected + 1, version: row!.version};
				return {kind: 'written'};
			});
		});
	}

	#answer(now: number, createEvent: (now: number) => LeaseEvent): void {
		this.#at(now + this.#latencyMs(), answeredAt => {
			this.#handle(createEvent(answeredAt), answeredAt);
		});
	}

	/** Runs a step at a time unless the daemon has been killed by then. */
	#at(time: number, run: (now: number) => void): void {
		const start = this.#starts;
		this.#deliveries.push({
			at: time,
			start,
			run: () => {
				if (start === this.#starts) {
					run(time);
				}
			},
		});
	}

	#conditionVersion(expected: number): number | undefined {
		if (expected === 0) {
			return 0;
		}

		return this.#known?.revision === expected ? this.#known.version : undefined;
	}

	#noteEpoch(epoch: number): void {
		if (this.#epoch !== undefined && this.#epoch !== epoch) {
			this.#epochChanges += 1;
			this.#known = undefined;
		}

		this.#epoch = epoch;
	}

	#decode(row: StoredRow | undefined): LeaseRow | undefined {
		if (row === undefined) {
			this.#known = undefined;
			return undefined;
		}

		const revision = (this.#epochChanges * revisionsPerEpoch) + row.revision;
		this.#known = {revision, version: row.version};
		return {revision, body: row.body};
	}
}

/** Runs a schedule; returns what went wrong. */
function run(faults: readonly Fault[], latencies: readonly number[]): readonly string[] {
	const table = new RestoredTable();
	let calls = 0;
	const members = Array.from({length: daemons}, (_, index) => new Daemon(index, table, () => {
		calls += 1;
		return latencies[calls % latencies.length]!;
	}));
	const violations: string[] = [];
	const granted = new Map<number, string>();
	for (let now = 0; now < runMs; now += stepMs) {
		for (const event of faults.filter(({at}) => at >= now && at < now + stepMs)) {
			apply(event, now, table, members);
		}

		table.tick(now);
		for (const member of members) {
			member.tick(now);
		}

		const grants = members.map(member => member.grant(now)).filter(grant => grant !== undefined);
		if (grants.length > 1) {
			violations.push(`${now}: held by ${grants.map(({daemon}) => daemon).join(' and ')}`);
		}

		for (const {fencing, token} of grants) {
			if ((granted.get(fencing) ?? token) !== token) {
				violations.push(`${now}: fencing number ${fencing} was granted twice`);
			}

			granted.set(fencing, token);
		}
	}

	return violations;
}

function apply(event: Fault, now: number, table: RestoredTable, members: readonly Daemon[]): void {
	switch (event.kind) {
		case 'restore': {
			table.restore(now, event.copyAgeMs, event.awayMs);
			return;
		}

		case 'kill': {
			members[event.daemon]!.kill();
			return;
		}

		case 'cut': {
			members[event.daemon]!.cut(now + event.forMs);
			return;
		}

		case 'resign': {
			members[event.daemon]!.resign(now);
		}
	}
}

describe('a lease whose row is restored from an older copy', () => {
	// LEASE_SCHEDULES sets the number of schedules of a run by hand.
	it('has one holder at a time, and no fencing number is granted twice, whenever daemons are killed, cut off or resign', () => {
		fc.assert(fc.property(
			fc.array(fault, {maxLength: 8}),
			fc.array(fc.integer({min: 1, max: 400}), {minLength: 1, maxLength: 6}),
			(faults, latencies) => {
				expect(run(faults, latencies)).toEqual([]);
			},
		), {numRuns: Number(process.env.LEASE_SCHEDULES ?? 300), seed: 54});
	});
});
