/** A daemon sees that an upstream is leaving; urgent heartbeats tell the other daemons before the next heartbeat interval. */
import assert from 'node:assert/strict';
import {
	Membership, Phase, SeededRandom, type OutgoingHeartbeat,
} from '../src/index.ts';

const ids = ['a1', 'a2', 'a3', 'a4', 'a5'];
const listed = ids.map(id => ({id, availabilityZone: 'zone-a', peerUrl: `http://${id}`}));
const members = new Map(listed.map(({id, availabilityZone, peerUrl}, index) => [id, new Membership({
	id, availabilityZone, peerUrl, incarnation: 1_700_000_000_000, random: new SeededRandom(index + 1),
})]));

/** Delivers heartbeats and their answers immediately; a real program sends them over its own transport. */
function deliver(sender: Membership, messages: readonly OutgoingHeartbeat[], now: number): void {
	for (const {memberId, heartbeat} of messages) {
		sender.receiveAnswer(members.get(memberId)!.receive(heartbeat, now), now);
	}
}

for (const member of members.values()) {
	member.updateHosts(listed, 0);
	member.setPhase(Phase.READY, 0);
}

for (let now = 0; now <= 3000; now += 1000) {
	for (const member of members.values()) {
		deliver(member, member.tick(now), now);
	}
}

assert.ok(members.values().every(member => member.members.every(({condition}) => condition === 'alive')));

const now = 3100;
members.get('a1')!.reportLeaving({upstream: 'e1', leaving: true, observedAt: now}, now);
// The news reaches every member within at most as many hops as there are members.
for (const _hop of ids) {
	for (const member of members.values()) {
		deliver(member, member.takeUrgentHeartbeats(now), now);
	}
}

const informed = ids.filter(id => members.get(id)!.isLeaving('e1'));
assert.deepEqual(informed, ids);
console.log(`${informed.length} of ${ids.length} daemons send no new work to e1.`);
