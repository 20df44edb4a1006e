import {setImmediate as nextTurn} from 'node:timers/promises';
import {describe, expect, test} from 'vitest';
import {HttpUpstreamProtocol} from '../../../platform/http-upstream-protocol.ts';
import type {ExchangeListener} from '../../../src/connection/links/exchange.ts';
import type {Upstream} from '../../../src/ports/upstream.ts';
import type {WireRequest} from '../../../src/ports/upstream-protocol.ts';
import {ByteBudget} from '../../../src/request/byte-budget.ts';
import {accessChangeReasons, type DeliveryDependencies, type DeliveryJob} from '../../../src/request/delivery/delivery.ts';
import {PlainDelivery} from '../../../src/request/delivery/plain-delivery.ts';
import {StreamDelivery} from '../../../src/request/delivery/stream-delivery.ts';
import type {Placement} from '../../../src/request/delivery/upstream-scheduler.ts';
import {createRequest, createRoute, createUpstream} from '../../fixtures/fleet/configuration.ts';

function nothing(): void {
	// The fakes keep no state.
}

const placement: Placement = {
	upstream: createUpstream(), predictedMs: 1, rank: 1, fetchFrom: undefined, reportFirstEvent: nothing, reportLoad: nothing, reportSilence: nothing, release: nothing,
};

/** Delivers a request whose access ends after the send was handed to the connection, and before it is written; returns the refusal and the number of written sends. */
async function deliver(isStream: boolean, isWhole: boolean, reason: string): Promise<{readonly kind: string | undefined; readonly written: number}> {
	const start = new AbortController();
	let written = 0;
	let kind: string | undefined;
	const place = async () => start.signal.aborted ? {reason: 'cancelled', retryAfterMs: 0} : placement;
	const dependencies = {
		clock: {now: () => performance.now()},
		protocol: new HttpUpstreamProtocol(),
		upstreamClients: {
			answerBudget: new ByteBudget(1_000_000),
			silentUpstreams: () => [],
			countExchanges: () => 2,
			send(_upstream: Upstream, _wire: WireRequest, listener: ExchangeListener) {
				const connect = async () => {
					await nextTurn();
					start.abort(reason);
					written += listener.shouldStart?.() === false ? 0 : 1;
					listener.onFailed({wasSent: false, kind: 'cancelled', message: 'not written'});
				};

				void connect();
				return {cancel: nothing, isStarted: false};
			},
		},
		scheduler: {
			isModelService: () => isStream, hasUntriedUpstream: () => false, placePlain: place, placePrefill: place, placeDecode: place, placeWhole: () => isWhole ? placement : undefined,
		},
		backpressure: {isPaused: () => false, count: nothing},
		retryBudget: {take: () => true},
		crashes: {findRefusal: () => undefined, begin: () => nothing, excludedUpstreams: () => new Set()},
		log: {write: nothing},
	} as unknown as DeliveryDependencies;
	const job = {
		request: createRequest(),
		identity: {fingerprint: '', promptParts: []},
		route: createRoute({kind: isStream ? 'stream' : 'idempotent', isResumable: true}),
		service: 'desk',
		account: 'north',
		arrivedAt: performance.now(),
		deadlineAt: performance.now() + 2000,
		answer: {
			hasBegun: false,
			refuse(refusal: {readonly kind: string}) {
				({kind} = refusal);
			},
		},
		open: {beginSend: () => true, endSend: nothing},
		signal: new AbortController().signal,
		startSignal: start.signal,
	} as unknown as DeliveryJob;
	await (isStream ? new StreamDelivery(dependencies, job) : new PlainDelivery(dependencies, job)).run();
	return {kind, written};
}

describe('a send whose access ends while it waits for a connection', () => {
	test.each([
		['of a plain request', false, false],
		['that reads a prompt', true, false],
		['of a whole stream', true, true],
	])('%s is not written, and refused by the cause', async (_name, isStream, isWhole) => {
		expect(await deliver(isStream, isWhole, accessChangeReasons.withdrawn)).toEqual({kind: 'unauthorized', written: 0});
		expect(await deliver(isStream, isWhole, accessChangeReasons.changed)).toEqual({kind: 'busy', written: 0});
	});

	test('is written after the daemon has begun to stop, as before', async () => {
		const {written} = await deliver(false, false, 'stopping');
		expect(written).toBe(1);
	});
});
