/**
Measures how the cost of each component grows with its size; prints each slope as a JSON line.
*/
import {configurationSlopes} from './configuration.ts';
import {fleetSlopes} from './fleet.ts';
import {hostSlopes} from './hosts.ts';
import {leaseSlopes} from './leases.ts';
import {membershipSlopes} from './membership.ts';
import {routingSlopes} from './routing.ts';
import {measureSlope} from './slope.ts';

const measures = [
	...membershipSlopes,
	...hostSlopes,
	...configurationSlopes,
	...leaseSlopes,
	...routingSlopes,
	...fleetSlopes,
];

for (const measure of measures) {
	console.log(JSON.stringify(await measureSlope(measure)));
}
