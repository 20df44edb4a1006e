import {describe, expect, it} from 'vitest';
import {selectCandidates} from '../../../src/process/lease/candidates.ts';
import {
	currentLease, decideLease, initialLease, allLeaseGuards, defaultLeaseTimes, type LeaseEvent, type LeaseState,
} from '../../../src/process/lease/lease-machine.ts';
import type {LeaseRow} from '../../../src/process/lease/lease-row.ts';

const options = {daemon: 'a', times: defaultLeaseTimes, guards: allLeaseGuards};
const other: LeaseRow = {
	revision: 7,
	body: {
		holder: 'b', token: 'b1', fencing: 4, durationMs: 8000,
	},
};

function run(state: LeaseState, events: ReadonlyArray<readonly [number, LeaseEvent]>) {
	let decision: ReturnType<typeof decideLease> = {state};
	for (const [now, event] of events) {
		decision = decideLease(decision.state, event, now, options);
	}

	return decision;
}

const candidate = run(initialLease, [[0, {kind: 'candidacy', isCandidate: true}]]).state;
const tick = (token: string): LeaseEvent => ({kind: 'tick', token});

describe('decideLease', () => {
	it('takes over only after it has observed one revision for the whole duration, so that a live holder is not replaced', () => {
		const observed: ReadonlyArray<readonly [number, LeaseEvent]> = [[0, tick('a1')], [100, {kind: 'read', row: other}]];
		expect(run(candidate, [...observed, [8099, tick('a2')]]).command).toEqual({kind: 'read'});
		expect(run(candidate, [...observed, [8100, tick('a2')]]).command).toMatchObject({
			kind: 'write', expected: 7, body: {holder: 'a', token: 'a2', fencing: 5},
		});
		const renewed: LeaseEvent = {kind: 'read', row: {...other, revision: 8}};
		expect(run(candidate, [...observed, [2600, tick('a2')], [2700, renewed], [8100, tick('a3')]]).command).toEqual({kind: 'read'});
	});

	it('counts the duration from before the write was sent, so that a slow response does not extend the lease', () => {
		const {state} = run(candidate, [[0, tick('a1')], [10, {kind: 'read', row: undefined}], [20, tick('a2')], [1900, {kind: 'written'}]]);
		expect(currentLease(state, 7519)).toMatchObject({fencing: 1, grantedAt: 1900});
		expect(currentLease(state, 7520)).toBeUndefined();
	});

	it('reads the row back after a lost response, so that the write is neither assumed to have succeeded nor to have failed', () => {
		const claimed: ReadonlyArray<readonly [number, LeaseEvent]> = [
			[0, tick('a1')], [10, {kind: 'read', row: undefined}], [20, tick('a2')], [2020, {kind: 'failed', failure: 'unknown'}],
		];
		const before = run(candidate, claimed).state;
		expect(currentLease(before, 2021)).toBeUndefined();
		const own = {
			revision: 1,
			body: {
				holder: 'a', token: 'a2', fencing: 1, durationMs: 8000,
			},
		};
		const after = run(before, [[2100, tick('a3')], [2110, {kind: 'read', row: own}]]).state;
		expect(currentLease(after, 2111)).toMatchObject({token: 'a2', expiresAt: 7520});
		const foreign = run(before, [[2100, tick('a3')], [2110, {kind: 'read', row: {...own, body: {...own.body, token: 'b2'}}}]]).state;
		expect(currentLease(foreign, 2111)).toBeUndefined();
	});

	it('keeps a pending write while the row cannot be read back, so that an outage does not lose the grant', () => {
		const {state} = run(candidate, [
			[0, tick('a1')],
			[10, {kind: 'read', row: undefined}],
			[20, tick('a2')],
			[2020, {kind: 'failed', failure: 'unknown'}],
			[2100, tick('a3')],
			[2110, {kind: 'failed', failure: 'unavailable'}],
		]);
		expect(state.pendingWrite?.body.token).toBe('a2');
	});

	it('ends the lease locally before the release is sent, so that no order follows the release', () => {
		const held = run(candidate, [[0, tick('a1')], [10, {kind: 'read', row: undefined}], [20, tick('a2')], [30, {kind: 'written'}]]).state;
		const {state, command} = run(held, [[1000, {kind: 'candidacy', isCandidate: false}], [1001, tick('a3')]]);
		expect(command).toMatchObject({kind: 'write', expected: 1, body: {holder: '', fencing: 1}});
		expect(currentLease(state, 1001)).toBeUndefined();
	});
});

describe('selectCandidates', () => {
	it('keeps the candidates of a group when another member leaves, so that such changes cause no handover', () => {
		const members = ['d1', 'd2', 'd3', 'd4', 'd5', 'd6'];
		const before = selectCandidates('press@zone-a', members);
		const bystander = members.find(member => !before.includes(member))!;
		expect(before).toHaveLength(2);
		expect(selectCandidates('press@zone-a', members.filter(member => member !== bystander))).toEqual(before);
	});
});
