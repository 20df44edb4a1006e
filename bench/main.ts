import process from 'node:process';
import {readKnownRed} from '../test/known-red.ts';
import {claims} from './claims.ts';
import {controlCost, controlProcessorCost} from './control-cost.ts';
import type {Measure} from './measure.ts';
import {decisionCost} from './measures/decision-cost.ts';
import {headOfLine} from './measures/head-of-line.ts';
import {overload} from './measures/overload.ts';
import {shifts} from './measures/shifts.ts';
import {stragglers} from './measures/stragglers.ts';
import {pathCost} from './path-cost.ts';
import {peerProtocol} from './peer-protocol.ts';

/** All benchmarks, in the order in which they run and print their measurements. */
const measures: readonly Measure[] = [
	shifts,
	overload,
	headOfLine,
	stragglers,
	decisionCost,
	controlCost,
	controlProcessorCost,
	claims,
	peerProtocol,
	pathCost,
];

const onlyDeterministic = process.argv.includes('--deterministic');
const filter = process.argv.slice(2).find(argument => !argument.startsWith('--'));
const knownRed = readKnownRed();

for (const measure of measures) {
	if ((onlyDeterministic && !measure.deterministic) || (filter !== undefined && !measure.name.includes(filter))) {
		continue;
	}

	for (const measurement of await measure.run()) {
		console.log(JSON.stringify(measurement));
		if (!measurement.ok && !knownRed.has(`bench ${measurement.name}`)) {
			process.exitCode = 1;
		}
	}
}
