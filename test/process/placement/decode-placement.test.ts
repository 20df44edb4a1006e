import {expect, test} from 'vitest';
import {sampleCandidates} from '../../../src/process/fleet/candidate-sample.ts';
import {chooseLeastLoaded, type RunCandidate} from '../../../src/process/fleet/placement-score.ts';
import {SeededRandom} from '../../../src/process/random.ts';
import {createUpstream} from '../../fixtures/fleet/configuration.ts';

type Way = 'byRuns' | 'twoChoices' | 'informed';
type Run = {readonly engine: number; readonly daemon: number; readonly at: number; readonly endsAt: number};

const engineCount = 24;
const slots = 4;
const daemonCount = 20;
const reportLagMs = 200;
const eventMs = 10;
const speeds = [0.6, 1, 1.6];
const medianEvents = 30;
const lengthSpread = 1.2;
const meanEvents = medianEvents * Math.exp((lengthSpread ** 2) / 2);
const load = 0.85;
const arrivalsPerMs = load * engineCount / speeds.length * slots * speeds.reduce((sum, speed) => sum + speed) / (meanEvents * eventMs);
const engines = Array.from({length: engineCount}, (_, index) => ({upstream: createUpstream({id: String(index), availabilityZone: 'a'}), index, speed: speeds[index % 3]!}));

/** Plays answers of one route and very different length at engines of three speeds, and returns the waits for a slot; the informed way knows when each slot will be free. */
function play(way: Way, seed: number): {readonly mean: number; readonly p99: number} {
	const random = new SeededRandom(seed);
	const draws = new SeededRandom(seed + 1);
	const freeAt = engines.map(() => Array.from({length: slots}, () => 0));
	let runs: Run[] = [];
	const waits: number[] = [];
	for (let now = 0; now < 60_000; now -= Math.log(1 - random.next()) / arrivalsPerMs) {
		const daemon = random.integer(daemonCount);
		const events = Math.ceil(medianEvents * Math.exp(lengthSpread * Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next())));
		runs = runs.filter(({endsAt}) => endsAt + reportLagMs > now);
		const known = runs.filter(run => way === 'informed' || run.daemon === daemon ? run.endsAt > now : run.at + reportLagMs <= now);
		const waitMs = (engine: number) => Math.max(0, Math.min(...freeAt[engine]!) - now);
		const sample = way === 'twoChoices' ? [engines[draws.integer(engineCount)]!, engines[draws.integer(engineCount)]!] : (way === 'informed' ? engines : sampleCandidates(engines, 'a', draws));
		const candidates = sample.map(({upstream: {id}, index, speed}): RunCandidate => ({
			id, runs: known.filter(run => run.engine === index).length, slots, isLocal: true, isInPromptZone: true, slowness: 1 / speed, gapRisk: way === 'informed' ? waitMs(index) : 0, failureFraction: 0,
		}));
		const engine = Number(chooseLeastLoaded(candidates, draws.next())!.id);
		waits.push(waitMs(engine));
		const endsAt = now + waitMs(engine) + (events * eventMs / engines[engine]!.speed);
		freeAt[engine]![freeAt[engine]!.indexOf(Math.min(...freeAt[engine]!))] = endsAt;
		runs.push({
			engine, daemon, at: now, endsAt,
		});
	}

	return {mean: waits.reduce((sum, ms) => sum + ms, 0) / waits.length, p99: waits.toSorted((a, b) => a - b)[Math.floor(waits.length * 0.99)]!};
}

test.each([1, 2, 3])('answers of very different length wait less for a slot at the engine with the fewest runs than at the less loaded of two (seed %i)', seed => {
	const [byRuns, twoChoices, informed] = (['byRuns', 'twoChoices', 'informed'] as const).map(way => play(way, seed));
	expect(byRuns!.mean).toBeLessThan(twoChoices!.mean);
	expect(byRuns!.p99).toBeLessThan(twoChoices!.p99);
	expect(informed!.mean).toBeLessThan(byRuns!.mean);
	expect(informed!.p99).toBeLessThan(byRuns!.p99);
});
