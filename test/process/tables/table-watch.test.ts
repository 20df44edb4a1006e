import {setTimeout as delay} from 'node:timers/promises';
import {Left, Right, type Either} from 'purify-ts';
import {
	describe, expect, test, vi,
} from 'vitest';
import type {SharedRows} from '../../../src/connection/row-exchange.ts';
import type {FeedRow} from '../../../src/ports/row-feed.ts';
import {SystemClock} from '../../../src/process/clock.ts';
import {DecisionLog} from '../../../src/process/fleet/decision-log.ts';
import {SeededRandom} from '../../../src/process/random.ts';
import type {TablePosition} from '../../../src/process/tables/table-position.ts';
import {TableWatch} from '../../../src/process/tables/table-watch.ts';
import {MemoryFeed, MemoryRows} from '../../fixtures/memory-feed.ts';

const callTimes = {waitMs: 100, pauseMs: 100};
const times = {...callTimes, maxAgeMs: 700, forMany: callTimes};
const announceMs = 50;
/** Time within which a change must be known: the age bound, one call with its pause and the spread of the takeover. */
const changeBoundMs = 1500;

/** One daemon with a copy of the table. */
class Daemon {
	readonly name: string;
	readonly feed: MemoryFeed;
	readonly values = new Map<string, string>();
	readonly events: string[] = [];
	/** Keys of the rows that were dropped. */
	readonly failedKeys: string[] = [];
	/** False while the daemon has been killed. */
	isAlive = true;
	/** True while its messages to the other daemons and theirs to it are lost. */
	isCutOff = false;
	isReader: boolean;
	watch: TableWatch;

	constructor(name: string, rows: MemoryRows, isReader: boolean, fetchRows: (self: Daemon, daemon: string, after: TablePosition | undefined) => Either<string, SharedRows>) {
		this.name = name;
		this.isReader = isReader;
		this.feed = new MemoryFeed(rows);
		this.watch = this.#createWatch(fetchRows);
	}

	#createWatch(fetchRows: (self: Daemon, daemon: string, after: TablePosition | undefined) => Either<string, SharedRows>): TableWatch {
		return new TableWatch({
			feed: this.feed,
			table: 'servers',
			times,
			clock: new SystemClock(),
			random: new SeededRandom(this.name.length),
			log: new DecisionLog({}, (_bytes, done) => {
				done(undefined);
			}),
			onRowFailed: key => {
				this.failedKeys.push(key);
			},
			contentOf({value}) {
				const text = new TextDecoder().decode(value);
				if (text === 'no content') {
					throw new Error('no content');
				}

				// Text after a blank is a heartbeat.
				return text.split(' ')[0]!;
			},
			peers: {
				isReader: () => this.isReader,
				areFollowersMany: () => false,
				fetchRows: async (daemon, _table, after) => fetchRows(this, daemon, after),
				onChangeRead: () => undefined,
			},
			listener: {
				onSnapshot: rows => {
					this.values.clear();
					this.#accept(rows);
				},
				onChanges: rows => {
					this.#accept(rows);
				},
				onLost: () => {
					this.events.push('lost');
				},
				onRecovered: () => {
					this.events.push('recovered');
				},
				onRestored: () => {
					this.events.push('restored');
				},
			},
		});
	}

	#accept(rows: readonly FeedRow[]): void {
		for (const {key, value, isRemoved} of rows) {
			if (new TextDecoder().decode(value) === 'bad') {
				throw new Error('bad row');
			}

			this.events.push(`${isRemoved ? 'removed' : 'set'} ${key}`);
			if (isRemoved) {
				this.values.delete(key);
			} else {
				this.values.set(key, new TextDecoder().decode(value));
			}
		}
	}
}

/** Two readers and two followers of one availability zone. */
class ZoneFixture implements AsyncDisposable {
	readonly rows = new MemoryRows();
	/** Daemons of an earlier release. */
	readonly earlierReleases = new Set<string>();
	readonly daemons: readonly Daemon[];
	readonly #timer: NodeJS.Timeout;

	constructor() {
		this.rows.put('a', 'ready 1');
		const fetchRows = (self: Daemon, daemon: string, after: TablePosition | undefined) => this.#fetch(self, daemon, after);
		this.daemons = ['reader-1', 'reader-2', 'follower-1', 'follower-2'].map(name => new Daemon(name, this.rows, name.startsWith('reader'), fetchRows));
		for (const {watch} of this.daemons) {
			watch.start();
		}

		this.#timer = setInterval(() => {
			this.#announce();
		}, announceMs);
	}

	get readers(): readonly Daemon[] {
		return this.daemons.filter(({name}) => name.startsWith('reader'));
	}

	get followers(): readonly Daemon[] {
		return this.daemons.filter(({name}) => name.startsWith('follower'));
	}

	/** Waits until the followers no longer call the store themselves. */
	async settle(): Promise<void> {
		await delay(600);
		this.forgetCalls();
	}

	forgetCalls(): void {
		for (const {feed} of this.daemons) {
			feed.calls = 0;
		}
	}

	async waitForValue(daemons: readonly Daemon[], key: string, value: string | undefined): Promise<void> {
		await vi.waitFor(() => {
			expect(daemons.map(({values}) => values.get(key)?.split(' ')[0])).toEqual(daemons.map(() => value));
		}, {timeout: changeBoundMs, interval: 5});
	}

	async [Symbol.asyncDispose](): Promise<void> {
		clearInterval(this.#timer);
		await Promise.all(this.daemons.map(async ({watch}) => watch[Symbol.asyncDispose]()));
	}

	#fetch(self: Daemon, name: string, after: TablePosition | undefined): Either<string, SharedRows> {
		const other = this.daemons.find(daemon => daemon.name === name)!;
		const shared = other.isAlive && !other.isCutOff && !self.isCutOff ? other.watch.share(after) : undefined;
		return shared === undefined ? Left('unreachable') : Right({...shared, position: this.#announced(name, shared.position)});
	}

	#announce(): void {
		for (const sender of this.daemons.filter(({isAlive, isCutOff}) => isAlive && !isCutOff)) {
			const {announcement} = sender.watch;
			for (const {watch} of announcement === undefined ? [] : this.daemons.filter(({isCutOff}) => !isCutOff)) {
				watch.accept(sender.name, {...announcement!, position: this.#announced(sender.name, announcement!.position)});
			}
		}
	}

	/** Position as a daemon of its release tells it to the others. */
	#announced(name: string, position: TablePosition): TablePosition {
		return this.earlierReleases.has(name) ? {...position, epoch: undefined} : position;
	}
}

describe.concurrent('daemons that follow the readers of a table', () => {
	test('learn of changes and removals without calls of their own, while heartbeats change constantly', async () => {
		await using zone = new ZoneFixture();
		await zone.settle();
		for (let beat = 2; beat < 20; beat += 1) {
			zone.rows.put('a', `ready ${beat}`);
			await delay(20);
		}

		zone.rows.put('b', 'ready 1');
		await zone.waitForValue(zone.followers, 'b', 'ready');
		zone.rows.put('a', 'draining 20');
		await zone.waitForValue(zone.followers, 'a', 'draining');
		zone.rows.put('a', undefined);
		await zone.waitForValue(zone.followers, 'a', undefined);
		expect(zone.followers.map(({feed}) => feed.calls)).toEqual([0, 0]);
	});

	test('read the store themselves when all readers are gone, so that a change is known within the bound', async () => {
		await using zone = new ZoneFixture();
		await zone.settle();
		for (const reader of zone.readers) {
			reader.isAlive = false;
		}

		zone.rows.put('a', 'draining 2');
		await zone.waitForValue(zone.followers, 'a', 'draining');
		expect(zone.followers.every(({feed}) => feed.calls > 0)).toBe(true);
	});

	test('follow the other reader when one has lost the store, and that reader follows it too', async () => {
		await using zone = new ZoneFixture();
		await zone.settle();
		zone.readers[0]!.feed.faults.isDown = true;
		await delay(times.maxAgeMs);
		zone.forgetCalls();
		zone.rows.put('a', 'draining 2');
		await zone.waitForValue(zone.daemons, 'a', 'draining');
		expect(zone.followers.map(({feed}) => feed.calls)).toEqual([0, 0]);
	});

	test('read the store themselves while they are cut off from the other daemons, and follow again afterwards', async () => {
		await using zone = new ZoneFixture();
		await zone.settle();
		const [alone] = zone.followers;
		alone!.isCutOff = true;
		zone.rows.put('a', 'draining 2');
		await zone.waitForValue([alone!], 'a', 'draining');
		expect(alone!.feed.calls).toBeGreaterThan(0);
		alone!.isCutOff = false;
		await zone.settle();
		await delay(times.maxAgeMs);
		expect(alone!.feed.calls).toBe(0);
	});

	test('tell their listener of an outage of the store before they apply what was removed during it', async () => {
		await using zone = new ZoneFixture();
		await zone.settle();
		const [follower] = zone.followers;
		for (const {feed} of zone.daemons) {
			feed.faults.isDown = true;
		}

		await delay(times.maxAgeMs + 500);
		zone.rows.put('a', undefined);
		follower!.events.length = 0;
		// The follower itself does not see the return of the store.
		for (const reader of zone.readers) {
			reader.feed.faults.isDown = false;
		}

		await zone.waitForValue(zone.followers, 'a', undefined);
		expect(follower!.events.indexOf('recovered')).toBeGreaterThanOrEqual(0);
		expect(follower!.events.indexOf('recovered')).toBeLessThan(follower!.events.indexOf('removed a'));
	});

	// Guards against a silent connection being taken for an outage, after which missing entries stay in use for a while.
	test('take a call without an answer for an outage only if the next one fails as well', async () => {
		await using zone = new ZoneFixture();
		await zone.settle();
		const {feed, events} = zone.readers[0]!;
		const outages = () => events.filter(event => event === 'lost' || event === 'recovered');
		feed.faults.unanswered = 1;
		zone.rows.put('a', 'draining 2');
		await zone.waitForValue(zone.readers, 'a', 'draining');
		await delay(300);
		expect([feed.faults.unanswered, outages()]).toEqual([0, []]);
		feed.faults.unanswered = 2;
		await vi.waitFor(() => {
			expect(outages()).toEqual(['lost', 'recovered']);
		}, {timeout: changeBoundMs, interval: 5});
	});

	test('never return to an older state when a reader with an old copy is the only one left', async () => {
		await using zone = new ZoneFixture();
		await zone.settle();
		const [stale, current] = zone.readers;
		stale!.feed.faults.isDown = true;
		stale!.isCutOff = true;
		zone.rows.put('a', 'draining 2');
		await zone.waitForValue(zone.followers, 'a', 'draining');
		current!.isAlive = false;
		stale!.isCutOff = false;
		for (const {events} of zone.followers) {
			events.length = 0;
		}

		await delay(changeBoundMs);
		expect(zone.followers.map(({values}) => values.get('a'))).toEqual(['draining 2', 'draining 2']);
		expect(zone.followers.flatMap(({events}) => events)).toEqual([]);
	});

	test('get the whole table after a reader has lost the history of the store', async () => {
		await using zone = new ZoneFixture();
		await zone.settle();
		for (const reader of zone.readers) {
			reader.feed.faults.hasLostHistory = true;
		}

		zone.rows.put('a', undefined);
		zone.rows.put('c', 'ready 1');
		await zone.waitForValue(zone.followers, 'c', 'ready');
		await zone.waitForValue(zone.followers, 'a', undefined);
	});

	test.each(['bad', 'no content'])('go on following, and apply all other rows, beside a row with which the daemon cannot deal: %s', async value => {
		await using zone = new ZoneFixture();
		await zone.settle();
		zone.rows.put('odd', value);
		zone.rows.put('b', 'ready 1');
		await zone.waitForValue(zone.daemons, 'b', 'ready');
		for (const reader of zone.readers) {
			reader.feed.faults.hasLostHistory = true;
		}

		zone.rows.put('c', 'ready 1');
		await zone.waitForValue(zone.daemons, 'c', 'ready');
		zone.rows.put('a', undefined);
		await zone.waitForValue(zone.daemons, 'a', undefined);
		expect(zone.daemons.every(({failedKeys}) => failedKeys.includes('odd') && new Set(failedKeys).size === 1)).toBe(true);
	});

	// Guards against a version that was given out again being taken for the known one.
	test('learn of a change after a restore of the store, although its version was given out before', async () => {
		await using zone = new ZoneFixture();
		const copy = zone.rows.takeCopy();
		for (let beat = 2; beat < 12; beat += 1) {
			zone.rows.put('a', `ready ${beat}`);
		}

		await zone.settle();
		zone.rows.restore(copy);
		zone.rows.put('b', 'ready 1');
		for (let beat = 2; beat < 30; beat += 1) {
			zone.rows.put('a', `ready ${beat}`);
		}

		await zone.waitForValue(zone.daemons, 'b', 'ready');
		expect(zone.daemons.map(({events}) => events.filter(event => event === 'restored').length)).toEqual([1, 1, 1, 1]);
		expect(zone.followers.map(({feed}) => feed.calls)).toEqual([0, 0]);
	});

	// Guards against whole reads without a pause while the versions are below the ones that the copy knows.
	test('are told of a restore once, and read the whole table once, while the versions are still below those of before', async () => {
		await using zone = new ZoneFixture();
		const copy = zone.rows.takeCopy();
		for (let beat = 2; beat < 50; beat += 1) {
			zone.rows.put('a', `ready ${beat}`);
		}

		zone.rows.put('b', 'ready 1');
		await zone.settle();
		const events = zone.daemons.map(daemon => daemon.events);
		zone.rows.restore(copy);
		await zone.waitForValue(zone.daemons, 'b', undefined);
		zone.forgetCalls();
		await delay(1000);
		expect(events.map(list => list.filter(event => event === 'restored').length)).toEqual([1, 1, 1, 1]);
		// One call in each wait and pause, which take at least 170 ms together.
		expect(Math.max(...zone.daemons.map(({feed}) => feed.calls))).toBeLessThanOrEqual(7);
	});

	test('do not rely on a reader that still has a copy of the earlier epoch', async () => {
		await using zone = new ZoneFixture();
		const copy = zone.rows.takeCopy();
		zone.rows.put('b', 'ready 1');
		await zone.settle();
		const [stale] = zone.readers;
		stale!.feed.faults.isDown = true;
		stale!.isCutOff = true;
		zone.rows.restore(copy);
		const others = zone.daemons.filter(daemon => daemon !== stale);
		await zone.waitForValue(others, 'b', undefined);
		stale!.isCutOff = false;
		await delay(changeBoundMs);
		expect(others.map(({values}) => values.has('b'))).toEqual([false, false, false]);
		expect(stale!.values.has('b')).toBe(false);
	});

	test('follow their readers before a store without epochs whose versions go back', async () => {
		await using zone = new ZoneFixture();
		zone.rows.hasEpochs = false;
		await zone.settle();
		const copy = zone.rows.takeCopy();
		for (let beat = 2; beat < 12; beat += 1) {
			zone.rows.put('a', `ready ${beat}`);
		}

		zone.rows.put('b', 'ready 1');
		await zone.waitForValue(zone.daemons, 'b', 'ready');
		zone.rows.restore(copy);
		await delay(changeBoundMs);
		zone.rows.put('c', 'ready 1');
		await zone.waitForValue(zone.daemons, 'c', 'ready');
		await zone.waitForValue(zone.daemons, 'b', undefined);
	});

	// Guards against a late page that takes the copy back, or that counts as an outage of the store.
	test('ignore a page of the earlier epoch that arrives after the rows of a reader', async () => {
		await using zone = new ZoneFixture();
		const copy = zone.rows.takeCopy();
		zone.rows.put('b', 'ready 1');
		await zone.settle();
		const [alone] = zone.followers;
		const {feed, values, events} = alone!;
		const late = await feed.waitForChanges('servers', 0, 0);
		const pending = Promise.withResolvers<typeof late>();
		let hasAsked = false;
		feed.waitForChanges = async () => {
			hasAsked = true;
			return pending.promise;
		};

		alone!.isCutOff = true;
		await vi.waitFor(() => {
			expect(hasAsked).toBe(true);
		}, {timeout: changeBoundMs, interval: 5});
		zone.rows.restore(copy);
		alone!.isCutOff = false;
		await zone.waitForValue([alone!], 'b', undefined);
		events.length = 0;
		pending.resolve(late);
		await delay(50);
		expect([values.has('b'), events]).toEqual([false, []]);
	});

	// The announcements of earlier releases name no epoch.
	test('read the store themselves beside readers of an earlier release, and see a restore', async () => {
		await using zone = new ZoneFixture();
		zone.earlierReleases.add('reader-1').add('reader-2');
		const copy = zone.rows.takeCopy();
		zone.rows.put('a', 'ready 2');
		await zone.settle();
		zone.rows.restore(copy);
		zone.rows.put('b', 'ready 1');
		await zone.waitForValue(zone.followers, 'b', 'ready');
	});

	test.each(['lower', 'alternating'] as const)('read the whole table at most twice a second when the epoch that the store names is %s', async fault => {
		await using zone = new ZoneFixture();
		await zone.settle();
		zone.rows.epochFault = fault;
		zone.forgetCalls();
		await delay(2000);
		zone.rows.put('b', 'ready 1');
		await zone.waitForValue(zone.daemons, 'b', 'ready');
		expect(Math.max(...zone.daemons.map(({feed}) => feed.calls))).toBeLessThanOrEqual(14);
	});
});
