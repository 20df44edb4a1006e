import {describe, expect, it} from 'vitest';
import {ConfigurationMachine} from '../../../src/process/configuration/configuration-machine.ts';
import type {ConfigurationEntry} from '../../../src/version/configuration.ts';

const entry = (name: string, version: number): ConfigurationEntry => ({
	kind: 'contract', name, version, body: String(version),
});
const snapshot = (version: number, entries: readonly ConfigurationEntry[]) => ({version, snapshot: true, entries});
const difference = (version: number, entries: readonly ConfigurationEntry[]) => ({version, snapshot: false, entries});

describe('ConfigurationMachine', () => {
	// Guards against a daemon that goes back to an older version on a late answer of a slow source.
	it('ignores a version that is not higher', () => {
		const machine = new ConfigurationMachine();
		machine.accept(snapshot(5, [entry('a', 5)]), 0);
		expect(machine.accept(snapshot(5, [entry('a', 4)]), 0).kind).toBe('stale');
		expect(machine.accept(snapshot(4, [entry('a', 4)]), 0).kind).toBe('stale');
		expect(machine.differenceSince(0)).toEqual(snapshot(5, [entry('a', 5)]));
	});

	// Guards against a version in force that lacks changes, because a difference was applied over a gap.
	it('refuses a difference that starts above its version', () => {
		const machine = new ConfigurationMachine();
		expect(machine.accept(difference(7, [entry('a', 7)]), 6).kind).toBe('gap');
		expect(machine.version).toBe(0);
	});

	it('applies a version with missing changes when the guard onlyWithoutGaps is off', () => {
		const machine = new ConfigurationMachine({onlyHigherVersions: true, onlyWithoutGaps: false});
		expect(machine.accept(difference(7, [entry('a', 7)]), 6).kind).toBe('applied');
		expect(machine.differenceSince(0).entries).toHaveLength(1);
	});

	it('keeps the newer entry when a snapshot contains entries above its own version', () => {
		const machine = new ConfigurationMachine();
		machine.accept(snapshot(100, [entry('a', 103)]), 0);
		expect(machine.accept(difference(102, [entry('a', 101), entry('b', 102)]), 100)).toEqual({kind: 'applied', entries: [entry('b', 102)]});
		expect(machine.differenceSince(102)).toEqual(difference(102, [entry('a', 103)]));
	});

	it('reads the table every second as a poller or without a configuration, otherwise every 10 s', () => {
		const machine = new ConfigurationMachine();
		expect(machine.startTableRead(0, false)).toBe(true);
		expect(machine.startTableRead(1000, false)).toBe(false);
		machine.endTableRead(true);
		expect(machine.startTableRead(1000, false)).toBe(true);
		machine.endTableRead(true);
		machine.accept(snapshot(1, []), 0);
		expect(machine.startTableRead(10_800, false)).toBe(false);
		expect(machine.startTableRead(10_800, true)).toBe(true);
	});

	it('skips a silent peer, so that one partitioned peer delays a version only once', () => {
		const machine = new ConfigurationMachine();
		const peers = [{peer: 'a', version: 9}, {peer: 'b', version: 8}];
		expect(machine.startPeerPull(0, peers)?.peer).toBe('a');
		expect(machine.startPeerPull(1000, peers)).toBeUndefined();
		expect(machine.startPeerPull(2000, peers)?.peer).toBe('b');
		machine.endPeerPull('b', true);
		expect(machine.startPeerPull(2100, [peers[0]!])?.peer).toBe('a');
	});
});
