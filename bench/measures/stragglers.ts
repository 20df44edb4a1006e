import {atMost, type Measure, type Measurement} from '../measure.ts';
import {latencyQuantile, type Outcome, type RequestRecord} from '../simulation/outcome.ts';
import {fullPolicy, type Policy, type SlowdownFault} from '../simulation/scenario.ts';
import {simulate} from '../simulation/simulation.ts';
import {createRequests} from '../simulation/workload.ts';
import {
	clochan, deploymentScenario, deskWork, fleet100, liveWork, tuul, type Deployment,
} from './deployment.ts';

const seed = 41;
const loadMs = 60_000;
const warmUpMs = 5000;
const slowFromMs = 10_000;
const slowToMs = 50_000;
const slowFactor = 10;
const load = 0.5;
const latencyRatioBound = 1.5;
const extraWorkBound = 0.05;

/** M4: p99 latency while some replicas run 10 times slower, relative to its value without slow replicas, and the extra work of hedging. */
export const stragglers: Measure = {
	name: 'stragglers',
	deterministic: true,
	run: async () => [
		...measure(tuul, 1),
		...[1, 2, 3].flatMap(slowed => measure(clochan, slowed)),
		...measure(fleet100, 23),
	],
};

function measure(deployment: Deployment, slowed: number): readonly Measurement[] {
	const baselinePolicy: Policy = {
		...fullPolicy, routing: 'round-robin', admission: 'plain', hedging: false,
	};
	const none = run(deployment, fullPolicy, 0);
	const some = run(deployment, fullPolicy, slowed);
	const baselineNone = run(deployment, baselinePolicy, 0);
	const baselineSome = run(deployment, baselinePolicy, slowed);
	const name = `M4 ${deployment.name} ${slowed} of ${deployment.engineCount} slowed`;
	return [
		...(['first-token', 'whole'] as const).map(kind => atMost(`${name}: ${kind} p99`, quantile(some, kind) / quantile(none, kind), 'ratio', {
			bound: latencyRatioBound, baseline: quantile(baselineSome, kind) / quantile(baselineNone, kind),
		})),
		atMost(`${name}: extra work`, some.extraTokenFraction, 'part', {bound: extraWorkBound, baseline: 0}),
	];
}

function quantile({records}: Outcome, kind: 'first-token' | 'whole'): number {
	return latencyQuantile(records.filter(record => isMeasured(record)), 99, kind);
}

function isMeasured({request}: RequestRecord): boolean {
	return request.customer === 'live' && request.at >= warmUpMs;
}

function run(deployment: Deployment, policy: Policy, slowed: number): Outcome {
	const faults: SlowdownFault[] = deployment.engines.slice(0, slowed).flatMap(({id}, index) => [
		{at: slowFromMs + (index * 100), engine: id, factor: slowFactor},
		{at: slowToMs, engine: id, factor: 1},
	]);
	const sources = [liveWork(deployment, 'live', loadMs, () => load), ...deskWork(deployment, loadMs)];
	return simulate({
		...deploymentScenario(deployment), seed, policy, faults, endMs: loadMs + 10_000, requests: createRequests(seed, deployment.daemons, sources),
	});
}
