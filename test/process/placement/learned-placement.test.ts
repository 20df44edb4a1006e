import {describe, expect, test} from 'vitest';
import {sampleCandidates} from '../../../src/process/fleet/candidate-sample.ts';
import {sharedObservationWeight, updateLatencyRatio} from '../../../src/process/fleet/latency-ratio.ts';
import {
	choosePrefill, prefillRate, type PrefillCandidate, type PrefillRate,
} from '../../../src/process/fleet/placement-score.ts';
import {ArrivalRate} from '../../../src/process/placement/arrival-rate.ts';
import {ServiceSpeeds} from '../../../src/process/placement/service-speeds.ts';
import {SeededRandom} from '../../../src/process/random.ts';
import {createUpstream} from '../../fixtures/fleet/configuration.ts';

type Way = 'learned' | 'builtIn' | 'twoChoices' | 'informed';

type Prefill = {readonly engine: number; readonly daemon: number; readonly tokens: number; readonly at: number; readonly endsAt: number};

const engineCount = 24;
const daemonCount = 60;
/** Daemons that join after two thirds of the time, and know nothing until then. */
const joinerCount = 30;
const targetMs = 900;
const reportLagMs = 200;
const arrivalIntervalMs = 6;
const meanTokensPerMs = 51;
const overheadMs = 40;
const engineSpeeds = [0.6, 1, 1.6];
const engines = Array.from({length: engineCount}, (_, index) => ({upstream: createUpstream({id: String(index), availabilityZone: 'a'}), index}));

/** Slowdown by a neighbour that takes an engine's host for half a second at a time. */
function slowdown(engine: number, now: number): number {
	return Math.floor((now / 500) + engine) % 7 === 0 ? 2.5 : 1;
}

/** What one daemon has learned of the engines. */
class View {
	readonly speeds = new ServiceSpeeds();
	readonly ratios = engines.map(() => 1);

	readonly way: Way;

	constructor(way: Way) {
		this.way = way;
	}

	get rate(): PrefillRate {
		return this.way === 'learned' ? this.speeds.of('model').prefill : prefillRate;
	}

	learn({engine, tokens, at, endsAt}: Prefill, backlogTokens: number): void {
		const elapsedMs = endsAt - at;
		const {tokensPerMs, fixedMs} = this.rate;
		const work = (backlogTokens + tokens) * slowdown(engine, at - reportLagMs);
		this.ratios[engine] = updateLatencyRatio(this.ratios[engine]!, elapsedMs, (work / tokensPerMs * this.ratios[engine]!) + fixedMs, this.way === 'learned' ? sharedObservationWeight : undefined);
		if (this.way === 'learned' && backlogTokens <= tokens) {
			this.speeds.observePrefill('model', {tokens: work, elapsedMs}, endsAt);
		}
	}
}

/** Plays prompts of alike length, of which some are mostly cached, at many daemons that hear of each other with a delay; the last daemons join late. */
function play(way: Way, seed: number): {readonly onTime: number; readonly p50: number; readonly p99: number; readonly imbalance: number; readonly lateJoinersOnTime: number} {
	const random = new SeededRandom(seed);
	const views = Array.from({length: daemonCount}, () => new View(way));
	const arrivals = engines.map(() => new ArrivalRate());
	const freeAt = engines.map(() => 0);
	const work = engines.map(() => 0);
	let running: Array<Prefill & {readonly backlogTokens: number}> = [];
	const latencies: number[] = [];
	const joiners: number[] = [];
	for (let now = 0; now < 30_000; now += arrivalIntervalMs) {
		for (const ended of running.filter(({endsAt}) => endsAt + reportLagMs <= now)) {
			for (const [index, view] of views.entries()) {
				// A daemon that has not joined yet hears nothing; without shared learning, only the sender learns.
				if ((index < daemonCount - joinerCount || now > 20_000) && (way === 'learned' || index === ended.daemon)) {
					view.learn(ended, ended.backlogTokens);
				}
			}
		}

		running = running.filter(({endsAt}) => endsAt + reportLagMs > now);
		const daemon = random.integer(now > 20_000 ? daemonCount : daemonCount - joinerCount);
		const view = views[daemon]!;
		const tokens = random.next() < 0.5 ? 1000 : 9000;
		const inProgress = running;
		const knownTokens = (engine: number) => inProgress.reduce((sum, prefill) => sum + (prefill.engine === engine && prefill.endsAt > now && (prefill.daemon === daemon || prefill.at + reportLagMs <= now) ? prefill.tokens : 0), 0);
		const sample = way === 'twoChoices' ? [engines[random.integer(engineCount)]!, engines[random.integer(engineCount)]!] : sampleCandidates(engines, 'a', random);
		const candidates: PrefillCandidate[] = (way === 'informed' ? engines : sample).map(({upstream: {id}, index}) => ({
			id,
			unreportedTokens: way === 'learned' ? arrivals[index]!.unreportedTokens(reportLagMs, now - reportLagMs) : 0,
			backlogTokens: way === 'informed' ? Math.max(0, freeAt[index]! - now) * prefillRate.tokensPerMs : knownTokens(index),
			missingTokens: way === 'informed' ? tokens * prefillRate.tokensPerMs * slowdown(index, now) / (meanTokensPerMs * engineSpeeds[index % 3]!) : tokens,
			cachedTokens: 0,
			fetchMs: 0,
			isLocal: true,
			latencyRatio: way === 'informed' || way === 'twoChoices' ? 1 : view.ratios[index]! * slowdown(index, now - reportLagMs),
			rankLatencyRatio: 1,
			failureFraction: 0,
		}));
		const engine = Number(choosePrefill(candidates, view.rate)!.candidate.id);
		const backlogTokens = knownTokens(engine);
		arrivals[engine]!.record(tokens, now);
		const prefillMs = tokens * slowdown(engine, now) / (meanTokensPerMs * engineSpeeds[engine % 3]!);
		freeAt[engine] = Math.max(now, freeAt[engine]!) + prefillMs;
		work[engine]! += prefillMs;
		const endsAt = freeAt[engine] + overheadMs;
		running.push({
			engine, daemon, tokens, at: now, endsAt, backlogTokens,
		});
		latencies.push(endsAt - now);
		if (daemon >= daemonCount - joinerCount) {
			joiners.push(endsAt - now);
		}
	}

	const sorted = latencies.toSorted((a, b) => a - b);
	const share = (values: readonly number[]) => values.filter(ms => ms <= targetMs).length / values.length;
	return {
		onTime: share(latencies), p50: sorted[Math.floor(sorted.length / 2)]!, p99: sorted[Math.floor(sorted.length * 0.99)]!, imbalance: Math.max(...work) / (work.reduce((sum, ms) => sum + ms, 0) / engineCount), lateJoinersOnTime: share(joiners),
	};
}

describe('prompts of alike length and very different cost on engines of three speeds, with slow neighbours and late reports', () => {
	test.each([1, 2])('are answered in time more often with learned speeds than with a built-in one or the shorter of two queues (seed %i)', seed => {
		const [learned, builtIn, twoChoices, informed] = (['learned', 'builtIn', 'twoChoices', 'informed'] as const).map(way => play(way, seed));
		expect(learned!.onTime).toBeGreaterThan(builtIn!.onTime);
		expect(learned!.onTime).toBeGreaterThan(twoChoices!.onTime);
		expect(learned!.p99).toBeLessThan(builtIn!.p99);
		expect(learned!.p50).toBeLessThan(builtIn!.p50);
		expect(learned!.imbalance).toBeLessThan(twoChoices!.imbalance);
		expect(learned!.lateJoinersOnTime).toBeGreaterThanOrEqual(builtIn!.lateJoinersOnTime);
		expect(informed!.onTime).toBeGreaterThanOrEqual(learned!.onTime);
	});
});
