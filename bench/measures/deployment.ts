import {zones, createEngines, type Scenario} from '../simulation/scenario.ts';
import type {EngineSpecification} from '../simulation/simulated-engine.ts';
import {drawTokenCount, type RequestShape, type RequestSource} from '../simulation/workload.ts';

/** A deployment that experiments run on. */
export type Deployment = {
	readonly name: string;
	readonly engines: readonly EngineSpecification[];
	readonly engineCount: number;
	readonly daemons: number;
	/** Mean size of live work. */
	readonly shape: RequestShape;
	/** Live requests in a second that one engine serves within the latency targets. */
	readonly engineRate: number;
};

const deskOptions = {
	stepBaseMs: 4, stepPerSequenceMs: 0.5, maxSequences: 16,
};

/** Plain service of a deployment. */
export const deskGroup = 'desk';

function createDesks(count: number): readonly EngineSpecification[] {
	return Array.from({length: count}, (_, index) => ({
		id: `desk-${index}`, availabilityZone: zones[index % zones.length]!, group: deskGroup, options: deskOptions,
	}));
}

/** Carton works: 8 press replicas and 3 order desks behind 6 daemons. */
export const tuul: Deployment = {
	name: 'tuul',
	engines: [...createEngines(8), ...createDesks(3)],
	engineCount: 8,
	daemons: 6,
	shape: {promptTokens: 1000, outputTokens: 30},
	engineRate: 16.5,
};

/** Sound archive: 13 description replicas and 3 licensing desks behind 8 daemons. */
export const clochan: Deployment = {
	name: 'clochan',
	engines: [...createEngines(13), ...createDesks(3)],
	engineCount: 13,
	daemons: 8,
	shape: {promptTokens: 400, outputTokens: 40},
	engineRate: 29,
};

/** Larger fleet: 100 replicas behind 24 daemons. */
export const fleet100: Deployment = {
	name: 'fleet-100',
	engines: createEngines(100),
	engineCount: 100,
	daemons: 24,
	shape: {promptTokens: 400, outputTokens: 40},
	engineRate: 29,
};

/** All deployments of the experiments. */
export const deployments: readonly Deployment[] = [tuul, clochan, fleet100];

/** Live work at a part of the deployment's capacity that may change over time. */
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

/** Calls of the plain service, where a deployment has one. */
export function deskWork(deployment: Deployment, toMs: number): readonly RequestSource[] {
	return deployment.engines.some(({group}) => group === deskGroup)
		? [{
			customer: 'desk', group: deskGroup, fromMs: 0, toMs, rate: () => 60, shape: () => ({promptTokens: 20, outputTokens: 1}),
		}]
		: [];
}

/** Parts of a scenario that a deployment gives. */
export function deploymentScenario(deployment: Deployment): Pick<Scenario, 'engines' | 'daemons'> {
	return {engines: deployment.engines, daemons: deployment.daemons};
}
