/** Routing avoids an upstream that takes ten times as long per token as the others. */
import assert from 'node:assert/strict';
import {LoadTable, SeededRandom} from '../src/index.ts';

const slow = 'e1';
const upstreams = ['e1', 'e2', 'e3', 'e4', 'e5'].map(id => ({id, availabilityZone: 'zone-a', group: 'press'}));
const table = new LoadTable({availabilityZone: 'zone-a', random: new SeededRandom(7)});
const request = {group: 'press', promptTokens: 100, outputTokens: 50};
const requests = 1000;
const counts = new Map<string, number>();
table.setUpstreams(0, upstreams);

for (let index = 0; index < requests; index += 1) {
	const now = index * 10;
	for (const {id} of upstreams) {
		table.observe(now, id, 1, id === slow ? 100 : 10);
	}

	const upstream = table.choose(now, request);
	assert.ok(upstream !== undefined);
	const attempt = String(index);
	table.start(now, attempt, upstream, request);
	table.firstToken(now + 2, attempt, upstream, 2);
	table.finish(now + 5, attempt, upstream);
	counts.set(upstream, (counts.get(upstream) ?? 0) + 1);
}

const toSlow = counts.get(slow) ?? 0;
assert.ok(toSlow < requests * 0.02);
assert.notEqual(table.choose(requests * 10, {...request, excluded: new Set(['e2'])}), 'e2');
console.log(`${toSlow} of ${requests} requests went to the slow upstream.`);
