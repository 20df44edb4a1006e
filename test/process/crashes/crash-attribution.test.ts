import {describe, expect, it} from 'vitest';
import {
	allCrashAttributionGuards, CrashAttribution, type CrashNews, type CrashAttributionGuards,
} from '../../../src/process/crashes/crash-attribution.ts';
import {identify} from '../../fixtures/request-identity.ts';
import {CrashSchedule, type CrashScheduleOptions} from '../../fixtures/crash-schedule.ts';

/** Time after a crash by which `tick` has condemned or freed its suspects, in milliseconds. */
const decisionDelayMs = 2000;
const seeds = Array.from({length: 10}, (_, index) => index + 1);
const singleCulprit: Omit<CrashScheduleOptions, 'seed'> = {
	daemons: 1, upstreams: 8, culprits: 1, harmlessRequests: 300, arrivalIntervalMs: 10,
};

/**
Simulates a crash of an upstream with some requests in flight; attempt ids differ between crashes at different times.

In the tests below, the requests `p` and `q` crash upstreams; the others are merely in flight.
*/
function crash(attribution: CrashAttribution, upstream: string, fingerprints: readonly string[], now: number): void {
	const ids = fingerprints.map((_, index) => (now * 100) + index);
	for (const [index, fingerprint] of fingerprints.entries()) {
		attribution.attemptStarted(ids[index]!, {upstream, ...identify(fingerprint), startedAt: now});
	}

	for (const id of ids) {
		attribution.attemptEnded(id, 'lost', now + 10);
	}

	attribution.upstreamDown(upstream, 'refused', now + 10);
}

describe('CrashAttribution', () => {
	it('holds a request back after two crashes, and condemns it if nothing else explains them', () => {
		const attribution = new CrashAttribution();
		crash(attribution, 'u1', ['p', 'a', 'b'], 0);
		expect(['p', 'a', 'b', 'c'].map(name => attribution.statusOf(identify(name), 100))).toEqual(['suspect', 'suspect', 'suspect', 'free']);
		crash(attribution, 'u2', ['p', 'c'], 1000);
		expect(attribution.statusOf(identify('p'), 1100)).toBe('pending');
		attribution.tick(1010 + decisionDelayMs);
		expect(['p', 'a', 'c'].map(name => attribution.statusOf(identify(name), 3100))).toEqual(['condemned', 'free', 'free']);
	});

	it('keeps a request condemned for as long as the news says (10 minutes)', () => {
		const attribution = new CrashAttribution();
		attribution.applyNews({kind: 'condemned', fingerprint: 'p', refusedForMs: 600_000}, 0);
		expect(attribution.statusOf(identify('p'), 599_999)).toBe('condemned');
		expect(attribution.statusOf(identify('p'), 600_000)).toBe('free');
	});

	// Guards against the wrong one of two requests being condemned: they are distinguished by a third crash, not by chance.
	it('keeps contested requests off the same upstream until a third crash', () => {
		const attribution = new CrashAttribution();
		crash(attribution, 'u1', ['p', 'a'], 0);
		crash(attribution, 'u2', ['p', 'a'], 1000);
		expect(['p', 'a'].map(name => attribution.statusOf(identify(name), 1100))).toEqual(['contested', 'contested']);
		attribution.attemptStarted(1, {upstream: 'u1', ...identify('a'), startedAt: 1400});
		expect(attribution.selectAllowed(identify('p'), [{id: 'u1'}], 1900)).toEqual([]);
		expect(attribution.selectAllowed(identify('p'), [{id: 'u1'}, {id: 'u2'}], 1900)).toEqual([{id: 'u2'}]);
		crash(attribution, 'u2', ['p'], 2000);
		attribution.tick(2010 + decisionDelayMs);
		expect(['p', 'a'].map(name => attribution.statusOf(identify(name), 4100))).toEqual(['condemned', 'free']);
	});

	// Guards against contested requests running beside each other at different daemons, so that the next crash tells nothing.
	it('lets contested requests start in turn, at all daemons in the same', () => {
		const attribution = new CrashAttribution();
		crash(attribution, 'u1', ['p', 'a'], 0);
		crash(attribution, 'u2', ['p', 'a'], 1000);
		const maySend = (name: string) => Array.from({length: 24}, (_, index) => 1050 + (index * 100)).filter(now => attribution.withheldForMs(identify(name), now) === 0);
		const [a, p] = [maySend('a'), maySend('p')];
		expect(a.length).toBeGreaterThan(0);
		expect(p.length).toBeGreaterThan(0);
		expect(a.filter(time => p.includes(time))).toEqual([]);
		for (const time of [1100, 1500, 2500]) {
			const withheldMs = attribution.withheldForMs(identify('p'), time);
			expect(attribution.withheldForMs(identify('p'), time + withheldMs)).toBe(0);
		}
	});

	it('stops suspecting a request once another request on the same upstream completes', () => {
		const attribution = new CrashAttribution();
		attribution.attemptStarted(1, {upstream: 'u1', ...identify('a'), startedAt: 0});
		attribution.attemptStarted(2, {upstream: 'u1', ...identify('b'), startedAt: 0});
		attribution.attemptEnded(1, 'lost', 10);
		expect(attribution.statusOf(identify('a'), 10)).toBe('suspect');
		attribution.attemptEnded(2, 'complete', 20);
		expect(attribution.statusOf(identify('a'), 20)).toBe('free');
	});

	it('counts a crash once if several daemons report it', () => {
		const attribution = new CrashAttribution();
		attribution.applyNews({
			kind: 'suspected', ...identify('p'), upstream: 'u1', ageMs: 50,
		}, 100);
		crash(attribution, 'u1', ['p'], 60);
		expect(attribution.statusOf(identify('p'), 200)).toBe('suspect');
	});

	it('clears a request that completes, and announces it to the other daemons', () => {
		const attribution = new CrashAttribution();
		crash(attribution, 'u1', ['a'], 0);
		attribution.takeNews();
		attribution.attemptStarted(1, {upstream: 'u2', ...identify('a'), startedAt: 100});
		attribution.attemptEnded(1, 'complete', 200);
		expect(attribution.takeNews()).toEqual([{kind: 'cleared', fingerprint: 'a'}] satisfies CrashNews[]);
		crash(attribution, 'u2', ['a'], 300);
		expect(attribution.statusOf(identify('a'), 400)).toBe('free');
	});

	// Guards against a popular request being condemned because it was in flight in crashes that other requests caused.
	it.each([[true, 'free'], [false, 'condemned']])('with the guard clearsCompleted set to %s, a request that has completed is %s', (clearsCompleted, status) => {
		const attribution = new CrashAttribution({...allCrashAttributionGuards, clearsCompleted});
		crash(attribution, 'u1', ['a', 'p'], 0);
		attribution.attemptStarted(1, {upstream: 'u2', ...identify('a'), startedAt: 100});
		attribution.attemptEnded(1, 'complete', 200);
		crash(attribution, 'u3', ['a', 'q'], 1000);
		attribution.tick(1010 + decisionDelayMs);
		expect(attribution.statusOf(identify('a'), 3100)).toBe(status);
	});

	// Guards against requests being condemned when a rack fails: a retry on another host of the rack puts them in a second crash that they did not cause.
	it.each([[true, 'contested'], [false, 'condemned']])('with the guard excludesCorrelatedFailures set to %s, a request in two of three crashes is %s', (excludesCorrelatedFailures, status) => {
		const attribution = new CrashAttribution({...allCrashAttributionGuards, excludesCorrelatedFailures});
		crash(attribution, 'u1', ['a', 'b', 'c'], 0);
		crash(attribution, 'u2', ['a', 'd'], 300);
		crash(attribution, 'u3', ['b', 'e'], 500);
		attribution.tick(510 + decisionDelayMs);
		expect(['a', 'b'].map(name => attribution.statusOf(identify(name), 2600))).toEqual([status, status]);
	});

	// Guards against memory that grows with the number of crashing requests, and against new ones freeing those condemned before.
	it('keeps 10,000 requests condemned, and no more', {timeout: 60_000}, () => {
		const attribution = new CrashAttribution();
		for (let index = 0; index <= 10_000; index += 1) {
			attribution.applyNews({kind: 'condemned', fingerprint: `p${index}`, refusedForMs: 600_000}, index * 10);
		}

		const now = 100_010;
		const condemned = Array.from({length: 10_001}, (_, index) => attribution.statusOf(identify(`p${index}`), now)).filter(status => status === 'condemned');
		expect(condemned).toHaveLength(10_000);
		expect(attribution.repeatNews(now, true).length).toBeLessThanOrEqual(14);
	});

	it('returns the candidates unchanged while nothing has crashed', () => {
		const candidates = [{id: 'u1'}, {id: 'u2'}];
		expect(new CrashAttribution().selectAllowed(identify('a'), candidates, 0)).toBe(candidates);
	});
});

function runAll(options: Omit<CrashScheduleOptions, 'seed'>) {
	const reports = seeds.map(seed => new CrashSchedule({...options, seed}).run());
	return {
		crashes: reports.flatMap(report => report.crashes).toSorted((a, b) => a - b),
		condemnedHarmlessRequests: reports.reduce((sum, report) => sum + report.condemnedHarmlessRequests, 0),
		completedHarmlessRequests: reports.map(report => report.completedHarmlessRequests),
	};
}

describe('a schedule with requests that crash upstreams', () => {
	it('stops a single culprit after at most three crashes, and condemns no other request', () => {
		const {crashes, condemnedHarmlessRequests, completedHarmlessRequests} = runAll(singleCulprit);
		expect(crashes.at(-1)).toBeLessThanOrEqual(3);
		expect(condemnedHarmlessRequests).toBe(0);
		expect(new Set(completedHarmlessRequests)).toEqual(new Set([singleCulprit.harmlessRequests]));
	});

	// A resend may reach another daemon before the news does, so single schedules may need more than three crashes.
	it.each([
		['two culprits at once', {...singleCulprit, culprits: 2}],
		['resends to several daemons', {...singleCulprit, daemons: 4}],
		['two culprits and several daemons', {
			...singleCulprit, daemons: 4, culprits: 2, upstreams: 13,
		}],
	])('%s: condemns no harmless request, and needs at most three crashes in the median', (_, options) => {
		const {crashes, condemnedHarmlessRequests, completedHarmlessRequests} = runAll(options);
		expect(crashes[Math.floor(crashes.length / 2)]).toBeLessThanOrEqual(3);
		expect(condemnedHarmlessRequests).toBe(0);
		expect(new Set(completedHarmlessRequests)).toEqual(new Set([singleCulprit.harmlessRequests]));
	});

	/** Crashes that one request may cause in all, whatever the number of daemons. */
	const maxCrashes = 4;

	// Guards against each daemon counting for itself, or all of them running several suspects beside each other.
	it.each<[string, Pick<CrashScheduleOptions, 'daemons' | 'upstreams'>, number?]>([
		['one daemon before 3 upstreams', {daemons: 1, upstreams: 3}],
		['one daemon before 8 upstreams', {daemons: 1, upstreams: 8}],
		['2 daemons before 8 upstreams', {daemons: 2, upstreams: 8}],
		['8 daemons before 8 upstreams', {daemons: 8, upstreams: 8}],
		['8 daemons before 13 upstreams', {daemons: 8, upstreams: 13}],
		['2 daemons before 3 upstreams', {daemons: 2, upstreams: 3}, 1000],
	])('%s that restart in 600 ms: crashes at most four, and condemns no harmless request', (_, options, schedules = 100) => {
		const reports = Array.from({length: schedules}, (__, seed) => new CrashSchedule({
			...singleCulprit, ...options, restartMs: 600, seed: seed + 1,
		}).run());
		expect(reports.reduce((sum, report) => sum + report.condemnedHarmlessRequests, 0)).toBe(0);
		expect(Math.max(...reports.flatMap(({crashes}) => crashes))).toBeLessThanOrEqual(maxCrashes);
	});

	/** Time after its third crash within which a request must be known to all daemons, in milliseconds. */
	const knownAfterMs = 3000;

	// Guards against news that is told once and lost.
	it.each([[2, 8], [8, 13]])('%i daemons before %i upstreams, with a third of the news lost: no crash later than 3 s after the third, and condemns no harmless request', (daemons, upstreams) => {
		const reports = Array.from({length: 50}, (_, seed) => new CrashSchedule({
			...singleCulprit, daemons, upstreams, restartMs: 600, newsLoss: 1 / 3, seed: seed + 1,
		}).run());
		const late = reports.flatMap(({crashTimes}) => crashTimes.filter(time => time > (crashTimes[2] ?? Number.POSITIVE_INFINITY) + knownAfterMs));
		expect(late).toEqual([]);
		expect(reports.reduce((sum, report) => sum + report.condemnedHarmlessRequests, 0)).toBe(0);
	});

	// Shows that the schedules above detect an implementation without the guard.
	it.each<[keyof CrashAttributionGuards, Omit<CrashScheduleOptions, 'seed'>, 'condemned' | 'crashes']>([
		['requiresUniqueCulprit', singleCulprit, 'condemned'],
		['waitsForOtherCulprits', {...singleCulprit, daemons: 4}, 'condemned'],
		['separatesSuspects', {...singleCulprit, arrivalIntervalMs: 5}, 'crashes'],
	])('without the guard %s, condemns a harmless request or needs more than three crashes', (guard, options, failure) => {
		const {crashes, condemnedHarmlessRequests} = runAll({...options, guards: {...allCrashAttributionGuards, [guard]: false}});
		expect(failure === 'condemned' ? condemnedHarmlessRequests > 0 : crashes.at(-1)! > 3).toBe(true);
	});
});
