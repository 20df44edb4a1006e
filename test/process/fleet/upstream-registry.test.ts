import {describe, expect, test} from 'vitest';
import {restoredEntryHoldMs, storeRecoveryGraceMs, UpstreamRegistry} from '../../../src/process/fleet/upstream-registry.ts';
import {createUpstream} from '../../fixtures/fleet/configuration.ts';

function listServing(registry: UpstreamRegistry): readonly string[] {
	return registry.serving('model').map(({id}) => id);
}

describe('upstream registry', () => {
	test('excludes a draining upstream at once', () => {
		const registry = new UpstreamRegistry();
		registry.set(createUpstream());
		const events = registry.set(createUpstream({isDraining: true, heartbeatCount: 2}));
		expect(events.map(({kind}) => kind)).toEqual(['leaving']);
		expect(listServing(registry)).toEqual([]);
	});

	test('does not restore a draining upstream because of a late entry', () => {
		const registry = new UpstreamRegistry();
		registry.set(createUpstream({heartbeatCount: 5}));
		registry.set(createUpstream({heartbeatCount: 6, isDraining: true}));
		registry.set(createUpstream({heartbeatCount: 4}));
		registry.set(createUpstream({heartbeatCount: 7}));
		expect(listServing(registry)).toEqual([]);
	});

	// Guards against an entry of another writer under a real id, after which the entries of the upstream itself were ignored until its restart.
	test('uses the entries of an upstream again after one with a far larger heartbeat, once two of them have followed', () => {
		const registry = new UpstreamRegistry();
		registry.set(createUpstream({heartbeatCount: 5}));
		registry.set(createUpstream({heartbeatCount: Number.MAX_SAFE_INTEGER, address: '127.0.0.1:9'}));
		registry.set(createUpstream({heartbeatCount: 6}));
		registry.set(createUpstream({heartbeatCount: 7}));
		expect(registry.get('u-1')?.address).toBe('127.0.0.1:1');
		registry.set(createUpstream({heartbeatCount: 8, isDraining: true}));
		expect(listServing(registry)).toEqual([]);
	});

	test('restores a removed upstream that keeps writing after one entry with a far larger heartbeat', () => {
		const registry = new UpstreamRegistry();
		registry.set(createUpstream({heartbeatCount: Number.MAX_SAFE_INTEGER}));
		registry.remove('u-1', 10_000);
		registry.set(createUpstream({heartbeatCount: 6}));
		expect(listServing(registry)).toEqual([]);
		registry.set(createUpstream({heartbeatCount: 7}));
		expect(listServing(registry)).toEqual(['u-1']);
	});

	test('is not taken back to an older state by one late entry, however often it arrives', () => {
		const registry = new UpstreamRegistry();
		registry.set(createUpstream({heartbeatCount: 9, stage: 'prefill'}));
		for (const heartbeatCount of [7, 7, 6, 7]) {
			registry.set(createUpstream({heartbeatCount, stage: 'decode'}));
		}

		expect(registry.get('u-1')?.stage).toBe('prefill');
	});

	test('does not restore a removed upstream because of a late entry', () => {
		const registry = new UpstreamRegistry();
		registry.set(createUpstream({heartbeatCount: 5}));
		registry.remove('u-1', 10_000);
		registry.set(createUpstream({heartbeatCount: 5}));
		expect(listServing(registry)).toEqual([]);
	});

	test('treats a restart under the same id as a new upstream', () => {
		const registry = new UpstreamRegistry();
		registry.set(createUpstream({heartbeatCount: 9, isDraining: true}));
		registry.remove('u-1', 10_000);
		registry.set(createUpstream({heartbeatCount: 1, startedAt: 2000}));
		expect(listServing(registry)).toEqual(['u-1']);
	});

	test('removes an upstream whose entry is removed while the store is available', () => {
		const registry = new UpstreamRegistry();
		registry.set(createUpstream());
		expect(registry.remove('u-1', 10_000).map(({kind}) => kind)).toEqual(['gone']);
		expect(listServing(registry)).toEqual([]);
	});

	test('keeps an upstream whose entry expired during a store outage for a grace period', () => {
		const registry = new UpstreamRegistry();
		registry.set(createUpstream());
		registry.markStoreLost();
		registry.markStoreRecovered(10_000);
		registry.replace([], 10_100);
		expect(listServing(registry)).toEqual(['u-1']);
		expect(registry.expire(10_000 + storeRecoveryGraceMs - 1)).toEqual([]);
		expect(registry.expire(10_000 + storeRecoveryGraceMs).map(({kind}) => kind)).toEqual(['gone']);
		expect(listServing(registry)).toEqual([]);
	});

	test('keeps an upstream that registers again after a store outage', () => {
		const registry = new UpstreamRegistry();
		registry.set(createUpstream());
		registry.markStoreLost();
		registry.markStoreRecovered(10_000);
		registry.remove('u-1', 10_100);
		registry.set(createUpstream({heartbeatCount: 2}));
		expect(registry.expire(20_000)).toEqual([]);
		expect(listServing(registry)).toEqual(['u-1']);
	});

	test('does not keep a draining upstream whose entry expired during a store outage', () => {
		const registry = new UpstreamRegistry();
		registry.set(createUpstream({isDraining: true}));
		registry.markStoreLost();
		registry.markStoreRecovered(10_000);
		registry.remove('u-1', 10_100);
		expect(listServing(registry)).toEqual([]);
	});

	describe('after a restore of the store from an older copy', () => {
		const restoredAt = 10_000;

		test('keeps an upstream that the copy lacks until it has had time to write its entry again', () => {
			const registry = new UpstreamRegistry();
			registry.set(createUpstream());
			registry.markStoreRestored(restoredAt);
			registry.replace([], restoredAt);
			expect(listServing(registry)).toEqual(['u-1']);
			expect(registry.expire(restoredAt + storeRecoveryGraceMs).map(({kind}) => kind)).toEqual(['gone']);
		});

		test('does not use an upstream again that is leaving or was removed after the copy', () => {
			const registry = new UpstreamRegistry();
			registry.set(createUpstream({heartbeatCount: 5}));
			registry.set(createUpstream({heartbeatCount: 9, isDraining: true}));
			registry.set(createUpstream({id: 'u-2', heartbeatCount: 5}));
			registry.remove('u-2', restoredAt - 1000);
			registry.markStoreRestored(restoredAt);
			registry.replace([createUpstream({heartbeatCount: 5}), createUpstream({id: 'u-2', heartbeatCount: 5})], restoredAt);
			expect(listServing(registry)).toEqual([]);
			expect(registry.set(createUpstream({id: 'u-2', heartbeatCount: 12})).map(({kind}) => kind)).toEqual(['appeared']);
		});

		// Guards against an upstream that lives, and whose entry does not change, being ignored for good.
		test('uses a removed upstream again that the copy lists, if it is still listed once the store has removed the dead ones', () => {
			const registry = new UpstreamRegistry();
			for (const id of ['u-1', 'u-2']) {
				registry.set(createUpstream({id}));
				registry.remove(id, 1000);
			}

			registry.markStoreRestored(restoredAt);
			registry.replace([createUpstream(), createUpstream({id: 'u-2'})], restoredAt);
			registry.remove('u-2', restoredAt + 4000);
			expect(registry.expire(restoredAt + restoredEntryHoldMs - 1)).toEqual([]);
			expect(registry.expire(restoredAt + restoredEntryHoldMs).map(({kind}) => kind)).toEqual(['appeared']);
			expect(listServing(registry)).toEqual(['u-1']);
		});

		// Guards against an upstream that is used again although a second read of the whole list lacks it.
		test('does not use a removed upstream again that a later snapshot lacks', () => {
			const registry = new UpstreamRegistry();
			registry.set(createUpstream());
			registry.remove('u-1', 1000);
			registry.markStoreRestored(restoredAt);
			registry.replace([createUpstream()], restoredAt);
			registry.replace([], restoredAt + 100);
			expect(registry.expire(restoredAt + restoredEntryHoldMs)).toEqual([]);
		});

		test('keeps an upstream that the copy lacks while the store is away once more', () => {
			const registry = new UpstreamRegistry();
			registry.set(createUpstream());
			registry.markStoreRestored(restoredAt);
			registry.replace([], restoredAt);
			registry.markStoreLost();
			expect(registry.expire(restoredAt + 5000)).toEqual([]);
			registry.markStoreRecovered(restoredAt + 5000);
			expect(registry.expire(restoredAt + 5000 + storeRecoveryGraceMs - 1)).toEqual([]);
			expect(registry.expire(restoredAt + 5000 + storeRecoveryGraceMs).map(({kind}) => kind)).toEqual(['gone']);
		});

		// Guards against the second of two copies being taken for a heartbeat of the upstream.
		test('does not take an upstream back to the state of a second copy that is newer than the first', () => {
			const registry = new UpstreamRegistry();
			registry.set(createUpstream({heartbeatCount: 9, stage: 'prefill'}));
			for (const heartbeatCount of [3, 6]) {
				registry.markStoreRestored(restoredAt);
				registry.replace([createUpstream({heartbeatCount, stage: 'decode'})], restoredAt);
			}

			expect(registry.get('u-1')?.stage).toBe('prefill');
		});

		test('does not take the entry of an earlier start for a restart', () => {
			const registry = new UpstreamRegistry();
			registry.set(createUpstream({startedAt: 1000, heartbeatCount: 40}));
			registry.set(createUpstream({startedAt: 2000, heartbeatCount: 1}));
			registry.set(createUpstream({startedAt: 2000, heartbeatCount: 2, isDraining: true}));
			registry.markStoreRestored(restoredAt);
			expect(registry.replace([createUpstream({startedAt: 1000, heartbeatCount: 40})], restoredAt)).toEqual([]);
			expect(listServing(registry)).toEqual([]);
			expect(registry.set(createUpstream({startedAt: 3000, heartbeatCount: 1})).map(({kind}) => kind)).toEqual(['restarted']);
		});

		test.each(['before', 'after'])('learns from another daemon, %s it has read the list, which upstreams are leaving or gone', order => {
			const other = new UpstreamRegistry();
			for (const id of ['leaving', 'gone', 'back']) {
				other.set(createUpstream({id, heartbeatCount: 5}));
			}

			other.set(createUpstream({id: 'leaving', heartbeatCount: 6, isDraining: true}));
			other.remove('gone', restoredAt);
			other.remove('back', restoredAt);
			const registry = new UpstreamRegistry();
			const read = () => {
				registry.replace([
					createUpstream({id: 'leaving', heartbeatCount: 5}), createUpstream({id: 'gone', heartbeatCount: 5}), createUpstream({id: 'back', heartbeatCount: 8}), createUpstream({id: 'u-1'}),
				], restoredAt);
			};

			if (order === 'after') {
				read();
			}

			registry.inherit(other.pastEntries(), restoredAt);
			read();
			expect(listServing(registry).toSorted()).toEqual(['back', 'u-1']);
			// What is still listed when the store has removed the dead ones lives, whatever the other daemon believed.
			registry.expire(restoredAt + restoredEntryHoldMs);
			expect(listServing(registry).toSorted()).toEqual(['back', 'gone', 'u-1']);
		});
	});
});
