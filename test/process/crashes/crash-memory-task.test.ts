import {
	afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import type {Clock} from '../../../src/process/clock.ts';
import {CrashMemoryTask} from '../../../src/process/crashes/crash-memory-task.ts';
import {CrashMonitor} from '../../../src/process/crashes/crash-monitor.ts';
import {createLog} from '../../../src/process/create-log.ts';
import type {Table} from '../../../src/ports/table.ts';
import {MemoryTable} from '../../../src/stand-ins/platform/memory-table.ts';
import {succeed} from '../../either.ts';
import {FaultyTable, type CallFault} from '../../fixtures/faulty-table.ts';

const refusedForMs = 600_000;
const key = {partition: 'crashes', sort: 'memory'};
/** Clock of the fake timers. */
const clock: Clock = {now: () => Date.now()};
let attemptId = 0;

/** Monitor and task of one daemon, which hears nothing of the others. */
class Daemon implements AsyncDisposable {
	readonly monitor: CrashMonitor;
	readonly #task: CrashMemoryTask;

	constructor(table: Table, rank = 0) {
		this.monitor = new CrashMonitor({
			clock, announce: () => undefined, refusesConnections: async () => true, isServing: () => true, report: () => undefined,
		});
		this.#task = new CrashMemoryTask({
			log: createLog('error', 'hidden'), table, clock, monitor: this.monitor, rank: () => rank, readIntervalMs: Number.POSITIVE_INFINITY, now: () => Date.now(),
		});
		this.#task.run();
	}

	/** Lets an upstream crash while requests are in flight there. */
	crash(upstream: string, ...fingerprints: readonly string[]): void {
		const attempts = fingerprints.map(fingerprint => {
			attemptId += 1;
			this.monitor.attemptStarted(attemptId, {
				fingerprint, promptParts: [], upstream, address: '', startedAt: 0,
			});
			return attemptId;
		});
		for (const id of attempts) {
			this.monitor.attemptEnded(id, upstream, 'lost');
		}

		this.monitor.upstreamDown(upstream, 'refused');
	}

	/** Completes a request. */
	complete(fingerprint: string, promptParts: readonly string[] = []): void {
		attemptId += 1;
		this.monitor.attemptStarted(attemptId, {
			fingerprint, promptParts, upstream: 'u', address: '', startedAt: 0,
		});
		this.monitor.attemptEnded(attemptId, 'u', 'complete');
	}

	storeRestored(): void {
		this.#task.storeRestored();
	}

	statusOf(fingerprint: string, promptParts: readonly string[] = []): string {
		return this.monitor.statusOf({fingerprint, promptParts});
	}

	async [Symbol.asyncDispose](): Promise<void> {
		await this.#task[Symbol.asyncDispose]();
	}
}

describe('the memory of crashes', () => {
	beforeEach(() => {
		vi.useFakeTimers();
	});

	afterEach(() => {
		vi.useRealTimers();
	});

	// Guards against a daemon that dispatches a condemned request because it started within the 10 minutes or missed the news.
	it('passes a condemned request to a daemon that starts later, despite a store outage', async () => {
		const table = new MemoryTable();
		const faults: CallFault[] = ['unavailable', 'none', 'unavailable', 'none', 'lost-after'];
		await using writer = new Daemon(new FaultyTable(table, () => faults.shift() ?? 'none'));
		writer.monitor.applyNews({kind: 'condemned', fingerprint: 'p', refusedForMs});
		await vi.advanceTimersByTimeAsync(5000);
		expect(faults).toEqual([]);
		await using reader = new Daemon(table);
		await vi.advanceTimersByTimeAsync(100);
		expect(reader.statusOf('p')).toBe('condemned');
		writer.monitor.applyNews({kind: 'cleared', fingerprint: 'p'});
		await vi.advanceTimersByTimeAsync(2000);
		await using third = new Daemon(table);
		await vi.advanceTimersByTimeAsync(100);
		expect([writer.statusOf('p'), third.statusOf('p')]).toEqual(['free', 'free']);
		expect(await succeed(table.query('crashes'))).toEqual([]);
	});

	// Guards against a daemon that starts later dispatching requests with a part that crashes engines.
	it('passes condemned parts to a daemon that starts later, until one of them is in a complete answer', async () => {
		const table = new MemoryTable();
		await using writer = new Daemon(table);
		writer.monitor.applyNews({
			kind: 'partsCondemned', promptParts: ['a', 'b'], refusedForMs, firstCrashAgeMs: 4000,
		});
		await vi.advanceTimersByTimeAsync(2000);
		await using reader = new Daemon(table, 1);
		await vi.advanceTimersByTimeAsync(100);
		expect(reader.statusOf('q', ['a', 'b'])).toBe('condemned');
		expect(reader.statusOf('q', ['a'])).toBe('free');
		reader.complete('r', ['a', 'b']);
		await vi.advanceTimersByTimeAsync(2000);
		await using third = new Daemon(table);
		await vi.advanceTimersByTimeAsync(100);
		expect(third.statusOf('q', ['a', 'b'])).toBe('free');
	});

	// Guards against a request that crashes an upstream in each life of the daemons and never counts as a repeated one.
	it('keeps the crashes from which nothing has been concluded yet', async () => {
		const table = new MemoryTable();
		for (const upstream of ['u-1', 'u-2']) {
			await using daemon = new Daemon(table);
			await vi.advanceTimersByTimeAsync(100);
			daemon.crash(upstream, 'p', `innocent-${upstream}`);
			await vi.advanceTimersByTimeAsync(1000);
			// The process is killed here.
		}

		await using last = new Daemon(table);
		await vi.advanceTimersByTimeAsync(3000);
		expect(['p', 'innocent-u-1', 'innocent-u-2'].map(fingerprint => last.statusOf(fingerprint))).toEqual(['condemned', 'free', 'free']);
	});

	// Guards against crash knowledge that is lost with the last daemon, because the store was restored from a copy that lacks it.
	it('is stored again after a restore of the table, by the first daemon alone', async () => {
		const table = new MemoryTable();
		await using first = new Daemon(table);
		await using second = new Daemon(table, 1);
		for (const {monitor} of [first, second]) {
			monitor.applyNews({kind: 'condemned', fingerprint: 'p', refusedForMs});
		}

		await vi.advanceTimersByTimeAsync(2000);
		const [row] = await succeed(table.query('crashes'));
		await succeed(table.write([{kind: 'delete', key, expected: row!.revision}]));
		await vi.advanceTimersByTimeAsync(2000);
		expect(await succeed(table.query('crashes'))).toEqual([]);
		first.storeRestored();
		second.storeRestored();
		await vi.advanceTimersByTimeAsync(2000);
		expect(await succeed(table.query('crashes'))).toMatchObject([{revision: 1}]);
		await using third = new Daemon(table);
		await vi.advanceTimersByTimeAsync(100);
		expect(third.statusOf('p')).toBe('condemned');
	});

	it('keeps what two daemons write at the same moment, and counts a crash that both have seen once', async () => {
		const table = new MemoryTable();
		await using first = new Daemon(table);
		await using second = new Daemon(table);
		await vi.advanceTimersByTimeAsync(100);
		first.crash('u-1', 'p', 'q');
		second.crash('u-1', 'p', 'r');
		second.crash('u-2', 's');
		await vi.advanceTimersByTimeAsync(3000);
		await using third = new Daemon(table);
		await vi.advanceTimersByTimeAsync(3000);
		expect(['p', 'q', 'r', 's'].map(fingerprint => third.statusOf(fingerprint))).toEqual(['suspect', 'suspect', 'suspect', 'suspect']);
	});

	it('forgets a request that has completed since, and crashes of more than ten minutes ago', async () => {
		const table = new MemoryTable();
		await using first = new Daemon(table);
		await vi.advanceTimersByTimeAsync(100);
		first.crash('u-1', 'p', 'q');
		await vi.advanceTimersByTimeAsync(1000);
		first.complete('p');
		await vi.advanceTimersByTimeAsync(20_000);
		await using second = new Daemon(table);
		await vi.advanceTimersByTimeAsync(100);
		expect([second.statusOf('p'), second.statusOf('q')]).toEqual(['free', 'suspect']);
		await vi.advanceTimersByTimeAsync(refusedForMs + 20_000);
		await using third = new Daemon(table);
		await vi.advanceTimersByTimeAsync(100);
		expect(third.statusOf('q')).toBe('free');
		expect(await succeed(table.query('crashes'))).toEqual([]);
	});

	it('ignores a row that another writer has spoiled, and replaces it', async () => {
		for (const body of ['{', 'null', '[]', '{"writtenAt":"now"}', '{"writtenAt":1,"crashes":[[1],["u",-1,[["p"]]],["u",1,[[2]]],"x"],"condemned":{"p":1},"parts":[[["a",1],5,5]]}']) {
			const table = new MemoryTable();
			await table.write([{
				kind: 'put', key, expected: 0, body,
			}]);
			await using daemon = new Daemon(table);
			await vi.advanceTimersByTimeAsync(100);
			expect([daemon.statusOf('p'), daemon.statusOf('q', ['a'])]).toEqual(['free', 'free']);
			daemon.crash('u-1', 'p');
			await vi.advanceTimersByTimeAsync(1000);
			await using reader = new Daemon(table);
			await vi.advanceTimersByTimeAsync(100);
			expect(reader.statusOf('p')).toBe('suspect');
		}
	});

	it('stays within the size of a row, and keeps what is condemned', async () => {
		const table = new MemoryTable();
		await using daemon = new Daemon(table);
		await vi.advanceTimersByTimeAsync(100);
		daemon.monitor.applyNews({kind: 'condemned', fingerprint: 'p', refusedForMs});
		for (let crash = 0; crash < 200; crash += 1) {
			daemon.crash(`u-${crash}`, ...Array.from({length: 30}, (__, request) => `request-${crash}-${request}`.padEnd(32, 'x')));
		}

		await vi.advanceTimersByTimeAsync(2000);
		const row = await succeed(table.get(key));
		expect(row!.body.length).toBeLessThan(32 * 1024);
		const {revision} = row!;
		await vi.advanceTimersByTimeAsync(30_000);
		const later = await succeed(table.get(key));
		expect(later!.revision).toBeLessThan(revision + 4);
		await using reader = new Daemon(table);
		await vi.advanceTimersByTimeAsync(100);
		expect(reader.statusOf('p')).toBe('condemned');
	});
});
