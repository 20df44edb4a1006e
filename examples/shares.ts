/** Shares follow the demand: the daemon where a customer's work arrives gets most of its weight. */
import assert from 'node:assert/strict';
import {ShareAllocator, type CustomerUsage} from '../src/index.ts';

const shares = new Map([['press', 3], ['desk', 1]]);
const names = ['a1', 'a2'];
const daemons = new Map(names.map(name => [name, new ShareAllocator({share: customer => shares.get(customer) ?? 1})]));
const [busy, idle] = [...daemons.values()];
assert.ok(busy !== undefined && idle !== undefined);
/** Gives one daemon's news to the others. */
function sendUsage(now: number, origin: string, news: readonly CustomerUsage[]): void {
	const receivers = [...daemons].filter(([name]) => name !== origin);
	for (const [, receiver] of receivers) {
		for (const usage of news) {
			receiver.recordRemoteUsage(now, origin, usage);
		}
	}
}

for (const allotments of daemons.values()) {
	allotments.setDaemonCount(daemons.size);
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

const weights = [busy, idle].map(allotments => allotments.weight(3200, 'press'));
assert.ok(weights[0]! > 2 * weights[1]!);
console.log(`Weight of press: ${weights[0]!.toFixed(2)} where its demand is, ${weights[1]!.toFixed(2)} elsewhere.`);
