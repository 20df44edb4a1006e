import {atMost, type Measure, type Measurement} from '../measure.ts';
import {latencyQuantile, type RequestRecord} from '../simulation/outcome.ts';
import {fullPolicy, type Policy} from '../simulation/scenario.ts';
import {simulate} from '../simulation/simulation.ts';
import {createRequests, type RequestSource} from '../simulation/workload.ts';
import {
	deploymentScenario, deployments, deskWork, liveWork, type Deployment,
} from './deployment.ts';

const seed = 31;
/** Load duration at 8 engines; a larger deployment reaches the same number of requests in less time. */
const maxLoadMs = 160_000;
const warmUpMs = 10_000;
const minLoadMs = 30_000;
const shortLoad = 0.45;
const longWorkFraction = 0.01;
const longWorkSizeRatio = 50;
const queueMs = 2000;
const latencyRatioBound = 1.2;

/** M3: p99 latency of short live work when 1% of the requests are 50 times as long, relative to its p99 without them. */
export const headOfLine: Measure = {
	name: 'head-of-line',
	deterministic: true,
	run: async () => deployments.flatMap(deployment => measure(deployment)),
};

function measure(deployment: Deployment): readonly Measurement[] {
	const baselinePolicy: Policy = {
		...fullPolicy, routing: 'round-robin', admission: 'plain', hedging: false,
	};
	const without = shortRecords(deployment, fullPolicy, false);
	const withLong = shortRecords(deployment, fullPolicy, true);
	const baselineWithout = shortRecords(deployment, baselinePolicy, false);
	const baselineWith = shortRecords(deployment, baselinePolicy, true);
	return (['first-token', 'whole'] as const).map(kind => atMost(
		`M3 ${deployment.name} ${kind} p99 of short work with long jobs`,
		latencyQuantile(withLong, 99, kind) / latencyQuantile(without, 99, kind),
		'ratio',
		{bound: latencyRatioBound, baseline: latencyQuantile(baselineWith, 99, kind) / latencyQuantile(baselineWithout, 99, kind)},
	));
}

function shortRecords(deployment: Deployment, policy: Policy, hasLong: boolean): readonly RequestRecord[] {
	const loadMs = Math.max(minLoadMs, maxLoadMs * 8 / deployment.engineCount);
	const short = liveWork(deployment, 'short', loadMs, () => shortLoad);
	const long: RequestSource = {
		...liveWork(deployment, 'long', loadMs, () => shortLoad * longWorkFraction),
		shape: () => ({
			promptTokens: deployment.shape.promptTokens * longWorkSizeRatio, outputTokens: deployment.shape.outputTokens * longWorkSizeRatio,
		}),
		prefixCount: 0,
	};
	const sources = [short, ...deskWork(deployment, loadMs), ...(hasLong ? [long] : [])];
	const {records} = simulate({
		...deploymentScenario(deployment), seed, policy, endMs: loadMs + 10_000, maxQueueMs: queueMs, requests: createRequests(seed, deployment.daemons, sources),
	});
	return records.filter(({request}) => request.customer === 'short' && request.at >= warmUpMs);
}
