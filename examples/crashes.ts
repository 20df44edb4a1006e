/** A request that was in flight at two crashes, each time with different other requests, is condemned: every daemon refuses it. */
import assert from 'node:assert/strict';
import {
	CrashAttribution, refusalDurationMs, condemnationDelayMs, type RequestIdentity,
} from '../src/index.ts';

const localAttribution = new CrashAttribution();
const peerAttribution = new CrashAttribution();
let attempts = 0;

/** Identifies a request without a prompt. */
function identify(fingerprint: string): RequestIdentity {
	return {fingerprint, promptParts: []};
}

function crash(upstream: string, fingerprints: readonly string[], now: number): void {
	const attemptIds = fingerprints.map(fingerprint => {
		attempts += 1;
		localAttribution.attemptStarted(attempts, {upstream, ...identify(fingerprint), startedAt: now});
		return attempts;
	});
	for (const attemptId of attemptIds) {
		localAttribution.attemptEnded(attemptId, 'lost', now + 10);
	}

	localAttribution.upstreamDown(upstream, 'refused', now + 10);
}

crash('e1', ['culprit', 'bystander'], 0);
assert.equal(localAttribution.statusOf(identify('bystander'), 100), 'suspect');
crash('e2', ['culprit', 'passer-by'], 1000);
assert.equal(localAttribution.statusOf(identify('culprit'), 1100), 'pending');

const settledAt = 1010 + condemnationDelayMs;
localAttribution.tick(settledAt);
for (const news of localAttribution.takeNews()) {
	peerAttribution.applyNews(news, settledAt);
}

assert.deepEqual(['culprit', 'bystander', 'passer-by'].map(name => localAttribution.statusOf(identify(name), settledAt)), ['condemned', 'free', 'free']);
assert.equal(peerAttribution.statusOf(identify('culprit'), settledAt), 'condemned');
peerAttribution.tick(settledAt + refusalDurationMs);
assert.equal(peerAttribution.statusOf(identify('culprit'), settledAt + refusalDurationMs), 'free');
console.log(`The request is refused for ${refusalDurationMs / 60_000} minutes here and at the peer; the others may run.`);
