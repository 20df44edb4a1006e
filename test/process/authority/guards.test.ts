import {describe, expect, it} from 'vitest';
import type {Violation} from '../../../bench/simulation/authority/invariants.ts';
import {allGuards, type Guards} from '../../../bench/simulation/authority/schedule.ts';
import {collectViolations, type FaultRange} from './schedules.ts';

type Mutation = {
	readonly guard: string;
	readonly guards: Partial<Guards>;
	readonly faults: readonly FaultRange[];
	readonly expected: Violation;
};

const {lease, intent, plan} = allGuards;
const firstHolder = [0, 0] as const;

// Each entry switches one safety rule off and names the invariant that is then violated.
const mutations: readonly Mutation[] = [
	{
		guard: 'an observer sees one revision for the whole duration',
		guards: {lease: {...lease, observesDuration: false}},
		faults: [],
		expected: 'two-holders',
	},
	{
		guard: 'the duration counts from before the request was sent',
		guards: {lease: {...lease, countsFromSend: false}},
		faults: [{kind: 'table-loses-answers'}, {kind: 'daemon-cut-from-table'}],
		expected: 'two-holders',
	},
	{
		guard: 'an ambiguous lease write is read back',
		guards: {lease: {...lease, readsBack: false}},
		faults: [{kind: 'table-down'}],
		expected: 'two-holders',
	},
	{
		guard: 'each grant raises the fencing number',
		guards: {lease: {...lease, raisesFencing: false}},
		faults: [{kind: 'daemon-killed'}],
		expected: 'fencing-repeated',
	},
	{
		guard: 'the first order waits until older connections are closed',
		guards: {intent: {...intent, waitsUntilQuiescent: false}},
		faults: [
			{
				kind: 'engine-paused-at-connect', at: [3000, 6000], durationMs: [11_000, 14_000], target: firstHolder,
			},
			{
				kind: 'daemon-paused-before-write', at: [3000, 6000], durationMs: [11_000, 16_000], target: firstHolder,
			},
		],
		expected: 'older-authority',
	},
	{
		guard: 'no second order while one is unresolved',
		guards: {intent: {...intent, resolvesPending: false}},
		faults: [{
			kind: 'daemon-stopped', at: [3000, 23_000], durationMs: [500, 3000], target: firstHolder,
		}],
		expected: 'conflicting-orders',
	},
	{
		guard: 'an order is done only when the engine shows it',
		guards: {intent: {...intent, readsBack: false}},
		faults: [],
		expected: 'conflicting-orders',
	},
	{
		guard: 'an order that cuts work goes only to a drained engine',
		guards: {intent: {...intent, needsDrain: false}},
		faults: [
			{
				kind: 'daemon-cut-from-table', at: [0, 4000], durationMs: [20_000, 30_000], target: [1, 1],
			},
			{
				kind: 'engine-crashes-in-change', at: [0, 4000], durationMs: [20_000, 30_000], target: [0, 1],
			},
		],
		expected: 'requests-cut',
	},
	{
		guard: 'nothing is in flight before a change',
		guards: {plan: {...plan, waitsUntilIdle: false}},
		faults: [],
		expected: 'requests-cut',
	},
	{
		guard: 'the last ready replica stays',
		guards: {plan: {...plan, keepsLastReplica: false}},
		faults: [{kind: 'table-late'}],
		expected: 'last-replica',
	},
	{
		guard: 'loads are spaced',
		guards: {plan: {...plan, spacesLoads: false}},
		faults: [],
		expected: 'load-not-reserved',
	},
	{
		guard: 'each record of an order checks the lease row',
		guards: {checksLeaseInTransactions: false},
		faults: [
			{kind: 'table-late', at: [3000, 6000], durationMs: [10_000, 15_000]},
			{
				kind: 'daemon-stopped', at: [5000, 9000], durationMs: [4000, 6000], target: firstHolder,
			},
		],
		expected: 'stale-record',
	},
	{
		guard: 'the lease is checked after the connection is open',
		guards: {checksAfterConnect: false},
		faults: [{kind: 'daemon-paused-before-write'}],
		expected: 'older-authority',
	},
	{
		guard: 'engines close idle connections',
		guards: {closesIdleConnections: false},
		faults: [{kind: 'daemon-paused-before-write'}],
		expected: 'older-authority',
	},
];

const tries = 300;

describe.concurrent('an invariant is violated when its guard is off', () => {
	it.each(mutations)('$guard', async ({guards, faults, expected}) => {
		const found = await collectViolations({...allGuards, ...guards}, faults, expected, tries);
		expect(found).toContain(expected);
	});
});
