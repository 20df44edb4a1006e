import {Left, Right} from 'purify-ts';
import {describe, expect, test} from 'vitest';
import {DecisionLog} from '../../../src/process/fleet/decision-log.ts';
import {chooseDaemonsToAsk, inheritKnowledge, type Knowledge} from '../../../src/process/fleet/inheritance.ts';
import type {PeerMember} from '../../../src/process/peers/peer-topology.ts';

const knowledge: Knowledge = {configuration: undefined, pastEntries: []};
const log = new DecisionLog({}, (_bytes, done) => {
	done(undefined);
});

function createMember(daemon: string, availabilityZone = 'zone-a'): PeerMember {
	return {
		daemon, address: `${daemon}:1`, availabilityZone, linkMbps: 1000,
	};
}

describe('a daemon that starts', () => {
	test('asks at most three others, those of its own availability zone first', () => {
		const members = [createMember('b-1', 'zone-b'), createMember('a-1'), createMember('b-2', 'zone-b'), createMember('a-2')];
		expect(chooseDaemonsToAsk(members, 'zone-a').map(({daemon}) => daemon)).toEqual(['a-1', 'a-2', 'b-1']);
	});

	test('takes what those say that answer', async () => {
		const applied: string[] = [];
		await inheritKnowledge({
			log,
			availabilityZone: 'zone-a',
			members: Promise.resolve([createMember('a-1'), createMember('a-2')]),
			fetch: async address => address === 'a-1:1' ? Left('refused') : Right(knowledge),
			apply(_knowledge, daemon) {
				applied.push(daemon);
			},
		});
		expect(applied).toEqual(['a-2']);
	});

	// Guards against a daemon that never gets ready because the others, or the list of them, cannot be reached.
	test.each([
		['the others do not answer', Promise.resolve([createMember('a-1')])],
		['the list of the others cannot be read', Promise.withResolvers<readonly PeerMember[]>().promise],
	])('goes on within two seconds if %s', async (_name, members) => {
		const startedAt = performance.now();
		await inheritKnowledge({
			log, availabilityZone: 'zone-a', members, fetch: async () => Promise.withResolvers<never>().promise, apply: () => undefined,
		});
		expect(performance.now() - startedAt).toBeLessThan(2000);
	});
});
