import {zones, createEngines, type Scenario} from '../simulation/scenario.ts';
import type {EngineSpecification} from '../simulation/simulated-engine.ts';
import {drawTokenCount, type RequestShape, type RequestSource} from '../simulation/workload.ts';

/** A deployment that the benchmarks simulate. */
export type Deployment = {
	readonly name: string;
	readonly engines: readonly EngineSpecification[];
	readonly engineCount: number;
	readonly daemons: number;
	/** Mean size of live requests. */
	readonly shape: RequestShape;
	/** Live requests per second that one engine serves within the latency targets. */
	readonly engineRate: number;
};

const deskOptions = {
	stepBaseMs: 4, stepPerSequenceMs: 0.5, maxSequences: 16,
};

/** Upstream group of the plain service. */
export const deskGroup = 'desk';

function createDesks(count: number): readonly EngineSpecification[] {
	return Array.from({length: count}, (_, index) => ({
		id: `desk-${index}`, availabilityZone: zones[index % zones.length]!, group: deskGroup, options: deskOptions,
	}));
}

/** Small deployment: 8 engine replicas and 3 replicas of a plain service behind 6 daemons. */
export const tuul: Deployment = {
	name: 'tuul',
	engines: [...createEngines(8), ...createDesks(3)],
	engineCount: 8,
	daemons: 6,
	shape: {promptTokens: 1000, outputTokens: 30},
	engineRate: 16.5,
};

/** Medium deployment: 13 engine replicas and 3 replicas of a plain service behind 8 daemons. */
export const clochan: Deployment = {
	name: 'clochan',
	engines: [...createEngines(13), ...createDesks(3)],
	engineCount: 13,
	daemons: 8,
	shape: {promptTokens: 400, outputTokens: 40},
	engineRate: 29,
};

/** Large deployment: 100 engine replicas and no plain service behind 24 daemons. */
export const fleet100: Deployment = {
	name: 'fleet-100',
	engines: createEngines(100),
	engineCount: 100,
	daemons: 24,
	shape: {promptTokens: 400, outputTokens: 40},
	engineRate: 29,
};

/** All simulated deployments. */
export const deployments: readonly Deployment[] = [tuul, clochan, fleet100];

/** Creates live work of one customer; `load` gives the fraction of the deployment's capacity at each time. */
export function liveWork(deployment: Deployment, customer: string, toMs: number, load: (at: number) => number): RequestSource {
	const {shape, engineCount, engineRate} = deployment;
	return {
		customer,
		fromMs: 0,
		toMs,
		rate: at => load(at) * engineCount * engineRate,
		shape: (_at, random) => ({
			promptTokens: drawTokenCount(random, shape.promptTokens), outputTokens: drawTokenCount(random, shape.outputTokens),
		}),
		prefixCount: 20,
		prefixFraction: 0.3,
	};
}

/** Creates the requests to the plain service, if the deployment has one. */
export function deskWork(deployment: Deployment, toMs: number): readonly RequestSource[] {
	return deployment.engines.some(({group}) => group === deskGroup)
		? [{
			customer: 'desk', group: deskGroup, fromMs: 0, toMs, rate: () => 60, shape: () => ({promptTokens: 20, outputTokens: 1}),
		}]
		: [];
}

/** Returns the scenario fields that a deployment determines. */
export function deploymentScenario(deployment: Deployment): Pick<Scenario, 'engines' | 'daemons'> {
	return {engines: deployment.engines, daemons: deployment.daemons};
}
