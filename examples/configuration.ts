/** A configuration difference is applied once; stale differences and those with a version gap change nothing. */
import assert from 'node:assert/strict';
import {ConfigurationMachine, type ConfigurationDifference} from '../src/index.ts';

function createDifference(version: number, share: number): ConfigurationDifference {
	return {
		version,
		snapshot: false,
		entries: [{
			kind: 'contract', name: 'tuul', version, body: JSON.stringify({share}),
		}],
	};
}

const machine = new ConfigurationMachine();
assert.equal(machine.accept(createDifference(1, 10), 0).kind, 'applied');
assert.equal(machine.accept(createDifference(2, 40), 1).kind, 'applied');
assert.equal(machine.accept(createDifference(2, 40), 1).kind, 'stale');
assert.equal(machine.accept(createDifference(1, 10), 0).kind, 'stale');
assert.equal(machine.accept(createDifference(9, 90), 8).kind, 'gap');

assert.deepEqual(machine.startPeerPull(0, [{peer: 'a2', version: 2}, {peer: 'a3', version: 9}]), {peer: 'a3', since: 2});
const [entry] = machine.differenceSince(0).entries;
assert.equal(entry?.body, '{"share":40}');
console.log(`Version ${machine.version} is in force; version 9 is pulled from a3.`);
