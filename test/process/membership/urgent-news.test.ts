import {expect, it} from 'vitest';
import {MembershipSimulation} from '../../../bench/simulation/membership-simulation.ts';

/** Far below the heartbeat interval of 1 s, in which a busy fleet would send requests to the leaving upstream. */
const maxSpreadMs = 200;

it('a leaving mark reaches most members without waiting for the next heartbeat interval', () => {
	const simulation = new MembershipSimulation({
		zones: 4, daemonsPerZone: 6, seed: 3, measuresBytes: false,
	});
	simulation.run(5000);
	const [witness] = simulation.daemons;
	witness!.membership.reportLeaving({upstream: 'engine', leaving: true, observedAt: simulation.now}, simulation.now);
	simulation.flush(witness!);
	simulation.run(maxSpreadMs);
	const informed = simulation.daemons.filter(({membership}) => membership.isLeaving('engine'));
	expect(informed.length).toBeGreaterThan(simulation.daemons.length * 0.9);
});
