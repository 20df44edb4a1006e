import {
	decideLease, initialLease, allLeaseGuards, defaultLeaseTimes, type LeaseEvent, type LeaseOptions, type LeaseState,
} from '../../src/process/lease/lease-machine.ts';
import type {LeaseRow} from '../../src/process/lease/lease-row.ts';
import type {SlopeMeasure} from './slope.ts';

/** Engine groups at the design size: 17 models in 12 availability zones. */
const designGroups = 204;
const candidates = 2;
const tickMs = 250;
const settleMs = 20_000;
const measuredMs = 60_000;

type Calls = {reads: number; writes: number};

type Candidate = {readonly options: LeaseOptions; state: LeaseState};

/** Store calls of the leases, counted in virtual time. */
export const leaseSlopes: readonly SlopeMeasure[] = [
	{
		name: 'lease writes of the deployment',
		costUnit: 'writes/s',
		sizeUnit: 'engine groups',
		sizes: [6, 51, 204],
		designSize: designGroups,
		measure: size => countCalls(size).writes * 1000 / measuredMs,
	},
	{
		name: 'lease reads of the deployment',
		costUnit: 'reads/s',
		sizeUnit: 'engine groups',
		sizes: [6, 51, 204],
		designSize: designGroups,
		measure: size => countCalls(size).reads * 1000 / measuredMs,
	},
];

function countCalls(groups: number): Calls {
	const calls = {reads: 0, writes: 0};
	for (let group = 0; group < groups; group += 1) {
		runGroup(calls);
	}

	return calls;
}

/** Runs two candidates of one engine group against a table that answers immediately. */
function runGroup(calls: Calls): void {
	let row: LeaseRow | undefined;
	const members: readonly Candidate[] = Array.from({length: candidates}, (_, index) => ({
		options: {daemon: `daemon-${index}`, times: defaultLeaseTimes, guards: allLeaseGuards},
		state: {...initialLease, isCandidate: true},
	}));
	for (let now = 0; now < settleMs + measuredMs; now += tickMs) {
		for (const member of members) {
			const isMeasured = now >= settleMs;
			let event: LeaseEvent | undefined = {kind: 'tick', token: `${member.options.daemon} ${now}`};
			while (event !== undefined) {
				const {state, command} = decideLease(member.state, event, now, member.options);
				member.state = state;
				event = undefined;
				if (command?.kind === 'read') {
					calls.reads += isMeasured ? 1 : 0;
					event = {kind: 'read', row};
				} else if (command?.kind === 'write') {
					calls.writes += isMeasured ? 1 : 0;
					const isCurrent = (row?.revision ?? 0) === command.expected;
					row = isCurrent ? {revision: command.expected + 1, body: command.body} : row;
					event = isCurrent ? {kind: 'written'} : {kind: 'failed', failure: 'conflict'};
				}
			}
		}
	}
}
