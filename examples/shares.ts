/** Weights follow demand: the daemon that receives a customer's requests gets most of that customer's weight. */
import assert from 'node:assert/strict';
import {ShareAllocator, type CustomerUsage} from '../src/index.ts';

const shares = new Map([['press', 3], ['desk', 1]]);
const names = ['a1', 'a2'];
const daemons = new Map(names.map(name => [name, new ShareAllocator({share: customer => shares.get(customer) ?? 1})]));
const [busy, idle] = [...daemons.values()];
assert.ok(busy !== undefined && idle !== undefined);

/** Sends one daemon's usage to the other daemons. */
function sendUsage(now: number, origin: string, news: readonly CustomerUsage[]): void {
	const receivers = [...daemons].filter(([name]) => name !== origin);
	for (const [, receiver] of receivers) {
		for (const usage of news) {
			receiver.recordRemoteUsage(now, origin, usage);
		}
	}
}

for (const allocator of daemons.values()) {
	allocator.setDaemonCount(daemons.size);
}

assert.equal(busy.weight(0, 'press') / busy.weight(0, 'desk'), 3);

for (let now = 0; now <= 3000; now += 100) {
	busy.recordArrival(now, {
		customer: 'press', group: 'press-model', tokens: 100, isLong: false,
	});
	if (now % 1000 === 0) {
		for (const [origin, sender] of daemons) {
			sendUsage(now, origin, sender.takeLocalUsage(now, () => 0));
		}
	}
}

const weights = [busy, idle].map(allocator => allocator.weight(3200, 'press'));
assert.ok(weights[0]! > 2 * weights[1]!);
console.log(`Weight of press: ${weights[0]!.toFixed(2)} at the daemon with its demand, ${weights[1]!.toFixed(2)} at the other.`);
