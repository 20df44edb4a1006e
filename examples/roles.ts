/** Demand has long prompts: the planner changes engines to the prefill role, one at a time, until capacity matches demand. */
import assert from 'node:assert/strict';
import {RolePlanner, type PlannedEngine} from '../src/index.ts';

const changeMs = 2000;
const planner = new RolePlanner({
	availabilityZone: 'zone-a', prefillTokensPerMs: 20, decodeTokensPerMs: 1, changeMs,
});
let engines: readonly PlannedEngine[] = ['e1', 'e2', 'e3', 'e4'].map((id, index) => ({
	id, availabilityZone: 'zone-a', role: index === 0 ? 'prefill' : 'decode', isAway: false,
}));
let changes = 0;
let changedAt = -Infinity;

for (let now = 0; now < 60_000; now += 100) {
	planner.recordDemand(now, 3500, 60);
	if (now - changedAt >= changeMs) {
		engines = engines.map(engine => ({...engine, isAway: false}));
	}

	const planned = planner.plan(now, engines);
	assert.ok(planned.length <= 1);
	for (const {id, role} of planned) {
		engines = engines.map(engine => engine.id === id ? {...engine, role, isAway: true} : engine);
		changedAt = now;
		changes += 1;
	}
}

const prefill = engines.filter(({role}) => role === 'prefill').length;
assert.deepEqual([prefill, changes], [3, 2]);
console.log(`${changes} changes; ${prefill} of ${engines.length} engines run prefill.`);
