import {setTimeout as delay} from 'node:timers/promises';
import {describe, expect, test} from 'vitest';
import {createOperatorConfiguration, FleetFixture} from '../../fixtures/fleet/fleet-fixture.ts';
import type {UpstreamBehaviour} from '../../fixtures/fleet/upstream-server.ts';

const reportWindowMs = 2000;
const tenants = [{name: 'north', api_keys: ['k-north']}, {name: 'south', api_keys: ['k-south']}];
const keyOf = (account: string) => ({authorization: `Bearer k-${account}`});

/** Waits until no window in which requests ran lacks a report. */
async function waitForReports(fleet: FleetFixture): Promise<void> {
	const last = Math.floor(Date.now() / reportWindowMs);
	await fleet.waitUntil(() => fleet.duties.reports.has(last), 12_000);
}

/** Returns the reported runs of all windows, by account. */
function sumReports(fleet: FleetFixture): Readonly<Record<string, number>> {
	const sums: Record<string, number> = {};
	for (const counts of fleet.duties.reports.values()) {
		for (const [account, count] of Object.entries(counts)) {
			sums[account] = (sums[account] ?? 0) + count;
		}
	}

	return sums;
}

describe('a deployment with client accounts', () => {
	test('reports once a window what the callers of all daemons ran', async () => {
		await using fleet = new FleetFixture();
		await fleet.start([{id: 'u-1'}, {id: 'p-1', stage: 'prefill'}, {id: 'd-1', stage: 'decode'}], {daemons: 3, reportWindowMs, configuration: {tenants}});
		for (let round = 0; round < 20; round += 1) {
			await Promise.all([0, 1, 2].flatMap(daemon => [
				fleet.send({path: '/lookup/1', daemon, headers: keyOf('north')}),
				fleet.stream('/brief/1', {daemon, headers: keyOf('south')}),
			]));
			await delay(150);
		}

		await waitForReports(fleet);
		expect(sumReports(fleet)).toEqual({north: 60, south: 60});
		const windows = [...fleet.duties.reports.keys()].toSorted((a, b) => a - b);
		expect(windows).toEqual(Array.from({length: windows.length}, (_, index) => windows[0]! + index));
		expect(fleet.duties.received).toHaveLength(windows.length);
		expect(new Set(fleet.duties.received.map(({holder}) => holder)).size).toBe(1);
		expect(fleet.duties.violations).toEqual([]);
		const metrics = await fleet.metrics();
		expect(metrics).toContain('wagtailtack_duties_held 1');
		expect(metrics).toMatch(/wagtailtack_usage_reports_total\{result="accepted"\} \d/v);
		expect(metrics).toContain('wagtailtack_usage_daemons_reached 3');
	}, 40_000);

	// Guards against counting sends instead of runs.
	test.each<[string, Partial<UpstreamBehaviour>, string, number | undefined]>([
		['rejections', {status: 503, isMarkedNotRun: true}, '/book/1', undefined],
		['errors', {status: 500}, '/book/1', 1],
		['lost answers', {losesAnswer: true}, '/book/1', 1],
		['answers of another request', {crossesAnswers: true}, '/book/1', 1],
		['streams whose answer is lost before the first event', {stage: 'decode', losesAnswer: true}, '/flag/1', undefined],
		['streams that break off', {stage: 'decode', closesAfterEvents: 2}, '/flag/1', 1],
		['streams that are resumed', {stage: 'decode', closesAfterEvents: 2}, '/brief/1', 2],
	])('counts the runs of %s', async (_name, behaviour, path, runs) => {
		await using fleet = new FleetFixture();
		await fleet.start(behaviour.stage === undefined ? [{id: 'u-1', ...behaviour}] : [{id: 'd-1', ...behaviour}, {id: 'd-2', ...behaviour}], {reportWindowMs, configuration: {tenants}});
		await fleet.stream(path, {headers: keyOf('north'), deadlineMs: 1000});
		await waitForReports(fleet);
		expect(sumReports(fleet).north).toBe(runs);
	}, 20_000);

	test('reports nothing for callers of public routes', async () => {
		await using fleet = new FleetFixture();
		const {routes} = createOperatorConfiguration() as {readonly routes: ReadonlyArray<Readonly<Record<string, unknown>>>};
		await fleet.start([{id: 'u-1'}], {reportWindowMs, configuration: {tenants, routes: routes.map(route => ({...route, public: true}))}});
		expect(await fleet.status({path: '/lookup/1'})).toBe(200);
		await waitForReports(fleet);
		expect(sumReports(fleet)).toEqual({});
	}, 20_000);
});
