import {setTimeout as delay} from 'node:timers/promises';
import {
	describe, expect, it, vi,
} from 'vitest';
import {request} from 'undici';
import {
	createLocalDeployment, demoKey, demoModels, type LocalDeployment,
} from '../../src/demo/local-deployment.ts';
import {waitUntilReady} from '../../src/demo/mixed-load.ts';
import type {Host} from '../../src/ports/host-list.ts';
import {createLog} from '../../src/process/create-log.ts';
import {conditionOf, readStatus} from '../fixtures/peer-status.ts';

const leaveLimitMs = 3000;
const returnLimitMs = 8000;
const knownLimitMs = 5000;
/** Pause between batches of requests; without one they would starve the daemons, which run in the same process. */
const batchIntervalMs = 100;
const listLagMs = 60_000;
const [model] = demoModels;
const upstream = `${model}-zone-a-0`;

describe.concurrent('an upstream that leaves', () => {
	it('is known at all daemons within 3 s of a 503 response at one, although the host list lags, and is live again after its return', async () => {
		await using deployment = await start();
		deployment.engines[0]!.setFaults({leaving: true});
		await workAt(deployment, 0);
		await seesState(deployment, 'leaving', leaveLimitMs);
		deployment.engines[0]!.setFaults({leaving: false});
		await seesState(deployment, 'live', returnLimitMs);
	});

	it('is known at all daemons within 3 s of a refused connection and a failed probe, so that no work goes to a dead host', async () => {
		await using deployment = await start();
		await deployment.engines[0]![Symbol.asyncDispose]();
		// A single batch of requests may miss the dead engine, so that no connection is refused.
		const stop = new AbortController();
		const work = workUntil(deployment, 1, stop.signal);
		await seesState(deployment, 'leaving', leaveLimitMs).finally(() => {
			stop.abort();
		});
		await work;
	});

	it('is known from the host list alone, and is live again when the list says so', async () => {
		await using deployment = await start(0);
		setListed(deployment, 'leaving');
		await seesState(deployment, 'leaving', leaveLimitMs);
		setListed(deployment, 'live');
		await seesState(deployment, 'live', returnLimitMs);
	});
});

async function start(lagMs = listLagMs): Promise<LocalDeployment> {
	const deployment = await createLocalDeployment({log: createLog('error', 'hidden')});
	await waitUntilReady(deployment);
	await vi.waitFor(async () => {
		for (const address of addressesOf(deployment)) {
			for (const zone of ['zone-a', 'zone-b', 'zone-c']) {
				expect(await conditionOf(address, `daemon-${zone}-0`)).not.toBe('dead');
			}

			const {hosts} = await readStatus(address);
			expect(hosts.members).toHaveLength(2);
		}
	}, {timeout: knownLimitMs, interval: 50});
	deployment.hosts.setFaults({lagMs});
	return deployment;
}

/** Sends batches of requests to one daemon until the signal aborts, so that each engine of the model gets some. */
async function workUntil(deployment: LocalDeployment, index: number, signal: AbortSignal): Promise<void> {
	while (!signal.aborted) {
		await workAt(deployment, index);
		await delay(batchIntervalMs);
	}
}

/** Sends one batch of requests to one daemon. */
async function workAt({urls}: LocalDeployment, index: number): Promise<void> {
	await Promise.all(Array.from({length: 12}, async () => {
		const response = await request(`${urls[index]}/v1/completions`, {
			method: 'POST', headers: {authorization: `Bearer ${demoKey}`}, body: JSON.stringify({model, prompt: 'check', max_tokens: 2}),
		});
		await response.body.dump();
	}));
}

function setListed({hosts}: LocalDeployment, state: Host['state']): void {
	hosts.setHosts(hosts.hosts.map(host => host.id === upstream ? {...host, state} : host));
}

function addressesOf({daemons}: LocalDeployment): readonly string[] {
	return daemons.map(({peerAddress: {host, port}}) => `${host}:${port}`);
}

async function seesState(deployment: LocalDeployment, state: string, timeout: number): Promise<void> {
	await vi.waitFor(async () => {
		for (const address of addressesOf(deployment)) {
			const {upstreams} = await readStatus(address);
			expect(upstreams.find(({id}) => id === upstream)?.state).toBe(state);
		}
	}, {timeout, interval: 50});
}
