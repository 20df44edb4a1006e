import {describe, expect, test} from 'vitest';
import {returnMs, UpstreamRoster} from '../../../src/process/fleet/upstream-roster.ts';
import {createUpstream} from '../../fixtures/fleet/configuration.ts';

function listServing(roster: UpstreamRoster): readonly string[] {
	return roster.serving('model').map(({id}) => id);
}

describe('upstream roster', () => {
	test('takes a leaving upstream out at once', () => {
		const roster = new UpstreamRoster();
		roster.set(createUpstream());
		const events = roster.set(createUpstream({isDraining: true, heartbeat: 2}));
		expect(events.map(({kind}) => kind)).toEqual(['leaving']);
		expect(listServing(roster)).toEqual([]);
	});

	test('does not bring a leaving upstream back by a late entry', () => {
		const roster = new UpstreamRoster();
		roster.set(createUpstream({heartbeat: 5}));
		roster.set(createUpstream({heartbeat: 6, isDraining: true}));
		roster.set(createUpstream({heartbeat: 4}));
		roster.set(createUpstream({heartbeat: 7}));
		expect(listServing(roster)).toEqual([]);
	});

	test('does not bring an upstream that is gone back by a late entry', () => {
		const roster = new UpstreamRoster();
		roster.set(createUpstream({heartbeat: 5}));
		roster.remove('u-1', 10_000);
		roster.set(createUpstream({heartbeat: 5}));
		expect(listServing(roster)).toEqual([]);
	});

	test('takes a restart under the same id as new', () => {
		const roster = new UpstreamRoster();
		roster.set(createUpstream({heartbeat: 9, isDraining: true}));
		roster.remove('u-1', 10_000);
		roster.set(createUpstream({heartbeat: 1, startedAt: 2000}));
		expect(listServing(roster)).toEqual(['u-1']);
	});

	test('removes an upstream whose entry is removed while the store is well', () => {
		const roster = new UpstreamRoster();
		roster.set(createUpstream());
		expect(roster.remove('u-1', 10_000).map(({kind}) => kind)).toEqual(['gone']);
		expect(listServing(roster)).toEqual([]);
	});

	test('keeps an upstream whose entry lapsed with the store until it had time to come back', () => {
		const roster = new UpstreamRoster();
		roster.set(createUpstream());
		roster.storeLost();
		roster.storeReturned(10_000);
		roster.replace([], 10_100);
		expect(listServing(roster)).toEqual(['u-1']);
		expect(roster.expire(10_000 + returnMs - 1)).toEqual([]);
		expect(roster.expire(10_000 + returnMs).map(({kind}) => kind)).toEqual(['gone']);
		expect(listServing(roster)).toEqual([]);
	});

	test('keeps an upstream that came back after the store did', () => {
		const roster = new UpstreamRoster();
		roster.set(createUpstream());
		roster.storeLost();
		roster.storeReturned(10_000);
		roster.remove('u-1', 10_100);
		roster.set(createUpstream({heartbeat: 2}));
		expect(roster.expire(20_000)).toEqual([]);
		expect(listServing(roster)).toEqual(['u-1']);
	});

	test('does not keep a leaving upstream when its entry lapses with the store', () => {
		const roster = new UpstreamRoster();
		roster.set(createUpstream({isDraining: true}));
		roster.storeLost();
		roster.storeReturned(10_000);
		roster.remove('u-1', 10_100);
		expect(listServing(roster)).toEqual([]);
	});
});
