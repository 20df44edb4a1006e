import process from 'node:process';
import {MembershipSimulation} from '../simulation/membership-simulation.ts';
import type {SlopeMeasure} from './slope.ts';

const designDaemons = 420;
const zones = 12;
const settleMs = 8000;
const measuredMs = 10_000;
const seed = 1;

/** Traffic of the busiest daemon, and processor time of one daemon per wall time (1 is one core). */
type Cost = {readonly bytesPerSecond: number; readonly processorCores: number};

const costs = new Map<number, Cost>();

/** Traffic and processor time of heartbeats that carry no news, in virtual time. */
export const membershipSlopes: readonly SlopeMeasure[] = [
	{
		name: 'heartbeat bytes of the busiest daemon',
		costUnit: 'B/s',
		sizeUnit: 'daemons',
		sizes: [24, 120, 420],
		designSize: designDaemons,
		measure: size => resolveCost(size).bytesPerSecond,
	},
	{
		name: 'heartbeat processor share of a daemon',
		costUnit: 'cores',
		sizeUnit: 'daemons',
		sizes: [24, 120, 420],
		designSize: designDaemons,
		measure: size => resolveCost(size).processorCores,
	},
];

function resolveCost(daemons: number): Cost {
	const cost = costs.get(daemons) ?? measureCost(daemons);
	costs.set(daemons, cost);
	return cost;
}

function measureCost(size: number): Cost {
	const simulation = new MembershipSimulation({zones, daemonsPerZone: size / zones, seed});
	simulation.run(settleMs);
	const bytesAtStart = simulation.daemons.map(({bytes}) => bytes);
	const processorAtStart = process.cpuUsage();
	simulation.run(measuredMs);
	const {user, system} = process.cpuUsage(processorAtStart);
	const bytes = simulation.daemons.map((daemon, index) => daemon.bytes - bytesAtStart[index]!);
	return {
		bytesPerSecond: Math.max(...bytes) * 1000 / measuredMs,
		processorCores: (user + system) / 1000 / measuredMs / size,
	};
}
