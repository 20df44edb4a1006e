import {describe, expect, it} from 'vitest';
import {CrashAttribution, type AttemptResult, type CrashNews} from '../../../src/process/crashes/crash-attribution.ts';
import type {RequestIdentity} from '../../../src/request/request-identity.ts';
import {CrashSchedule, type CrashScheduleOptions} from '../../fixtures/crash-schedule.ts';
import {identify} from '../../fixtures/request-identity.ts';

/** Time after a crash by which `tick` has condemned or freed its suspects, in milliseconds. */
const decisionDelayMs = 2000;
const refusalMs = 600_000;

let attempts = 0;

/** Attribution with requests that are numbered, so that no two are alike. */
class Daemon {
	readonly attribution = new CrashAttribution();

	/** Starts a request with the given prompt parts; the returned function ends it. */
	start(upstream: string, promptParts: readonly string[], now: number, fingerprint?: string): (result: AttemptResult, now: number) => void {
		attempts += 1;
		const id = attempts;
		this.attribution.attemptStarted(id, {upstream, ...identify(fingerprint ?? `r${id}`, ...promptParts), startedAt: now});
		return (result, endedAt) => {
			this.attribution.attemptEnded(id, result, endedAt);
		};
	}

	/** Crashes an upstream with one request in flight for each list of parts, while another upstream answers requests with other parts. */
	crash(upstream: string, prompts: ReadonlyArray<readonly string[]>, now: number, fingerprint?: string): void {
		this.crashAll(upstream, prompts, now, fingerprint);
		this.answer('u9', ['another'], now + 20);
	}

	/** Crashes an upstream while no other one answers. */
	crashAll(upstream: string, prompts: ReadonlyArray<readonly string[]>, now: number, fingerprint?: string): void {
		const ends = prompts.map(promptParts => this.start(upstream, promptParts, now, fingerprint));
		for (const end of ends) {
			end('lost', now + 10);
		}

		this.attribution.upstreamDown(upstream, 'refused', now + 10);
	}

	answer(upstream: string, promptParts: readonly string[], now: number): void {
		this.start(upstream, promptParts, now)('complete', now + 10);
	}

	/** Lets the time pass after which the suspects of a crash are condemned or freed. */
	settle(crashedAt: number): void {
		this.attribution.tick(crashedAt + 50);
		this.attribution.tick(crashedAt + 50 + decisionDelayMs);
	}

	statusOf(promptParts: readonly string[], now: number): string {
		return this.attribution.statusOf(newRequest(...promptParts), now);
	}
}

function newRequest(...promptParts: readonly string[]): RequestIdentity {
	return identify('a new request', ...promptParts);
}

function tell(from: Daemon, to: Daemon, now: number): readonly CrashNews[] {
	const news = from.attribution.takeNews();
	for (const item of news) {
		to.attribution.applyNews(item, now);
	}

	return news;
}

describe('a prompt part that crashes upstreams', () => {
	it('is withheld after three crashes of different requests, and condemned if nothing else explains them', () => {
		const daemon = new Daemon();
		daemon.answer('u1', ['first', 'a'], 0);
		daemon.crash('u1', [['first', 'p'], ['first', 'b']], 1000);
		daemon.crash('u2', [['first', 'p'], ['first', 'c']], 2000);
		expect(daemon.statusOf(['first', 'p'], 2100)).toBe('free');
		daemon.crash('u3', [['first', 'p']], 3000);
		expect(daemon.statusOf(['first', 'p'], 3100)).toBe('pending');
		daemon.settle(3010);
		expect([['first', 'p'], ['first', 'b'], ['first', 'new']].map(parts => daemon.statusOf(parts, 5100))).toEqual(['condemned', 'free', 'free']);
		expect(daemon.attribution.withheldForMs(newRequest('p'), 5100)).toBeGreaterThan(refusalMs - 1000);
		daemon.attribution.tick(5060 + refusalMs);
		expect(daemon.statusOf(['first', 'p'], 5060 + refusalMs)).toBe('free');
	});

	it('is not condemned for the crashes of one request that is repeated', () => {
		const daemon = new Daemon();
		for (const at of [1000, 2000, 3000, 4000]) {
			daemon.crash('u1', [['first', 'p']], at, 'repeated');
		}

		daemon.settle(4010);
		expect(daemon.attribution.statusOf(identify('repeated', 'first', 'p'), 6100)).toBe('condemned');
		expect(daemon.statusOf(['first', 'p'], 6100)).toBe('free');
	});

	// Guards against sound parts being refused: one that stands in complete answers is not the cause.
	it('is never a part of an answer that was complete after the crashes, however many there were', () => {
		const daemon = new Daemon();
		for (let at = 1000; at < 20_000; at += 1000) {
			daemon.crash(`u${at % 3}`, [['first', 'q'], ['first', 'p']], at);
			daemon.answer('u9', ['first', 'q'], at + 100);
			daemon.attribution.tick(at + 500);
			expect(daemon.statusOf(['first', 'q'], at + 500)).toBe('free');
		}
	});

	it('is condemned although it was in complete answers before, after five crashes', () => {
		const daemon = new Daemon();
		daemon.answer('u1', ['p'], 0);
		for (const at of [1000, 2000, 3000, 4000]) {
			daemon.crash('u1', [['p']], at);
			expect(daemon.statusOf(['p'], at + 100)).toBe('free');
		}

		daemon.crash('u1', [['p']], 5000);
		daemon.settle(5010);
		expect(daemon.statusOf(['p'], 7100)).toBe('condemned');
	});

	it('is not condemned when several upstreams crash at the same moment, as when a rack fails', () => {
		const daemon = new Daemon();
		for (const upstream of ['u1', 'u2', 'u3', 'u4', 'u5']) {
			daemon.crash(upstream, [['new']], 1000);
		}

		daemon.settle(1010);
		expect(daemon.statusOf(['new'], 3100)).toBe('free');
	});

	it('needs one more crash while other upstreams crash for no known reason', () => {
		const daemon = new Daemon();
		daemon.crash('u1', [['p']], 1000);
		daemon.crash('u2', [['p']], 2000);
		daemon.crash('u3', [['p']], 3000);
		daemon.crash('u4', [['a']], 3500);
		daemon.settle(3510);
		expect(daemon.statusOf(['p'], 5600)).toBe('free');
		daemon.crash('u1', [['p']], 6000);
		expect(daemon.statusOf(['p'], 6100)).toBe('pending');
	});

	// Guards against the part that all requests share being refused with the one that crashes upstreams, before any request has completed.
	it('is refused only together with the parts that were in the same crashes, until one of them is in a complete answer', () => {
		const daemon = new Daemon();
		for (const at of [1000, 2000, 3000]) {
			daemon.crash('u1', [['first', 'p']], at);
		}

		daemon.settle(3010);
		expect([['first', 'p'], ['first', 'a'], ['p']].map(parts => daemon.statusOf(parts, 5100))).toEqual(['condemned', 'free', 'free']);
		daemon.answer('u2', ['first', 'a'], 5200);
		expect([['first', 'p'], ['first', 'a'], ['p']].map(parts => daemon.statusOf(parts, 5300))).toEqual(['condemned', 'free', 'condemned']);
	});

	// Guards against parts of different requests that were in the same crashes running beside each other, so that no crash tells them apart.
	it('is withheld while parts of fewer requests explain the same crashes, and condemned once the others are in complete answers', () => {
		const daemon = new Daemon();
		for (const at of [1000, 2000, 3000]) {
			daemon.crash('u1', [['p'], ['p'], ['q']], at);
		}

		expect(['p', 'q'].map(part => daemon.statusOf([part], 3200))).toEqual(['contested', 'free']);
		daemon.answer('u1', ['q'], 3900);
		daemon.attribution.tick(4000);
		daemon.settle(4000);
		expect(['p', 'q'].map(part => daemon.statusOf([part], 6100))).toEqual(['condemned', 'free']);
	});

	it('is found by a crash while another part is withheld that was in the same crashes', () => {
		const daemon = new Daemon();
		for (const at of [1000, 2000, 3000]) {
			daemon.crash('u1', [['p'], ['q'], ['q']], at);
		}

		expect(['p', 'q'].map(part => daemon.statusOf([part], 3200))).toEqual(['free', 'contested']);
		daemon.crash('u2', [['p'], ['p'], ['p'], ['p']], 4000);
		daemon.settle(4010);
		expect(['p', 'q'].map(part => daemon.statusOf([part], 6100))).toEqual(['condemned', 'free']);
	});

	// Guards against a part that is merely in most requests being refused when upstreams crash for another reason and nothing is answered.
	it('is not a part that most requests hold, nor one while no other request is answered', () => {
		const daemon = new Daemon();
		for (let index = 0; index < 40; index += 1) {
			daemon.start('u9', ['first', `a${index}`], 0)('complete', 10);
		}

		for (const at of [1000, 2000, 3000, 4000, 5000, 6000]) {
			daemon.crashAll(`u${at}`, [['first', 'p'], ['first', `b${at}`]], at);
		}

		daemon.settle(6010);
		expect([['first'], ['p']].map(parts => daemon.statusOf(parts, 8100))).toEqual(['free', 'contested']);
		expect(daemon.statusOf(['p'], 12_100)).toBe('free');
	});

	// Guards against a caller that resends after a crash being refused, because its request was in two crashes of another one's part.
	it('does not condemn a harmless request that was in two of its crashes', () => {
		const daemon = new Daemon();
		const crash = (upstream: string, at: number) => {
			const ends = [daemon.start(upstream, ['first', 'p'], at), daemon.start(upstream, ['first', 'a'], at, 'resent')];
			for (const end of ends) {
				end('lost', at + 10);
			}

			daemon.attribution.upstreamDown(upstream, 'refused', at + 10);
			daemon.answer('u9', ['another'], at + 20);
		};

		crash('u1', 1000);
		crash('u2', 2000);
		daemon.settle(2010);
		expect(daemon.attribution.statusOf(identify('resent', 'first', 'a'), 4100)).toBe('contested');
		daemon.crash('u3', [['first', 'p']], 5000);
		daemon.settle(5010);
		expect(daemon.attribution.statusOf(identify('resent', 'first', 'a'), 7100)).toBe('free');
	});

	// Guards against an answer without a length being taken for complete when a crash has ended its connection.
	it('is not cleared by an unframed answer that ends as its upstream crashes', () => {
		const daemon = new Daemon();
		for (const [index, at] of [1000, 2000, 3000].entries()) {
			const ends = [daemon.start('u1', ['p'], at), daemon.start('u1', ['other'], at)];
			ends[0]!('unframed', at + 10);
			if (index > 0) {
				ends[1]!('lost', at + 12);
			}

			daemon.attribution.upstreamDown('u1', 'refused', at + 15);
			ends[1]!('other', at + 20);
			daemon.answer('u9', ['another'], at + 30);
			daemon.attribution.tick(at + 900);
		}

		expect(daemon.statusOf(['p'], 3950)).toBe('pending');
	});

	it('is cleared by an unframed answer of an upstream that stays up', () => {
		const daemon = new Daemon();
		for (const at of [1000, 2000, 3000]) {
			daemon.crash('u1', [['p']], at);
		}

		daemon.start('u2', ['p'], 3100)('unframed', 3200);
		daemon.attribution.tick(3300);
		expect(daemon.statusOf(['p'], 3300)).toBe('pending');
		daemon.attribution.tick(3800);
		expect(daemon.statusOf(['p'], 3800)).toBe('free');
	});
});

describe('news of prompt parts', () => {
	it('lets a daemon conclude from the crashes that others have seen', () => {
		const [a, b, c] = [new Daemon(), new Daemon(), new Daemon()];
		for (const [index, daemon] of [a, b, a].entries()) {
			const at = 1000 * (index + 1);
			daemon.crash(`u${index}`, [['first', 'p']], at);
			for (const other of [a, b, c]) {
				other.answer('u9', ['another'], at + 60);
			}

			const news = daemon.attribution.takeNews();
			for (const other of [a, b, c].filter(candidate => candidate !== daemon)) {
				for (const item of news) {
					other.attribution.applyNews(item, at + 50);
				}
			}
		}

		expect([a, b, c].map(daemon => daemon.statusOf(['first', 'p'], 3200))).toEqual(['pending', 'pending', 'pending']);
	});

	it('is repeated to a daemon that starts while a part is condemned', () => {
		const [daemon, late] = [new Daemon(), new Daemon()];
		for (const at of [1000, 2000, 3000]) {
			daemon.crash('u1', [['p']], at);
		}

		daemon.settle(3010);
		for (const news of daemon.attribution.repeatNews(20_000, true)) {
			late.attribution.applyNews(news, 20_000);
		}

		expect(late.statusOf(['p'], 20_100)).toBe('condemned');
	});

	// Guards against a daemon that has restarted condemning a part that the others have seen in complete answers since.
	it('clears a condemned part at all daemons if one of them has a complete answer with it since its first crash', () => {
		const [restarted, other] = [new Daemon(), new Daemon()];
		other.answer('u9', ['q'], 2500);
		for (const at of [1000, 2000, 3000]) {
			restarted.crash('u1', [['q']], at);
		}

		restarted.settle(3010);
		expect(restarted.statusOf(['q'], 5100)).toBe('condemned');
		tell(restarted, other, 5100);
		expect(other.statusOf(['q'], 5200)).toBe('free');
		expect(tell(other, restarted, 5200)).toContainEqual({kind: 'partsCleared', promptParts: ['q']});
		expect(restarted.statusOf(['q'], 5300)).toBe('free');
	});

	// Guards against memory that grows with the number of distinct parts; the heap is measured in docs/CAPACITY.md.
	it('remembers the answers of 100,000 parts, the most recent ones', {timeout: 60_000}, () => {
		const daemon = new Daemon();
		for (let index = 0; index <= 100_000; index += 1) {
			daemon.answer('u1', [`p${index}`], index);
		}

		for (const at of [200_000, 201_000, 202_000]) {
			daemon.crash('u1', [['p0'], ['p9']], at);
		}

		daemon.settle(202_010);
		expect([daemon.statusOf(['p0'], 204_100), daemon.statusOf(['p9'], 204_100)]).toEqual(['condemned', 'free']);
	});
});

describe('a schedule with a prompt part that crashes upstreams', () => {
	const schedule: Omit<CrashScheduleOptions, 'seed' | 'daemons' | 'upstreams'> = {
		culprits: 0, crashingPartIntervalMs: 120, harmlessRequests: 900, arrivalIntervalMs: 20, sharedParts: 40, restartMs: 1000,
	};
	const contactMs = 3000;
	/** Crashes after which the operators count, and those that they allow later than `contactMs` after them. */
	const decisiveCrashes = 5;
	const maxLateCrashes = 3;

	it.each([[1, 3, 0], [2, 3, 0], [6, 3, 0], [8, 13, 0], [6, 3, 1 / 3], [8, 13, 1 / 3]])('%i daemons before %i upstreams, with %f of the news lost: condemns the part alone, and no harmless request', (daemons, upstreams, newsLoss) => {
		const reports = Array.from({length: 30}, (_, seed) => new CrashSchedule({
			...schedule, daemons, upstreams, newsLoss, seed: seed + 1,
		}).run());
		for (const {crashTimes, condemnedParts, condemnedHarmlessRequests, completedHarmlessRequests} of reports) {
			const decisiveAt = crashTimes[decisiveCrashes - 1] ?? Number.POSITIVE_INFINITY;
			expect(crashTimes.filter(time => time > decisiveAt + contactMs).length).toBeLessThanOrEqual(maxLateCrashes);
			expect(condemnedParts).toEqual(['crashing']);
			expect(condemnedHarmlessRequests).toBe(0);
			expect(completedHarmlessRequests).toBe(schedule.harmlessRequests);
		}
	});

	// Guards against parts being confused when no upstream stays up for long and most parts are new.
	it.each([
		[120, 0], [120, 1 / 3], [800, 0], [1500, 0],
	])('6 daemons before 3 upstreams that restart in 3 s, a crashing request every %i ms and %f of the news lost: condemns the part alone, and no harmless request', (crashingPartIntervalMs, newsLoss) => {
		const reports = Array.from({length: 15}, (_, seed) => new CrashSchedule({
			...schedule, daemons: 6, upstreams: 3, restartMs: 3000, crashingPartIntervalMs, newsLoss, seed: seed + 1,
		}).run());
		for (const {crashTimes, condemnedParts, condemnedHarmlessRequests} of reports) {
			const decisiveAt = crashTimes[decisiveCrashes - 1] ?? Number.POSITIVE_INFINITY;
			expect(crashTimes.filter(time => time > decisiveAt + contactMs).length).toBeLessThanOrEqual(maxLateCrashes);
			expect(condemnedParts).toEqual(['crashing']);
			expect(condemnedHarmlessRequests).toBe(0);
		}
	});
});
