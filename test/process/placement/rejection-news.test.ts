import {describe, expect, test} from 'vitest';
import {ManualClock} from '../../../src/process/clock.ts';
import type {FleetScheduler} from '../../../src/process/fleet/fleet-scheduler.ts';
import {UpstreamRegistry} from '../../../src/process/fleet/upstream-registry.ts';
import {decodePeerDatagram, encodePeerDatagrams, type PeerPrefill} from '../../../src/process/peers/peer-message.ts';
import {SeededRandom} from '../../../src/process/random.ts';
import {isPlaced, type Placement, type PlacementDemand} from '../../../src/request/delivery/upstream-scheduler.ts';
import {
	createModelService, createRequest, createRoute, createUpstream,
} from '../../fixtures/fleet/configuration.ts';
import {createScheduler} from '../../fixtures/fleet/scheduler.ts';

const service = 'model';

/** Two daemons that use the same engines and hear of each other at once. */
class PairFixture {
	readonly clock = new ManualClock(1000);
	readonly #schedulers: FleetScheduler[] = [];

	constructor() {
		for (const index of [0, 1]) {
			const registry = new UpstreamRegistry();
			for (const id of ['e-1', 'e-2']) {
				registry.set(createUpstream({id, service, stage: 'prefill'}));
			}

			registry.set(createUpstream({id: 'd-1', service, stage: 'decode'}));
			this.#schedulers.push(createScheduler({
				clock: this.clock,
				random: new SeededRandom(index),
				registry,
				peers: {
					announcePrefill: prefill => {
						this.#schedulers[1 - index]!.acceptPrefills(transmit(prefill));
					},
					newsDelayMs: () => 0,
				},
				availabilityZone: 'a',
				services: () => new Map([[service, createModelService(service)]]),
			}));
		}
	}

	scheduler(index: number): FleetScheduler {
		return this.#schedulers[index]!;
	}

	/** Places a prefill of which no part is cached anywhere. */
	async place(index: number, id: string): Promise<Placement> {
		const result = await this.scheduler(index).placePrefill(createDemand(id, this.clock.now()));
		if (!isPlaced(result)) {
			throw new Error(`The prefill was not placed: ${result.reason}`);
		}

		return result;
	}
}

/** Encodes and decodes news as datagrams do. */
function transmit(prefill: PeerPrefill): readonly PeerPrefill[] {
	const [bytes] = encodePeerDatagrams({
		sender: 'daemon-1',
		scope: 'direct',
		messages: [{
			daemon: 'daemon-1', entry: undefined, isSnapshot: false, loads: [], prefills: [prefill], queued: new Map(), crashNews: [], limits: [], leaving: [], tables: [], excessQueued: new Map(), usage: [], work: [],
		}],
	}, 1400);
	const datagram = decodePeerDatagram(bytes!).toMaybe().extract();
	return datagram!.messages[0]!.prefills;
}

function createDemand(id: string, now: number): PlacementDemand {
	return {
		service,
		account: undefined,
		triedUpstreams: new Set(),
		arrivedAt: now,
		deadlineAt: now + 5000,
		signal: new AbortController().signal,
		request: createRequest({id, callerTimeoutMs: 5000, prompt: {tokens: 4000, maxOutputTokens: 80, parts: [{id: `own-${id}`, tokens: 4000}]}}),
		route: createRoute({
			kind: 'stream', timeoutMs: 5000, targetLatencyMs: 400, targets: [{service, weight: 1}],
		}),
	};
}

describe('an engine that rejects work', () => {
	// Guards against every daemon finding out by a send of its own that an engine rejects.
	test('is avoided by the other daemons after the first rejected send', async () => {
		const pair = new PairFixture();
		const first = await pair.place(0, 'first');
		first.release({kind: 'rejected', elapsedMs: 5});
		for (const id of ['a', 'b', 'c', 'd']) {
			const placement = await pair.place(1, id);
			expect(placement.upstream.id).not.toBe(first.upstream.id);
		}
	});

	test('is avoided by all daemons from the order of a stage change until the change should be visible', async () => {
		const pair = new PairFixture();
		pair.scheduler(0).stageChangeOrdered(createUpstream({id: 'e-1', service, stage: 'prefill'}));
		for (const index of [0, 1, 0, 1]) {
			const placement = await pair.place(index, `during-${index}-${pair.clock.now()}`);
			expect(placement.upstream.id).toBe('e-2');
			pair.clock.advance(100);
		}

		pair.clock.advance(5000);
		const chosen = await Promise.all(['x', 'y', 'z', 'w'].map(async id => pair.place(1, id)));
		expect(chosen.map(({upstream}) => upstream.id)).toContain('e-1');
	});

	test('has no lasting effect if a daemon announces an absurd time', async () => {
		const pair = new PairFixture();
		pair.scheduler(1).acceptPrefills([{upstream: 'e-1', parts: [], unavailableMs: 1e12}]);
		pair.clock.advance(11_000);
		const chosen = await Promise.all(['x', 'y', 'z', 'w'].map(async id => pair.place(1, id)));
		expect(chosen.map(({upstream}) => upstream.id)).toContain('e-1');
	});
});

describe('durations of prefills', () => {
	test('are learned from other daemons, so that a daemon that starts knows the speed of the service', () => {
		const pair = new PairFixture();
		for (let count = 0; count < 40; count += 1) {
			const tokens = 1000 + ((count % 8) * 1000);
			pair.scheduler(1).acceptPrefills(transmit({upstream: 'e-1', parts: [], observation: {tokens, elapsedMs: 40 + (tokens / 51)}}));
		}

		expect(pair.scheduler(1).prefillRate(service).tokensPerMs).toBeLessThan(75);
		expect(pair.scheduler(0).prefillRate(service).tokensPerMs).toBeCloseTo(157);
	});
});
