import fc from 'fast-check';
import {faultKinds, type Fault, type FaultKind} from '../../../bench/simulation/authority/faults.ts';
import {findViolations, type Violation} from '../../../bench/simulation/authority/invariants.ts';
import {
	runSchedule, type Guards, type Schedule,
} from '../../../bench/simulation/authority/schedule.ts';

/** Fixed seed of the runs; printed with each run. */
export const modelSeed = 20_261_204;

/** Ranges from which a fault of a schedule is drawn; times are in milliseconds. */
export type FaultRange = {
	readonly kind: FaultKind;
	/** @default [0, 25_000] */
	readonly at?: readonly [number, number];
	/** @default [500, 20_000] */
	readonly durationMs?: readonly [number, number];
	/** @default [0, 3] */
	readonly target?: readonly [number, number];
};

/** Creates an arbitrary for one fault. */
export function drawFault(range: Partial<FaultRange> = {}): fc.Arbitrary<Fault> {
	const {kind, at = [0, 25_000], durationMs = [500, 20_000], target = [0, 3]} = range;
	return fc.record({
		kind: kind === undefined ? fc.constantFrom(...faultKinds) : fc.constant(kind),
		at: fc.integer({min: at[0], max: at[1]}),
		durationMs: fc.integer({min: durationMs[0], max: durationMs[1]}),
		target: fc.integer({min: target[0], max: target[1]}),
	});
}

/** Creates an arbitrary for schedules with the given faults. */
export function drawSchedule(faults: fc.Arbitrary<readonly Fault[]>): fc.Arbitrary<Schedule> {
	return fc.record({
		seed: fc.integer({min: 0, max: 1_000_000}),
		enforcesFencing: fc.boolean(),
		faults,
		rivalAt: fc.option(fc.integer({min: 0, max: 20_000}), {nil: undefined, freq: 1}),
		cancelAt: fc.option(fc.integer({min: 0, max: 25_000}), {nil: undefined, freq: 1}),
	});
}

/** Runs schedules until one violates an invariant; a failure prints the seed and the smallest schedule. */
export async function checkSchedules(schedules: fc.Arbitrary<Schedule>, numberOfRuns: number): Promise<void> {
	console.log(`Authority model: seed ${modelSeed}, ${numberOfRuns} schedules.`);
	await fc.assert(fc.asyncProperty(schedules, async schedule => {
		const history = await runSchedule(schedule);
		const violations = findViolations(history, schedule);
		if (violations.length > 0) {
			throw new Error(`violated invariants: ${violations.join(', ')}`);
		}
	}), {seed: modelSeed, numRuns: numberOfRuns});
}

/** Runs schedules with the given faults and guards until the expected violation is found; returns all violations found. */
export async function collectViolations(
	guards: Guards,
	faults: readonly FaultRange[],
	expected: Violation,
	limit: number,
): Promise<ReadonlySet<Violation>> {
	const found = new Set<Violation>();
	const drawn = drawSchedule(fc.tuple(...faults.map(range => drawFault(range))));
	for (const schedule of fc.sample(drawn, {seed: modelSeed, numRuns: limit})) {
		for (const violation of findViolations(await runSchedule(schedule, guards), schedule)) {
			found.add(violation);
		}

		if (found.has(expected)) {
			break;
		}
	}

	return found;
}
