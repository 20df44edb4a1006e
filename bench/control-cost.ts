import process from 'node:process';
import {MembershipSimulation} from './simulation/membership-simulation.ts';
import {atMost, type Measure, type Measurement} from './measure.ts';

type Deployment = {readonly zones: number; readonly daemonsPerZone: number};

type Cost = {
	readonly members: number;
	/** Bytes per second that the busiest daemon sends and receives. */
	readonly bytesPerSecond: number;
	/** Time until every daemon knows that an upstream is leaving, in milliseconds. */
	readonly propagationMs: number;
	/** Time until every other daemon considers a killed daemon dead, in milliseconds. */
	readonly deathDetectionMs: number;
	/** Processor time of one daemon per wall time; 1 is one core. */
	readonly processorCores: number;
	readonly heapBytes: number;
};

const deployments: readonly Deployment[] = [
	{zones: 2, daemonsPerZone: 4},
	{zones: 4, daemonsPerZone: 16},
	{zones: 12, daemonsPerZone: 35},
];
const seed = 1;
const settleMs = 8000;
const measuredSeconds = 10;
/** Customer usage news that each daemon announces per second; fills the space that a heartbeat leaves for it. */
const usageItemsPerSecond = 20;
const timeoutMs = 30_000;
const bytesPerSecondBound = 13_000;
const propagationBoundMs = 3000;
/** Leases must be taken over within 15 s after their holder dies. */
const deathDetectionBoundMs = 15_000;
const processorCoresBound = 0.02;
const heapBoundBytes = 256 * 1024 * 1024;

const costs = new Map<Deployment, Cost>();

/** Measures the bytes and propagation delays of control traffic, in virtual time. */
export const controlCost: Measure = {
	name: 'control cost',
	deterministic: true,
	run: async () => [...deployments.flatMap(deployment => describeTraffic(resolveCost(deployment))), describeSlope('control bytes', 'B/s', cost => cost.bytesPerSecond)],
};

/** Measures the processor time and heap of control traffic on this machine. */
export const controlProcessorCost: Measure = {
	name: 'control processor cost',
	deterministic: false,
	run: async () => [
		...deployments.flatMap(deployment => describeProcessor(resolveCost(deployment))),
		describeSlope('control processor share', 'cores', cost => cost.processorCores),
		describeSlope('control heap', 'B', cost => cost.heapBytes),
	],
};

function describeTraffic({members, bytesPerSecond, propagationMs: spreadMs, deathDetectionMs: deathKnownMs}: Cost): readonly Measurement[] {
	return [
		atMost(`control bytes of the busiest daemon, ${members} members`, bytesPerSecond, 'B/s', {bound: bytesPerSecondBound}),
		atMost(`spread of a leaving mark, ${members} members`, spreadMs, 'ms', {bound: propagationBoundMs}),
		atMost(`death known everywhere, ${members} members`, deathKnownMs, 'ms', {bound: deathDetectionBoundMs}),
	];
}

function describeSlope(name: string, unit: string, read: (cost: Cost) => number): Measurement {
	const [, middle, last] = deployments.map(deployment => resolveCost(deployment)) as [Cost, Cost, Cost];
	const slope = (read(last) - read(middle)) / (last.members - middle.members);
	return {
		name: `${name} per added member, 64 to 420 members`, value: slope, unit, ok: true,
	};
}

function describeProcessor({members, processorCores: processorShare, heapBytes}: Cost): readonly Measurement[] {
	return [
		atMost(`control processor share of a daemon, ${members} members`, processorShare, 'cores', {bound: processorCoresBound}),
		atMost(`control heap of a daemon, ${members} members`, heapBytes, 'B', {bound: heapBoundBytes}),
	];
}

function resolveCost(deployment: Deployment): Cost {
	const cost = costs.get(deployment) ?? measureCost(deployment);
	costs.set(deployment, cost);
	return cost;
}

function measureCost(deployment: Deployment): Cost {
	const heapAtStart = process.memoryUsage().heapUsed;
	const simulation = new MembershipSimulation({...deployment, seed});
	const {daemons} = simulation;
	simulation.run(settleMs);
	const bytesAtStart = daemons.map(daemon => daemon.bytes);
	const processorAtStart = process.cpuUsage();
	for (let second = 0; second < measuredSeconds; second += 1) {
		announceUsage(simulation);
		simulation.run(1000);
	}

	const processor = process.cpuUsage(processorAtStart);
	const bytes = daemons.map((daemon, index) => daemon.bytes - bytesAtStart[index]!);
	return {
		members: daemons.length,
		bytesPerSecond: Math.max(...bytes) / measuredSeconds,
		processorCores: (processor.user + processor.system) / 1e6 / measuredSeconds / daemons.length,
		heapBytes: Math.max(0, process.memoryUsage().heapUsed - heapAtStart) / daemons.length,
		propagationMs: measurePropagation(simulation),
		deathDetectionMs: measureDeathDetection(simulation),
	};
}

function announceUsage({daemons, now}: MembershipSimulation): void {
	for (const [index, {membership}] of daemons.entries()) {
		for (let item = 0; item < usageItemsPerSecond; item += 1) {
			const customer = `customer-${(index * usageItemsPerSecond) + item}`;
			membership.announce({
				case: 'customerUsage', value: {
					customer, tokens: 12_000n, waitingTokens: 3000n, intervalMs: 1000,
				},
			}, now);
		}
	}
}

function measurePropagation(simulation: MembershipSimulation): number {
	const [reporter] = simulation.daemons;
	reporter!.membership.reportLeaving({upstream: 'engine', leaving: true, observedAt: simulation.now}, simulation.now);
	simulation.flush(reporter!);
	return simulation.runUntil(() => simulation.daemons.every(({membership}) => membership.isLeaving('engine')), timeoutMs) ?? timeoutMs;
}

function measureDeathDetection(simulation: MembershipSimulation): number {
	const [, victim, ...others] = simulation.daemons;
	simulation.kill(victim!);
	const isKnown = () => others.every(({membership}) => membership.member(victim!.id)?.condition === 'dead');
	return simulation.runUntil(isKnown, timeoutMs) ?? timeoutMs;
}
