import {describe, expect, it} from 'vitest';
import {
	allCrashAttributionGuards, CrashAttribution, type CrashNews, type CrashAttributionGuards,
} from '../../../src/process/crashes/crash-attribution.ts';
import {CrashSchedule, type CrashScheduleOptions} from '../../fixtures/crash-schedule.ts';

const settledMs = 2000;
const seeds = Array.from({length: 10}, (_, index) => index + 1);
const one: Omit<CrashScheduleOptions, 'seed'> = {
	daemons: 1, upstreams: 8, culprits: 1, innocents: 300, arrivalMs: 10,
};

/** Runs a crash of an upstream under some requests; the ids of its attempts are unique. */
function crash(suspicion: CrashAttribution, upstream: string, fingerprints: readonly string[], now: number): void {
	const ids = fingerprints.map((_, index) => (now * 100) + index);
	for (const [index, fingerprint] of fingerprints.entries()) {
		suspicion.attemptStarted(ids[index]!, {upstream, fingerprint, startedAt: now});
	}

	for (const id of ids) {
		suspicion.attemptEnded(id, 'lost', now + 10);
	}
}

describe('CrashSuspicion', () => {
	it('withholds a request after two crashes and condemns it once nothing else explains them', () => {
		const suspicion = new CrashAttribution();
		crash(suspicion, 'u1', ['p', 'a', 'b'], 0);
		expect(['p', 'a', 'b', 'c'].map(name => suspicion.statusOf(name, 100))).toEqual(['suspect', 'suspect', 'suspect', 'free']);
		crash(suspicion, 'u2', ['p', 'c'], 1000);
		expect(suspicion.statusOf('p', 1100)).toBe('pending');
		suspicion.tick(1010 + settledMs);
		expect(['p', 'a', 'c'].map(name => suspicion.statusOf(name, 3100))).toEqual(['condemned', 'free', 'free']);
	});

	it('refuses for 10 minutes', () => {
		const suspicion = new CrashAttribution();
		suspicion.applyNews({kind: 'condemned', fingerprint: 'p', refusedForMs: 600_000}, 0);
		expect(suspicion.statusOf('p', 599_999)).toBe('condemned');
		expect(suspicion.statusOf('p', 600_000)).toBe('free');
	});

	// Two requests that were in the same two crashes are told apart by a third crash, not by chance.
	it('runs requests that were in the same crashes apart until the third crash', () => {
		const suspicion = new CrashAttribution();
		crash(suspicion, 'u1', ['p', 'a'], 0);
		crash(suspicion, 'u2', ['p', 'a'], 1000);
		expect(['p', 'a'].map(name => suspicion.statusOf(name, 1100))).toEqual(['contested', 'contested']);
		suspicion.attemptStarted(1, {upstream: 'u1', fingerprint: 'a', startedAt: 1200});
		expect(suspicion.selectUsable('p', [{id: 'u1'}], 1200)).toEqual([]);
		expect(suspicion.selectUsable('p', [{id: 'u1'}, {id: 'u2'}], 1200)).toEqual([{id: 'u2'}]);
		crash(suspicion, 'u2', ['p'], 1300);
		suspicion.tick(1310 + settledMs);
		expect(['p', 'a'].map(name => suspicion.statusOf(name, 3400))).toEqual(['condemned', 'free']);
	});

	it('suspects nobody when other requests on the upstream complete', () => {
		const suspicion = new CrashAttribution();
		suspicion.attemptStarted(1, {upstream: 'u1', fingerprint: 'a', startedAt: 0});
		suspicion.attemptStarted(2, {upstream: 'u1', fingerprint: 'b', startedAt: 0});
		suspicion.attemptEnded(1, 'lost', 10);
		expect(suspicion.statusOf('a', 10)).toBe('suspect');
		suspicion.attemptEnded(2, 'complete', 20);
		expect(suspicion.statusOf('a', 20)).toBe('free');
	});

	it('counts one crash that several daemons report once', () => {
		const suspicion = new CrashAttribution();
		suspicion.applyNews({
			kind: 'suspected', fingerprint: 'p', upstream: 'u1', ageMs: 50,
		}, 100);
		crash(suspicion, 'u1', ['p'], 60);
		expect(suspicion.statusOf('p', 200)).toBe('suspect');
	});

	it('clears a request that completes, and tells the others', () => {
		const suspicion = new CrashAttribution();
		crash(suspicion, 'u1', ['a'], 0);
		suspicion.takeNews();
		suspicion.attemptStarted(1, {upstream: 'u2', fingerprint: 'a', startedAt: 100});
		suspicion.attemptEnded(1, 'complete', 200);
		expect(suspicion.takeNews()).toEqual([{kind: 'cleared', fingerprint: 'a'}] satisfies CrashNews[]);
		crash(suspicion, 'u2', ['a'], 300);
		expect(suspicion.statusOf('a', 400)).toBe('free');
	});

	// The same popular request may be in flight in crashes that others cause.
	it.each([[true, 'free'], [false, 'condemned']])('with the guard clearsCompleted %s finds a request that has completed %s', (clearsCompleted, standing) => {
		const suspicion = new CrashAttribution({...allCrashAttributionGuards, clearsCompleted});
		crash(suspicion, 'u1', ['a', 'p'], 0);
		suspicion.attemptStarted(1, {upstream: 'u2', fingerprint: 'a', startedAt: 100});
		suspicion.attemptEnded(1, 'complete', 200);
		crash(suspicion, 'u3', ['a', 'q'], 1000);
		suspicion.tick(1010 + settledMs);
		expect(suspicion.statusOf('a', 3100)).toBe(standing);
	});

	// A rack fails: requests that were sent again to another of its hosts were in two crashes without any fault of theirs.
	it.each([[true, 'contested'], [false, 'condemned']])('with the guard expectsWideFailures %s finds a request in two of three crashes %s', (expectsWideFailures, standing) => {
		const suspicion = new CrashAttribution({...allCrashAttributionGuards, excludesCorrelatedFailures: expectsWideFailures});
		crash(suspicion, 'u1', ['a', 'b', 'c'], 0);
		crash(suspicion, 'u2', ['a', 'd'], 300);
		crash(suspicion, 'u3', ['b', 'e'], 500);
		suspicion.tick(510 + settledMs);
		expect(['a', 'b'].map(name => suspicion.statusOf(name, 2600))).toEqual([standing, standing]);
	});

	it('leaves the candidates untouched while nothing has crashed', () => {
		const candidates = [{id: 'u1'}, {id: 'u2'}];
		expect(new CrashAttribution().selectUsable('a', candidates, 0)).toBe(candidates);
	});
});

function runAll(options: Omit<CrashScheduleOptions, 'seed'>) {
	const reports = seeds.map(seed => new CrashSchedule({...options, seed}).run());
	return {
		crashes: reports.flatMap(report => report.crashes).toSorted((a, b) => a - b),
		condemnedInnocents: reports.reduce((sum, report) => sum + report.condemnedInnocents, 0),
		completedInnocents: reports.map(report => report.completedInnocents),
	};
}

describe('a schedule with requests that crash upstreams', () => {
	it('stops one request at its third crash at the latest, and keeps the innocent out', () => {
		const {crashes, condemnedInnocents, completedInnocents} = runAll(one);
		expect(crashes.at(-1)).toBeLessThanOrEqual(3);
		expect(condemnedInnocents).toBe(0);
		expect(new Set(completedInnocents)).toEqual(new Set([one.innocents]));
	});

	// News is on its way while a resend reaches another daemon, so that single schedules may need more crashes.
	it.each([
		['two requests at once', {...one, culprits: 2}],
		['resends to several daemons', {...one, daemons: 4}],
		['two requests and several daemons', {
			...one, daemons: 4, culprits: 2, upstreams: 13,
		}],
	])('keeps the innocent out with %s, and needs three crashes in the median', (_, options) => {
		const {crashes, condemnedInnocents, completedInnocents} = runAll(options);
		expect(crashes[Math.floor(crashes.length / 2)]).toBeLessThanOrEqual(3);
		expect(condemnedInnocents).toBe(0);
		expect(new Set(completedInnocents)).toEqual(new Set([one.innocents]));
	});

	// Shows that the schedules above would catch logic without the guard.
	it.each<[keyof CrashAttributionGuards, Omit<CrashScheduleOptions, 'seed'>, 'condemned' | 'crashes']>([
		['condemnsOnlyOne', one, 'condemned'],
		['waitsForExplanation', {...one, daemons: 4}, 'condemned'],
		['separatesSuspects', {...one, arrivalMs: 5}, 'crashes'],
	])('without the guard %s fails', (guard, options, failure) => {
		const {crashes, condemnedInnocents} = runAll({...options, guards: {...allCrashAttributionGuards, [guard]: false}});
		expect(failure === 'condemned' ? condemnedInnocents > 0 : crashes.at(-1)! > 3).toBe(true);
	});
});
