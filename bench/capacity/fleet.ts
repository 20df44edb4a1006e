import {performance} from 'node:perf_hooks';
import {median} from 'simple-statistics';
import {AccountUsage} from '../../src/process/accounts/account-usage.ts';
import {SystemClock} from '../../src/process/clock.ts';
import {DecisionLog} from '../../src/process/fleet/decision-log.ts';
import {FleetScheduler} from '../../src/process/fleet/fleet-scheduler.ts';
import {UpstreamRegistry} from '../../src/process/fleet/upstream-registry.ts';
import {PeerLoadTracker} from '../../src/process/peers/peer-load-tracker.ts';
import {decodePeerDatagram, encodePeerDatagrams, type PeerMessage} from '../../src/process/peers/peer-message.ts';
import {SeededRandom} from '../../src/process/random.ts';
import type {PlacementDemand} from '../../src/request/delivery/upstream-scheduler.ts';
import {
	createModelService, createRequest, createRoute, createUpstream,
} from '../../test/fixtures/fleet/configuration.ts';
import {createUpstreamBackpressure} from '../../test/fixtures/upstream-backpressure.ts';
import {measureTime} from './resources.ts';
import type {SlopeMeasure} from './slope.ts';

const designDaemons = 420;
const designEngines = 12_000;
const zones = 12;
const seed = 71;
/** A relay forwards news 20 times per second; in each interval, a daemon at the design size reports three requests. */
const batchesPerSecond = 20;
const changesPerBatch = 3;
const maxDatagramBytes = 1400;
const service = 'model';
const placementCount = 400;

/** Costs of news between daemons and of placing prompts on engines, on the operator's platform. */
export const fleetSlopes: readonly SlopeMeasure[] = [
	{
		name: 'bytes of news that one daemon gets from its relay',
		costUnit: 'B/s',
		sizeUnit: 'daemons',
		sizes: [24, 120, 420],
		designSize: designDaemons,
		measure: size => encodeBatch(size).reduce((sum, {length}) => sum + length, 0) * batchesPerSecond,
	},
	{
		name: 'processor time a second to take the news of one relay',
		costUnit: 'ms',
		sizeUnit: 'daemons',
		sizes: [24, 120, 420],
		designSize: designDaemons,
		measure(size) {
			const batch = encodeBatch(size);
			const tracker = new PeerLoadTracker();
			const batchUs = measureTime(() => {
				for (const datagram of batch) {
					for (const message of decodePeerDatagram(datagram).unsafeCoerce().messages) {
						tracker.apply(message, performance.now());
					}
				}
			}, {rounds: 5, calls: 40});
			return (batchUs * batchesPerSecond) / 1000;
		},
	},
	{
		name: 'processor time to place a prompt',
		costUnit: 'µs',
		sizeUnit: 'engines',
		sizes: [60, 1000, 12_000],
		designSize: designEngines,
		async measure(size) {
			const scheduler = createScheduler(size);
			const times: number[] = [];
			for (let count = 0; count < placementCount; count += 1) {
				const demand = createDemand(count);
				const start = performance.now();
				const result = await scheduler.placePrefill(demand);
				times.push((performance.now() - start) * 1000);
				if ('release' in result) {
					result.release({kind: 'served', elapsedMs: result.predictedMs});
				}
			}

			return median(times);
		},
	},
];

function encodeBatch(daemons: number): readonly Uint8Array[] {
	const random = new SeededRandom(seed);
	const chooseEngine = () => `i-${random.integer(2 ** 30).toString(16)}`;
	const messages = Array.from({length: daemons}, (_, index): PeerMessage => ({
		daemon: `daemon-${index}`,
		entry: {address: `10.0.0.${index % 250}:7380`, availabilityZone: `zone-${index % zones}`, linkMbps: 1000},
		isSnapshot: false,
		loads: Array.from({length: changesPerBatch}, () => ({
			upstream: chooseEngine(), runs: random.integer(9), tokensByPriority: new Map([[random.integer(3), random.integer(20_000)]]),
		})),
		prefills: [{upstream: chooseEngine(), parts: Array.from({length: 2}, () => ({id: random.integer(2 ** 30).toString(16), tokens: random.integer(20_000)}))}],
		queued: new Map(), excessQueued: new Map(), usage: [],
		crashNews: [],
		limits: [],
		leaving: [],
		tables: [],
		work: [],
	}));
	return encodePeerDatagrams({sender: 'relay', scope: 'final', messages}, maxDatagramBytes);
}

function createScheduler(engines: number): FleetScheduler {
	const registry = new UpstreamRegistry();
	for (let index = 0; index < engines; index += 1) {
		registry.set(createUpstream({
			id: `engine-${index}`, service, availabilityZone: `zone-${index % zones}`, stage: index % 4 === 0 ? 'decode' : 'prefill',
		}));
	}

	const services = new Map([[service, createModelService(service)]]);
	return new FleetScheduler({
		clock: new SystemClock(),
		random: new SeededRandom(seed),
		log: new DecisionLog({}, (_bytes, done) => {
			done(undefined);
		}),
		registry,
		backpressure: createUpstreamBackpressure(),
		peers: {
			peerLoads: new PeerLoadTracker(),
			markLoadChanged() {
				// This benchmark has no peers to notify.
			},
			announcePrefill() {
				// This benchmark has no peers to notify.
			},
			newsDelayMs: () => 0,
		},
		accountUsage: new AccountUsage(),
		availabilityZone: 'zone-0',
		services: () => services,
		onUpstreamDown() {
			// No engine fails in this benchmark.
		},
	});
}

function createDemand(count: number): PlacementDemand {
	const now = performance.now();
	return {
		service,
		account: undefined,
		triedUpstreams: new Set(),
		arrivedAt: now,
		deadlineAt: now + 5000,
		signal: new AbortController().signal,
		request: createRequest({
			id: String(count), callerTimeoutMs: 5000, prompt: {tokens: 17_020, maxOutputTokens: 80, parts: [{id: `shared-${count % 50}`, tokens: 13_300}, {id: `own-${count}`, tokens: 3720}]},
		}),
		route: createRoute({
			kind: 'stream', timeoutMs: 5000, targetLatencyMs: 400, targetGapMs: 200, isResumable: true, targets: [{service, weight: 1}],
		}),
	};
}
