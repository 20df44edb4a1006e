import {expect, test} from 'vitest';
import {ManualClock} from '../../../src/process/clock.ts';
import {UpstreamRegistry} from '../../../src/process/fleet/upstream-registry.ts';
import {UpstreamStates} from '../../../src/process/fleet/upstream-states.ts';
import {PeerLoadTracker} from '../../../src/process/peers/peer-load-tracker.ts';
import {ServiceSpeeds} from '../../../src/process/placement/service-speeds.ts';
import {SeededRandom} from '../../../src/process/random.ts';
import {createUpstream} from '../../fixtures/fleet/configuration.ts';

// Guards against an index of cached prompt parts that falls out of step with the caches: evictions, restarts, engines that leave.
test.each([1, 2, 3])('the holder of the longest cached prefix is the one that a search of all engines finds (seed %i)', seed => {
	const random = new SeededRandom(seed);
	const registry = new UpstreamRegistry();
	const clock = new ManualClock();
	const states = new UpstreamStates({
		clock,
		registry,
		peerLoads: new PeerLoadTracker(),
		speeds: new ServiceSpeeds(),
		services: () => new Map([['model', {
			name: 'model',
			connectionLimit: 64,
			engine: {
				slots: 24, memoryCapacityTokens: 20_000, bytesPerToken: 1, linkMbps: 1, handleTtlMs: 1, stageChangeMs: 1,
			},
			scaling: undefined,
		}]]),
	});
	const starts = new Map<string, number>();
	const drawParts = () => [
		{id: `family ${random.integer(3)}`, tokens: 300},
		{id: `subject ${random.integer(40)}`, tokens: 1000},
		{id: `session ${random.integer(400)}`, tokens: 500},
	].slice(0, 1 + random.integer(3));
	for (let step = 0; step < 3000; step += 1) {
		clock.advance(1);
		const id = `u-${random.integer(20)}`;
		const draw = random.next();
		if (draw < 0.02) {
			for (const {upstream} of registry.remove(id, clock.now())) {
				states.forget(upstream.id);
			}
		} else if (draw < 0.06) {
			starts.set(id, step);
			for (const {upstream} of registry.set(createUpstream({id, heartbeatCount: step, startedAt: step}))) {
				states.update(upstream);
			}
		} else {
			states.acceptPrefills([{upstream: id, parts: drawParts()}]);
		}

		const parts = drawParts();
		const missing = Math.min(...states.reachable('model').map(state => state.cache.missingTokens(parts)), parts.reduce((sum, {tokens}) => sum + tokens, 0));
		const holder = states.longestHolder('model', parts);
		expect(holder?.cache.missingTokens(parts) ?? parts.reduce((sum, {tokens}) => sum + tokens, 0)).toBe(missing);
	}
});
