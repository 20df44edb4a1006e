import {
	atLeast, atMost, type Measure, type Measurement,
} from '../measure.ts';
import {goodput, type Outcome} from '../simulation/outcome.ts';
import {
	createEngines, fullPolicy, zones, type Policy, type RoleStep,
} from '../simulation/scenario.ts';
import {simulate} from '../simulation/simulation.ts';
import {createRequests, drawTokenCount, type RequestShape} from '../simulation/workload.ts';

const seed = 11;
const phaseMs = 60_000;
const phases = 3;
const endMs = phaseMs * phases;
const oracleBound = 0.95;
const roleChangeBound = 2;
/** Replicas of one model in one zone; a larger fleet counts as several groups of this size. */
const groupSize = 4;
/** Lead times before a shift at which the oracle may start its role changes; the best one counts. */
const oracleLeadTimesMs = [0, 4000, 8000];

/** Load of a phase: the mean request size and the requests per second for each engine. */
type Phase = RequestShape & {
	readonly engineRate: number;
};

type ShiftCase = {
	readonly name: string;
	readonly engines: number;
	readonly daemons: number;
	readonly decodeHeavy: Phase;
	readonly prefillHeavy: Phase;
	/** Numbers of prefill engines of the static baselines; the first and the last suit one phase each, and the oracle alternates between them. */
	readonly splits: readonly number[];
};

const decodeHeavy = {promptTokens: 400, outputTokens: 120, engineRate: 10.5};
const prefillHeavy = {promptTokens: 1200, outputTokens: 60, engineRate: 10.3};

const cases: readonly ShiftCase[] = [
	{
		name: 'tuul', engines: 8, daemons: 6, decodeHeavy, prefillHeavy, splits: [2, 3, 4, 5],
	},
	{
		name: 'clochan', engines: 13, daemons: 8, decodeHeavy, prefillHeavy, splits: [3, 5, 6, 8],
	},
];

/** M1: goodput while the request mix shifts, relative to an oracle and to the best static split, and the number of role changes. */
export const shifts: Measure = {
	name: 'shifts',
	deterministic: true,
	run: async () => cases.flatMap(shiftCase => measure(shiftCase)),
};

function measure(shiftCase: ShiftCase): readonly Measurement[] {
	const {name, splits} = shiftCase;
	const staticOutcomes = splits.map(prefill => run(shiftCase, prefill, 'static'));
	const bestStatic = Math.max(...staticOutcomes.map(outcome => goodputOf(outcome)));
	const first = splits[0]!;
	const last = splits.at(-1)!;
	const plannedOutcome = run(shiftCase, first, 'planned');
	const oracle = Math.max(bestStatic, ...oracleLeadTimesMs.map(leadMs =>
		goodputOf(run(shiftCase, first, 'scheduled', createOracleSteps(first, last, leadMs)))));
	const withoutShift = run({...shiftCase, prefillHeavy: decodeHeavy}, first, 'planned');
	return [
		atLeast(`M1 ${name} goodput relative to the oracle`, goodputOf(plannedOutcome) / oracle, 'part', {
			bound: oracleBound, baseline: bestStatic / oracle,
		}),
		moreThan(`M1 ${name} goodput relative to the best static split`, goodputOf(plannedOutcome) / bestStatic),
		atMost(`M1 ${name} role changes for each replica group and swing`, maxRoleChanges(plannedOutcome, shiftCase), 'changes', {
			bound: roleChangeBound, baseline: 0,
		}),
		atMost(`M1 ${name} role changes without a shift`, withoutShift.roleChanges, 'changes', {bound: 0}),
	];
}

function moreThan(name: string, value: number): Measurement {
	return {
		name, value, unit: 'part', baseline: 1, bound: 1, ok: value > 1,
	};
}

function goodputOf({records}: Outcome): number {
	return goodput(records, endMs);
}

/** Creates the role steps of the oracle, which knows when the mix shifts and starts its changes `leadMs` earlier. */
function createOracleSteps(first: number, other: number, leadMs: number): readonly RoleStep[] {
	return Array.from({length: phases - 1}, (_, index) => ({
		at: ((index + 1) * phaseMs) - leadMs, prefillEngines: index % 2 === 0 ? other : first,
	}));
}

/** Returns the largest number of role changes in one zone and phase, per replica group. */
function maxRoleChanges({roleChangeTimes, roleChangeZones}: Outcome, {engines}: ShiftCase): number {
	const counts = new Map<string, number>();
	for (const [index, at] of roleChangeTimes.entries()) {
		const key = `${Math.floor(at / phaseMs)} ${roleChangeZones[index]}`;
		counts.set(key, (counts.get(key) ?? 0) + 1);
	}

	const groups = Math.max(1, Math.floor(engines / zones.length / groupSize));
	return Math.max(0, ...counts.values()) / groups;
}

function run(shiftCase: ShiftCase, prefillEngines: number, roles: Policy['roles'], roleSteps: readonly RoleStep[] = []): Outcome {
	const toMs = endMs;
	const phaseAt = (at: number) => Math.floor(at / phaseMs) % 2 === 0 ? shiftCase.decodeHeavy : shiftCase.prefillHeavy;
	const requests = createRequests(seed, shiftCase.daemons, [{
		customer: 'live',
		fromMs: 0,
		toMs,
		rate: at => phaseAt(at).engineRate * shiftCase.engines,
		shape: (at, random) => ({
			promptTokens: drawTokenCount(random, phaseAt(at).promptTokens), outputTokens: drawTokenCount(random, phaseAt(at).outputTokens),
		}),
	}]);
	return simulate({
		seed,
		engines: createEngines(shiftCase.engines, index => index < prefillEngines ? 'prefill' : 'decode'),
		daemons: shiftCase.daemons,
		requests,
		endMs: toMs + 5000,
		policy: {...fullPolicy, roles},
		roleSteps,
		isDisaggregated: true,
	});
}
