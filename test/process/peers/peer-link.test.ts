import {setTimeout as delay} from 'node:timers/promises';
import {
	describe, expect, test, vi,
} from 'vitest';
import {SystemClock} from '../../../src/process/clock.ts';
import type {CrashNews} from '../../../src/process/crashes/crash-attribution.ts';
import {DecisionLog} from '../../../src/process/fleet/decision-log.ts';
import {PeerLink} from '../../../src/process/peers/peer-link.ts';
import type {PeerLimit, PeerPrefill} from '../../../src/process/peers/peer-message.ts';
import {maxDirectDaemons} from '../../../src/process/peers/peer-topology.ts';
import {MemoryTable} from '../../../src/stand-ins/platform/memory-table.ts';
import {chooseFreePorts} from '../../fixtures/free-ports.ts';

/** Daemons on the loopback interface, each with its own peer link, that find each other through one table. */
class LinkFixture implements AsyncDisposable {
	readonly links: PeerLink[] = [];
	readonly prefills: PeerPrefill[][] = [];
	readonly crashNews: CrashNews[][] = [];
	/** Crash news that each daemon has to repeat. */
	repeatedCrashNews: readonly CrashNews[] = [];
	limits: readonly PeerLimit[] = [];
	/** Limits that each daemon has heard of. */
	readonly heardLimits: PeerLimit[][] = [];
	readonly table = new MemoryTable();

	async start(zones: number, perZone: number): Promise<void> {
		const ports = await chooseFreePorts(zones * perZone);
		for (const port of ports) {
			const index = this.links.length;
			const prefills: PeerPrefill[] = [];
			const received: CrashNews[] = [];
			const heard: PeerLimit[] = [];
			const link = new PeerLink({
				clock: new SystemClock(),
				log: new DecisionLog({}, (_bytes, done) => {
					done(undefined);
				}),
				table: this.table,
				self: {
					daemon: `daemon-${String(index).padStart(2, '0')}`, address: `127.0.0.1:${port}`, availabilityZone: `zone-${index % zones}`, linkMbps: index < zones ? 200 : 10,
				},
				ownLoads: () => [{upstream: `u-${index}`, runs: 1, tokensByPriority: new Map([[1, 1000]])}],
				ownQueuedTokens: () => new Map([[0, 10]]),
				onPrefills(found) {
					prefills.push(...found);
				},
				onCrashNews(news) {
					received.push(news);
				},
				repeatedCrashNews: () => this.repeatedCrashNews,
				ownLimits: () => this.limits,
				onLimits(_daemon, found) {
					heard.push(...found);
				},
				ownLeaving: () => [],
				onLeaving() {
					// No upstream of this test leaves.
				},
				ownTables: () => [],
				onTables() {
					// No daemon of this test reads tables.
				},
				ownWork: () => [],
				onWork() {
					// No work arrives in this test.
				},
			});
			this.links.push(link);
			this.prefills.push(prefills);
			this.crashNews.push(received);
			this.heardLimits.push(heard);
			await link.start();
		}
	}

	async [Symbol.asyncDispose](): Promise<void> {
		for (const link of this.links) {
			await link[Symbol.asyncDispose]();
		}
	}
}

describe('links between daemons', () => {
	test.each([
		['few daemons that send to each other directly', 2, 3],
		['many daemons that use relays', 3, Math.ceil((maxDirectDaemons * 2) / 3)],
	])('distribute the load of each daemon to all others: %s', async (_name, zones, perZone) => {
		await using fixture = new LinkFixture();
		await fixture.start(zones, perZone);
		const {links, prefills} = fixture;
		await vi.waitFor(() => {
			for (const [index, {peerLoads}] of links.entries()) {
				const others = links.keys().filter(other => other !== index);
				expect([...others].filter(other => peerLoads.runs(`u-${other}`, performance.now()) !== 1)).toEqual([]);
			}
		}, {timeout: 4000, interval: 50});
		links.at(-1)!.announcePrefill({upstream: 'u-1', parts: [{id: 'shared', tokens: 9000}]});
		const hasShared = (found: readonly PeerPrefill[]) => found.some(({parts: [part]}) => part!.id === 'shared');
		await vi.waitFor(() => {
			expect(prefills.slice(0, -1).every(found => hasShared(found))).toBe(true);
		}, {timeout: 1000, interval: 10});
	});

	test.each([
		['directly', 2, 2],
		['through relays', 3, Math.ceil((maxDirectDaemons * 2) / 3)],
	])('tell all others of a changed limit before the next keep-alive, %s', async (_name, zones, perZone) => {
		await using fixture = new LinkFixture();
		await fixture.start(zones, perZone);
		const sender = fixture.links.at(-1)!;
		await vi.waitFor(() => {
			expect(fixture.links.every(({peerLoads}) => peerLoads.runs(`u-${fixture.links.length - 1}`, performance.now()) === 1 || peerLoads === sender.peerLoads)).toBe(true);
		}, {timeout: 4000, interval: 50});
		const limit: PeerLimit = {
			upstream: 'u-9', requestsPerSecond: 4, ageMs: 10, use: {sent: 3, askedPerSecond: 2.5},
		};
		await delay(520);
		fixture.limits = [limit];
		sender.announceLimits();
		await vi.waitFor(() => {
			expect(fixture.heardLimits.slice(0, -1).every(heard => heard.some(({upstream, use}) => upstream === 'u-9' && use.sent === 3))).toBe(true);
		}, {timeout: 450, interval: 5});
	});

	// Guards against a daemon that has just started sending a condemned request, because it hears of it only with the next keep-alive.
	test('tell a daemon that has just started which requests are condemned', async () => {
		await using fixture = new LinkFixture();
		await fixture.start(2, 2);
		fixture.repeatedCrashNews = [{kind: 'condemned', fingerprint: 'p', refusedForMs: 1000}];
		await delay(1000);
		const startedAt = performance.now();
		await fixture.start(1, 1);
		await vi.waitFor(() => {
			expect(fixture.crashNews.at(-1)!.some(news => 'fingerprint' in news && news.fingerprint === 'p')).toBe(true);
		}, {timeout: 400, interval: 10});
		expect(performance.now() - startedAt).toBeLessThan(300);
	});

	// Guards against the end of the process: a socket throws when it is told to send to a port out of range.
	test.each(['127.0.0.1:99999 zone-0 100', '127.0.0.1 zone-0 100', '999.0.0.1:80 zone-0 100', '127.0.0.1:1 zone-0 many', 'x'])('go on beside an odd entry in the directory: %s', async body => {
		await using fixture = new LinkFixture();
		await fixture.table.write([{
			kind: 'put', key: {partition: 'daemons', sort: 'odd'}, expected: 0, body,
		}]);
		await fixture.start(1, 2);
		await vi.waitFor(() => {
			expect(fixture.links.map(({peerLoads}, index) => peerLoads.runs(`u-${1 - index}`, performance.now()))).toEqual([1, 1]);
		}, {timeout: 2000, interval: 20});
		expect(fixture.links.map(({knownDaemons}) => knownDaemons)).toEqual([2, 2]);
	});
});
