import {Buffer} from 'node:buffer';
import {setTimeout as delay} from 'node:timers/promises';
import {
	describe, expect, test, vi,
} from 'vitest';
import {ManualClock} from '../../../src/process/clock.ts';
import type {AttemptResult, CrashNews} from '../../../src/process/crashes/crash-attribution.ts';
import {CrashMonitor} from '../../../src/process/crashes/crash-monitor.ts';
import {refusalDurationMs} from '../../../src/process/crashes/crash-timing.ts';
import {identifyRouteRequest} from '../../../src/request/delivery/route-request-identity.ts';
import {identify} from '../../fixtures/request-identity.ts';
import {createRequest} from '../../fixtures/fleet/configuration.ts';

const settleMs = 2000;
const crashAfterMs = 60;
const crashingRequest = createRequest({body: Buffer.from('poison')});
const poison = identifyRouteRequest(crashingRequest).fingerprint;

/** Monitors of several daemons that hear of each other's news at once. */
class Daemons {
	readonly clock = new ManualClock();
	readonly monitors: CrashMonitor[] = [];
	readonly news: CrashNews[] = [];
	readonly leaving = new Set<string>();
	/** Addresses that refuse connections. */
	readonly refusing = new Set<string>();
	#attempts = 0;

	constructor(count: number) {
		for (let index = 0; index < count; index += 1) {
			const monitor = new CrashMonitor({
				clock: this.clock,
				announce: news => {
					this.news.push(news);
					for (const other of this.monitors.filter(candidate => candidate !== monitor)) {
						other.applyNews(news);
					}
				},
				refusesConnections: async address => this.refusing.has(address),
				isServing: upstream => !this.leaving.has(upstream),
				report: () => undefined,
			});
			this.monitors.push(monitor);
		}
	}

	/** Runs a request at one daemon until it ends. */
	run(daemon: number, fingerprint: string, upstream: string, result: AttemptResult): void {
		this.#attempts += 1;
		const monitor = this.monitors[daemon]!;
		monitor.attemptStarted(this.#attempts, {
			upstream, ...identify(fingerprint), startedAt: this.clock.now(), address: `address of ${upstream}`,
		});
		monitor.attemptEnded(this.#attempts, upstream, result);
	}

	/** Runs a request at one daemon until it crashes its upstream. */
	crash(daemon: number, fingerprint: string, upstream: string): void {
		this.clock.advance(crashAfterMs);
		this.run(daemon, fingerprint, upstream, 'lost');
		this.monitors[daemon]!.upstreamDown(upstream, 'refused');
	}

	settle(): void {
		this.clock.advance(settleMs);
		for (const monitor of this.monitors) {
			monitor.tick();
		}
	}

	statuses(fingerprint: string): readonly string[] {
		return this.monitors.map(monitor => monitor.statusOf(identify(fingerprint)));
	}
}

describe('a request that crashes upstreams', () => {
	test('is held back at all daemons after its second crash, and condemned when nothing else explains them', () => {
		const daemons = new Daemons(3);
		daemons.crash(0, poison, 'u-0');
		expect(daemons.statuses(poison)).toEqual(['suspect', 'suspect', 'suspect']);
		daemons.crash(1, poison, 'u-1');
		expect(daemons.statuses(poison)).toEqual(['pending', 'pending', 'pending']);
		daemons.settle();
		expect(daemons.statuses(poison)).toEqual(['condemned', 'condemned', 'condemned']);
		expect(daemons.monitors[2]!.withheldForMs(identify(poison))).toBeGreaterThan(refusalDurationMs - 100);
	});

	test('is recognised under another id, from another address and under another spelling of its host', () => {
		for (const other of [{id: 'another'}, {callerAddress: '10.9.9.9'}, {host: 'A.example'}, {host: 'a.example:80'}]) {
			expect(identifyRouteRequest({...crashingRequest, ...other}).fingerprint).toBe(poison);
		}
	});

	test('is told from requests that differ in method, host, path, query or body', () => {
		for (const other of [{body: Buffer.from('poison2')}, {method: 'GET'}, {target: '/x/2'}, {target: '/x/1?page=2'}, {host: 'b.example'}]) {
			expect(identifyRouteRequest({...crashingRequest, ...other}).fingerprint).not.toBe(poison);
		}
	});

	test('does not get others condemned that were in flight once beside it', () => {
		const daemons = new Daemons(1);
		const [monitor] = daemons.monitors;
		for (const index of [0, 1, 2]) {
			const upstream = `u-${index}`;
			for (const [offset, fingerprint] of [poison, `innocent ${index}`].entries()) {
				monitor!.attemptStarted((index * 2) + offset, {
					upstream, ...identify(fingerprint), startedAt: 0, address: '',
				});
			}

			monitor!.attemptEnded(index * 2, upstream, 'lost');
			monitor!.attemptEnded((index * 2) + 1, upstream, 'lost');
			monitor!.upstreamDown(upstream, 'refused');
			expect(daemons.statuses(`innocent ${index}`)).toEqual(['suspect']);
		}

		daemons.settle();
		expect(daemons.statuses(poison)).toEqual(['condemned']);
		expect([0, 1, 2].flatMap(index => daemons.statuses(`innocent ${index}`))).toEqual(['free', 'free', 'free']);
	});

	test('is free again ten minutes after it was condemned', () => {
		const daemons = new Daemons(2);
		daemons.crash(0, poison, 'u-0');
		daemons.crash(0, poison, 'u-1');
		daemons.settle();
		daemons.clock.advance(refusalDurationMs - 1000);
		expect(daemons.statuses(poison)).toEqual(['condemned', 'condemned']);
		daemons.clock.advance(1000);
		daemons.settle();
		expect(daemons.statuses(poison)).toEqual(['free', 'free']);
	});
});

describe('a request of which a connection was lost', () => {
	test('is no longer suspected at any daemon once one of its repetitions has completed', () => {
		const daemons = new Daemons(3);
		daemons.crash(0, poison, 'u-1');
		daemons.run(1, poison, 'u-9', 'complete');
		daemons.crash(0, poison, 'u-2');
		daemons.crash(2, poison, 'u-3');
		daemons.settle();
		expect(daemons.statuses(poison)).toEqual(['free', 'free', 'free']);
	});

	test('is not condemned if the upstreams stayed up for long after it', () => {
		const daemons = new Daemons(1);
		for (const upstream of ['u-0', 'u-1', 'u-2', 'u-3']) {
			daemons.run(0, poison, upstream, 'lost');
			daemons.clock.advance(7000);
			daemons.monitors[0]!.upstreamDown(upstream, 'gone');
		}

		daemons.settle();
		expect(daemons.statuses(poison)).toEqual(['free']);
	});

	test('is not suspected when a leaving upstream dropped it', () => {
		const daemons = new Daemons(1);
		daemons.leaving.add('u-0').add('u-1');
		daemons.crash(0, poison, 'u-0');
		daemons.crash(0, poison, 'u-1');
		expect(daemons.statuses(poison)).toEqual(['free']);
	});

	// Guards against a connection that the network resets being taken for a crash.
	test.each([[true, 'suspect'], [false, 'free']])('counts as a crash only if its upstream refuses new ones: %s', async (isRefusing, status) => {
		const daemons = new Daemons(1);
		if (isRefusing) {
			daemons.refusing.add('address of u-0');
		}

		daemons.run(0, poison, 'u-0', 'lost');
		await delay(400);
		daemons.clock.advance(6000);
		daemons.settle();
		expect(daemons.statuses(poison)).toEqual([status]);
		expect(daemons.news).toHaveLength(isRefusing ? 1 : 0);
	});

	// Guards against one crash counting several times because its attempts end one after the other.
	test('counts once with all attempts that were in flight beside it', () => {
		const daemons = new Daemons(1);
		const [monitor] = daemons.monitors;
		for (const attemptId of [1, 2, 3]) {
			monitor!.attemptStarted(attemptId, {
				upstream: 'u-0', ...identify(poison), startedAt: 0, address: '',
			});
		}

		for (const attemptId of [1, 2, 3]) {
			monitor!.attemptEnded(attemptId, 'u-0', 'lost');
			monitor!.upstreamDown('u-0', 'refused');
		}

		expect(daemons.statuses(poison)).toEqual(['suspect']);
	});

	test('counts when the refusal was seen shortly before the loss', () => {
		const daemons = new Daemons(1);
		daemons.monitors[0]!.upstreamDown('u-0', 'refused');
		daemons.run(0, poison, 'u-0', 'lost');
		expect(daemons.statuses(poison)).toEqual(['suspect']);
	});
});

describe('a daemon that missed the news', () => {
	// Guards against lost datagrams and daemons that start while a request is condemned.
	test('refuses a condemned request once the news is repeated to it', () => {
		const daemons = new Daemons(2);
		daemons.crash(0, poison, 'u-0');
		const late = new Daemons(1).monitors[0]!;
		for (const news of daemons.monitors[0]!.repeatNews(false)) {
			late.applyNews(news);
		}

		expect(late.statusOf(identify(poison))).toBe('suspect');
		daemons.crash(1, poison, 'u-1');
		daemons.settle();
		for (const news of daemons.monitors[0]!.repeatNews(false)) {
			late.applyNews(news);
		}

		expect(late.statusOf(identify(poison))).toBe('condemned');
	});

	test('counts a crash once although it is reported repeatedly', () => {
		const daemons = new Daemons(2);
		daemons.crash(0, poison, 'u-0');
		for (const news of [...daemons.monitors[0]!.repeatNews(true), ...daemons.monitors[0]!.repeatNews(true)]) {
			daemons.monitors[1]!.applyNews(news);
		}

		expect(daemons.statuses(poison)).toEqual(['suspect', 'suspect']);
	});
});
