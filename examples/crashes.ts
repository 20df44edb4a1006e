/** A request that was in flight in two crashes, with different company, is refused by every daemon. */
import assert from 'node:assert/strict';
import {CrashSuspicion, refusalMs, settleMs} from '../src/index.ts';

const here = new CrashSuspicion();
const there = new CrashSuspicion();
let attempts = 0;

function crash(upstream: string, fingerprints: readonly string[], now: number): void {
	const flights = fingerprints.map(fingerprint => {
		attempts += 1;
		here.started(attempts, {upstream, fingerprint, startedAt: now});
		return attempts;
	});
	for (const flight of flights) {
		here.ended(flight, 'lost', now + 10);
	}
}

crash('e1', ['culprit', 'bystander'], 0);
assert.equal(here.standingOf('bystander', 100), 'suspect');
crash('e2', ['culprit', 'passer-by'], 1000);
assert.equal(here.standingOf('culprit', 1100), 'pending');

const settledAt = 1010 + settleMs;
here.tick(settledAt);
for (const news of here.takeNews()) {
	there.learn(news, settledAt);
}

assert.deepEqual(['culprit', 'bystander', 'passer-by'].map(name => here.standingOf(name, settledAt)), ['condemned', 'free', 'free']);
assert.equal(there.standingOf('culprit', settledAt), 'condemned');
there.tick(settledAt + refusalMs);
assert.equal(there.standingOf('culprit', settledAt + refusalMs), 'free');
console.log(`The request is refused for ${refusalMs / 60_000} minutes here and at the peer; the others are free.`);
