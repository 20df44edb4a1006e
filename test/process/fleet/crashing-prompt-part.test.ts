import {setTimeout as delay} from 'node:timers/promises';
import {expect, test} from 'vitest';
import {FleetFixture, type CallerResponse} from '../../fixtures/fleet/fleet-fixture.ts';
import {holdsPart, type UpstreamBehaviour} from '../../fixtures/fleet/upstream-server.ts';

const crashPart = 'dead';
const engine: Partial<UpstreamBehaviour> = {
	stage: 'decode', crashPart, eventCount: 10, eventIntervalMs: 20,
};
const restartMs = 700;
const arrivalIntervalMs = 100;
const trafficMs = 12_000;
/** Time after the fifth crash within which every daemon must refuse requests with the part, in milliseconds. */
const contactMs = 3000;
/** Number of requests with the part that may still reach upstreams later than that. */
const maxLateRequests = 3;

type Sample = {readonly sentAt: number; readonly response: CallerResponse};

/** Sends a request every `arrivalIntervalMs`, each with a last part of its own. */
async function sendEach(fleet: FleetFixture, sharedParts: string): Promise<readonly Sample[]> {
	const end = performance.now() + trafficMs;
	const samples: Array<Promise<Sample>> = [];
	while (performance.now() < end) {
		const sentAt = performance.now();
		const own = `${sharedParts.length}${samples.length}`;
		const response = fleet.stream(`/brief/${own}`, {body: own, headers: {'x-prompt-prefix': `${sharedParts},${own}:2500`}});
		samples.push(response.then(value => ({sentAt, response: value})));
		await delay(arrivalIntervalMs);
	}

	return Promise.all(samples);
}

test('different requests with one prompt part that crashes upstreams are refused after the fifth crash, and others with the same first part are served', {timeout: 40_000}, async () => {
	await using fleet = new FleetFixture();
	await fleet.start([{id: 'u-1', stage: 'prefill'}, {...engine, id: 'u-2'}, {...engine, id: 'u-3'}, {...engine, id: 'u-4'}]);
	const stop = fleet.restartCrashed(restartMs);
	const [, harmless] = await Promise.all([sendEach(fleet, `5c1e:8000,${crashPart}:4100`), sendEach(fleet, '5c1e:8000,91bd:4100')]);
	await stop();

	const crashTimes = fleet.upstreams.flatMap(upstream => upstream.crashTimes).toSorted((a, b) => a - b);
	expect(crashTimes.length).toBeGreaterThan(0);
	const decisiveAt = crashTimes[4] ?? crashTimes.at(-1)!;
	const late = fleet.upstreams.flatMap(({receivedRequests}) => receivedRequests).filter(({headers, receivedAt}) => holdsPart(headers, crashPart) && receivedAt > decisiveAt + contactMs);
	expect(late.length).toBeLessThanOrEqual(maxLateRequests);
	const after = harmless.filter(({sentAt}) => sentAt > decisiveAt + (2 * contactMs));
	expect(after.length).toBeGreaterThanOrEqual(20);
	expect(after.filter(({response}) => response.status === 200 && response.isWhole).length).toBe(after.length);
});
