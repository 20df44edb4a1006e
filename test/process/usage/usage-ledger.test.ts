import {describe, expect, test} from 'vitest';
import {ManualClock} from '../../../src/process/clock.ts';
import {FleetTime, median} from '../../../src/process/usage/fleet-time.ts';
import {UsageCollection} from '../../../src/process/usage/usage-collection.ts';
import {UsageLedger} from '../../../src/process/usage/usage-ledger.ts';

const windowMs = 5000;

function createLedger(startMs: number): {readonly ledger: UsageLedger; readonly clock: ManualClock} {
	const clock = new ManualClock(startMs);
	return {ledger: new UsageLedger({now: () => clock.now(), windowMs, instance: 'daemon-1/a'}), clock};
}

describe('the ledger of a daemon', () => {
	test('counts a plain request in the window in which its upstream began it, and a lost one in that of its send', () => {
		const {ledger, clock} = createLedger(101_000);
		for (let run = 0; run < 50; run += 1) {
			ledger.recordRun('north', {service: 'desk', elapsedMs: 40, isAnswered: true});
		}

		clock.advance(4030);
		ledger.recordRun('north', {service: 'desk', elapsedMs: 40, isAnswered: true});
		// Waited at its upstream before it began.
		clock.advance(1000);
		ledger.recordRun('north', {service: 'desk', elapsedMs: 1200, isAnswered: true});
		ledger.recordRun('north', {service: 'desk', elapsedMs: 1200, isAnswered: false});
		expect([...ledger.snapshot(0).windows]).toEqual([[20, new Map([['north', 52]])], [21, new Map([['north', 1]])]]);
	});

	test('keeps a bounded number of windows, also after an error of the time', () => {
		const {ledger, clock} = createLedger(100_000);
		ledger.recordRun('north');
		clock.advance(1e9);
		ledger.recordRun('north');
		clock.advance(-1e9 + windowMs);
		for (let window = 0; window < 100; window += 1) {
			ledger.recordRun('north');
			clock.advance(windowMs);
		}

		const windows = [...ledger.snapshot(0).windows.keys()];
		expect(windows.length).toBeLessThanOrEqual(10);
		expect(Math.min(...windows)).toBeGreaterThanOrEqual(113);
	});
});

describe('the collection of the holder', () => {
	test('adds up processes, keeps those that have ended, and ignores an older snapshot that arrives late', () => {
		const collection = new UsageCollection();
		const snapshot = (instance: string, count: number) => ({instance, firstWindow: 20, windows: new Map([[20, new Map([['north', count]])]])});
		collection.add(snapshot('daemon-1/a', 5), 20);
		collection.add(snapshot('daemon-1/b', 2), 20);
		collection.add(snapshot('daemon-2/a', 7), 20);
		collection.add(snapshot('daemon-2/a', 6), 20);
		expect(collection.sum(20)).toEqual(new Map([['north', 14]]));
		collection.removeBefore(21);
		expect(collection.sum(20)).toEqual(new Map());
		expect(collection.firstWindow).toBeUndefined();
	});
});

describe('the time on which the daemons agree', () => {
	test.for([
		[[], undefined], [[3], 3], [[1, 3], 2], [[9, 1, 2], 2], [[4, 1, 3, 2], 2.5],
	] as ReadonlyArray<readonly [number[], number | undefined]>)('the median of %j is %s', ([values, expected]) => {
		expect(median(values)).toBe(expected);
	});

	test('follows the message that was on its way for the shortest time', () => {
		const clock = new ManualClock(1000);
		const time = new FleetTime(clock, () => 0);
		const started = 1_000_000;
		for (const [passedMs, delayMs] of [[100, 300], [200, 3], [300, 40]] as const) {
			clock.advance(100);
			time.hear((started + passedMs) - delayMs);
		}

		expect(time.now()).toBe((started + 300) - 3);
	});

	test('loses an error that a holder told within some rounds', () => {
		const clock = new ManualClock(1000);
		const time = new FleetTime(clock, () => 0);
		time.hear(1_003_000);
		for (let round = 1; round <= 4; round += 1) {
			clock.advance(2500);
			time.hear(1_000_000 + (round * 2500));
		}

		expect(time.now()).toBe(1_010_000);
	});

	test('is the median of the times of day, without those of daemons that have not answered for long', () => {
		const clock = new ManualClock(1000);
		const time = new FleetTime(clock, () => 7_000_000);
		time.measure('daemon-2', 1_000_000, 1000);
		time.measure('daemon-3', 1_000_004, 1000);
		time.estimate();
		expect(time.now()).toBe(1_000_004);
		clock.advance(20_000);
		time.estimate();
		expect(time.now()).toBe(7_000_000);
	});
});
