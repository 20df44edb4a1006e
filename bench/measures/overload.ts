import {
	atLeast, atMost, type Measure, type Measurement,
} from '../measure.ts';
import {goodput, onTimeFraction, type Outcome} from '../simulation/outcome.ts';
import {fullPolicy, type Policy} from '../simulation/scenario.ts';
import {simulate} from '../simulation/simulation.ts';
import {createRequests, type RequestSource} from '../simulation/workload.ts';
import {
	deploymentScenario, deployments, deskWork, liveWork, type Deployment,
} from './deployment.ts';

const seed = 21;
const loadMs = 20_000;
const crestStartMs = 8000;
const onTimeBound = 0.95;
const goodputBound = 0.9;
const floodLossBound = 0.1;
const loadsNearPeak = [0.9, 1.05];

const baselinePolicy: Policy = {...fullPolicy, admission: 'plain'};

/** M2: live work through a peak of demand (crest), in overload, and while one customer exceeds its share (flood). */
export const overload: Measure = {
	name: 'overload',
	deterministic: true,
	run: async () => deployments.flatMap(deployment => [
		...measureCrest(deployment),
		...measureOverload(deployment),
		...measureFlood(deployment),
	]),
};

/** Demand doubles abruptly from 45% to 90% of capacity; patient work fills the remaining capacity. */
function measureCrest(deployment: Deployment): readonly Measurement[] {
	const crest = (at: number) => at < crestStartMs ? 0.45 : 0.9;
	const sources = [
		...['first', 'second', 'third'].map((customer, index) => liveWork(deployment, customer, loadMs, at => crest(at) * [0.5, 0.3, 0.2][index]!)),
		patientWork(deployment, 0.4),
		...deskWork(deployment, loadMs),
	];
	const minOnTime = (policy: Policy) => {
		const {records} = run(deployment, policy, sources);
		return Math.min(...['first', 'second', 'third'].map(customer =>
			onTimeFraction(records.filter(({request}) => request.customer === customer && request.at >= crestStartMs))));
	};

	return [atLeast(`M2 ${deployment.name} crest: live work on time, least customer`, minOnTime(fullPolicy), 'part', {
		bound: onTimeBound, baseline: minOnTime(baselinePolicy),
	})];
}

function measureOverload(deployment: Deployment): readonly Measurement[] {
	const goodputAt = (policy: Policy, load: number) => {
		const sources = [liveWork(deployment, 'live', loadMs, () => load), ...deskWork(deployment, loadMs)];
		return goodput(run(deployment, policy, sources).records.filter(({request}) => request.customer === 'live'), loadMs);
	};

	const overloaded = new Map([2, 4].map(load => [load, goodputAt(fullPolicy, load)]));
	const peak = Math.max(...loadsNearPeak.map(load => goodputAt(fullPolicy, load)), ...overloaded.values());
	return [...overloaded].map(([load, value]) => atLeast(`M2 ${deployment.name} goodput at ${load} times capacity`, value / peak, 'part of peak', {
		bound: goodputBound, baseline: goodputAt(baselinePolicy, load) / peak,
	}));
}

/** One of three customers with equal shares sends requests for 3 times the capacity. */
function measureFlood(deployment: Deployment): readonly Measurement[] {
	const others = ['first', 'second'].map(customer => liveWork(deployment, customer, loadMs, () => 0.25));
	const flood = liveWork(deployment, 'flood', loadMs, at => at < crestStartMs ? 0.2 : 3);
	const calm = liveWork(deployment, 'flood', loadMs, () => 0.2);
	const onTimeOfOthers = (policy: Policy, third: RequestSource) => {
		const {records} = run(deployment, policy, [...others, third, ...deskWork(deployment, loadMs)]);
		return onTimeFraction(records.filter(({request}) => request.customer !== 'flood' && request.customer !== 'desk' && request.at >= crestStartMs));
	};

	const loss = (policy: Policy) => 1 - (onTimeOfOthers(policy, flood) / onTimeOfOthers(policy, calm));
	return [atMost(`M2 ${deployment.name} flood: live work of others lost`, loss(fullPolicy), 'part', {
		bound: floodLossBound, baseline: loss(baselinePolicy),
	})];
}

function patientWork(deployment: Deployment, load: number): RequestSource {
	return {
		...liveWork(deployment, 'patient', loadMs, () => load), workClass: 'patient',
	};
}

function run(deployment: Deployment, policy: Policy, sources: readonly RequestSource[]): Outcome {
	return simulate({
		...deploymentScenario(deployment), seed, policy, endMs: loadMs + 3000, requests: createRequests(seed, deployment.daemons, sources),
	});
}
