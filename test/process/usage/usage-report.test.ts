import {describe, expect, test} from 'vitest';
import {SeededRandom} from '../../../src/process/random.ts';
import {
	UsageFleet, windowMs, type ComparedWindow, type UsageDaemon,
} from '../../fixtures/usage-fleet.ts';

const accounts = ['large', 'large', 'large', 'large', 'medium', 'medium', 'small'];
const tolerance = 0.05;

/** Offers requests of several accounts to all running daemons. */
function createLoad(fleet: UsageFleet, seed = 1): () => void {
	const random = new SeededRandom(seed);
	return () => {
		const running = fleet.daemons.filter(({isRunning}) => isRunning);
		for (let index = 0; index < 10 && running.length > 0; index += 1) {
			fleet.run(running[Math.floor(random.next() * running.length)]!, accounts[Math.floor(random.next() * accounts.length)]!);
		}
	};
}

/** Windows of which the report is missing, late or further off than the tolerance allows. */
function findWrong(fleet: UsageFleet, from: number, through: number): readonly number[] {
	const isOff = ({truth, reported}: ComparedWindow) => Object.entries(truth).some(([account, count]) => Math.abs((reported?.[account] ?? 0) - count) > count * tolerance);
	return fleet.compare(from, through).filter(compared => !compared.isInTime || isOff(compared)).map(({window}) => window);
}

async function startFleet(count: number): Promise<{readonly fleet: UsageFleet; readonly load: () => void; readonly first: number}> {
	const fleet = new UsageFleet(count);
	const load = createLoad(fleet);
	await fleet.advance(10_000);
	await fleet.advance(15_000, load);
	return {fleet, load, first: fleet.window};
}

/** Advances until the holder has fixed the present window, with no report accepted. */
async function fixWithoutReport(fleet: UsageFleet, load: () => void): Promise<UsageDaemon> {
	const holder = fleet.holder!;
	const {window} = fleet;
	holder.dutyFault = 'throttled';
	await fleet.advance(((window + 1) * windowMs) - fleet.now, load);
	await fleet.advance(2000, load);
	expect(fleet.platform.reports.has(window)).toBe(false);
	const rows = await fleet.table.query('usage');
	expect(rows.unsafeCoerce().some(({body}) => body.includes(`"window":${window},`))).toBe(true);
	return holder;
}

describe('reports of usage', () => {
	test('count every run of all daemons once a window, in time and to the exact number', async () => {
		const {fleet, load, first} = await startFleet(12);
		await using _ = fleet;
		const callsBefore = fleet.platform.calls;
		await fleet.advance(60_000, load);
		expect(fleet.platform.calls - callsBefore).toBe(12);
		for (const {truth, reported, isInTime} of fleet.compare(first, first + 9)) {
			expect(reported).toEqual(truth);
			expect(isInTime).toBe(true);
		}

		// A successor of a holder that is killed before its report needs most of the time until it is due.
		const delays = [...fleet.platform.reports].filter(([window]) => window >= first).map(([window, {at}]) => at - ((window + 1) * windowMs));
		expect(Math.max(...delays)).toBeLessThanOrEqual(1250);
		expect(fleet.platform.violations).toEqual([]);
	});

	test('have the counts that a holder fixed before it was killed, though it had not reported them', async () => {
		const {fleet, load, first} = await startFleet(6);
		await using _ = fleet;
		const killed = await fixWithoutReport(fleet, load);
		killed.isRunning = false;
		await fleet.advance(20_000, load);
		expect(fleet.holder).not.toBe(killed);
		expect(findWrong(fleet, first, first)).toEqual([]);
		expect(fleet.compare(first, first)[0]!.reported).toEqual(fleet.compare(first, first)[0]!.truth);
		expect(fleet.platform.violations).toEqual([]);
	});

	test('are repeated with the same counts after a holder was killed before the answer', async () => {
		const {fleet, load, first} = await startFleet(6);
		await using _ = fleet;
		let killed: UsageDaemon | undefined;
		fleet.onReport = daemon => {
			if (killed === undefined) {
				killed = daemon;
				daemon.isRunning = false;
				daemon.dutyFault = 'lost';
			}
		};

		await fleet.advance(30_000, load);
		expect(killed).toBeDefined();
		expect(findWrong(fleet, first + 2, first + 3)).toEqual([]);
		expect(fleet.platform.violations).toEqual([]);
	});

	// Guards against waiting for the first run before any window is reported.
	test('are made for windows without runs', async () => {
		await using fleet = new UsageFleet(3);
		const first = fleet.window;
		await fleet.advance(20_000);
		expect(fleet.compare(first, first + 2).map(({reported, isInTime}) => [reported, isInTime])).toEqual(Array.from({length: 3}, () => [{}, true]));
	});

	test('that were accepted are not repeated by a successor', async () => {
		const {fleet, load} = await startFleet(4);
		await using _ = fleet;
		await fleet.advance(20_000, load);
		fleet.holder!.isRunning = false;
		const {calls} = fleet.platform;
		await fleet.advance(20_000, load);
		// The last report of the killed holder is not known to be accepted.
		expect(fleet.platform.calls - calls).toBeLessThanOrEqual(5);
	});

	test('of a suspended holder that wakes up are those of its successor, or none', async () => {
		const {fleet, load, first} = await startFleet(6);
		await using _ = fleet;
		const frozen = await fixWithoutReport(fleet, load);
		frozen.isRunning = false;
		await fleet.advance(12_000, load);
		frozen.dutyFault = 'none';
		frozen.isRunning = true;
		await fleet.advance(30_000, load);
		expect(fleet.platform.violations).toEqual([]);
		expect(findWrong(fleet, first, first)).toEqual([]);
		expect(findWrong(fleet, first + 4, first + 6)).toEqual([]);
	});

	test('are repeated unchanged while their answers are lost', async () => {
		const {fleet, load, first} = await startFleet(4);
		await using _ = fleet;
		for (const daemon of fleet.daemons) {
			daemon.dutyFault = 'lost';
		}

		await fleet.advance(12_000, load);
		expect(fleet.platform.calls).toBeGreaterThan(8);
		for (const daemon of fleet.daemons) {
			daemon.dutyFault = 'none';
		}

		await fleet.advance(20_000, load);
		expect(fleet.platform.violations).toEqual([]);
		expect(findWrong(fleet, first, first + 3)).toEqual([]);
	});

	test('do not wait for a daemon that stays unreachable, and count what it had told', async () => {
		const {fleet, load, first} = await startFleet(8);
		await using _ = fleet;
		const dead = fleet.daemons.at(-1)!;
		await fleet.advance(((first + 1) * windowMs) - fleet.now - 1000, load);
		dead.isRunning = false;
		await fleet.advance(20_000, load);
		const windows = fleet.compare(first, first + 2);
		expect(windows.every(({isInTime}) => isInTime)).toBe(true);
		const lost = Object.values(windows[0]!.truth).reduce((sum, count) => sum + count, 0) - Object.values(windows[0]!.reported!).reduce((sum, count) => sum + count, 0);
		// The daemon ran an eighth of the requests, and takes with it at most those of 2.5 s.
		expect(lost).toBeLessThan(10 * 20 * 2.6 / 8);
		expect(findWrong(fleet, first + 1, first + 2)).toEqual([]);
	});

	test('include a daemon that is cut off for less than the time until they are due', async () => {
		const {fleet, load, first} = await startFleet(8);
		await using _ = fleet;
		const cut = fleet.daemons.at(-1)!;
		await fleet.advance(((first + 1) * windowMs) - fleet.now - 1000, load);
		cut.isCutOff = true;
		await fleet.advance(3000, load);
		cut.isCutOff = false;
		await fleet.advance(10_000, load);
		expect(fleet.compare(first, first)[0]!.reported).toEqual(fleet.compare(first, first)[0]!.truth);
		expect(findWrong(fleet, first, first)).toEqual([]);
	});

	test('are made late rather than never when the store fails for some seconds', async () => {
		const {fleet, load, first} = await startFleet(4);
		await using _ = fleet;
		for (const daemon of fleet.daemons) {
			daemon.storeFault = 'unavailable';
		}

		await fleet.advance(12_000, load);
		for (const daemon of fleet.daemons) {
			daemon.storeFault = 'none';
		}

		await fleet.advance(30_000, load);
		for (const {truth, reported} of fleet.compare(first, first + 5)) {
			expect(reported).toEqual(truth);
		}

		expect(findWrong(fleet, first + 4, first + 6)).toEqual([]);
		expect(fleet.platform.violations).toEqual([]);
	});

	test('are not made again with other counts after a restore of the store has taken away their row', async () => {
		const {fleet, load, first} = await startFleet(4);
		await using _ = fleet;
		await fleet.advance(((first + 1) * windowMs) - fleet.now + 2000, load);
		expect(fleet.platform.reports.has(first)).toBe(true);
		const rows = await fleet.table.query('usage');
		const {key, revision} = rows.unsafeCoerce().find(({body}) => body.includes(`"window":${first},`))!;
		await fleet.table.write([{kind: 'delete', key, expected: revision}]);
		fleet.epoch = 2;
		// Its counts are lost, so that those of a successor differ.
		fleet.holder!.isRunning = false;
		await fleet.advance(30_000, load);
		expect(fleet.platform.violations).toEqual([]);
		expect(findWrong(fleet, first + 2, first + 4)).toEqual([]);
	});

	test('are the same when the write that fixes them is lost, applied or not', async () => {
		for (const fault of ['lost-before', 'lost-after', 'late'] as const) {
			const {fleet, load, first} = await startFleet(4);
			await using _ = fleet;
			for (let round = 0; round < 20; round += 1) {
				for (const daemon of fleet.daemons) {
					daemon.storeFault = round % 2 === 0 ? fault : 'none';
				}

				await fleet.advance(750, load);
			}

			for (const daemon of fleet.daemons) {
				daemon.storeFault = 'none';
			}

			await fleet.advance(30_000, load);
			expect(fleet.platform.violations, fault).toEqual([]);
			expect(findWrong(fleet, first + 4, first + 6), fault).toEqual([]);
		}
	});

	test('keep to the true windows while the time of day of a third of the hosts, with the holder, jumps', async () => {
		const {fleet, load, first} = await startFleet(9);
		await using _ = fleet;
		for (const daemon of fleet.daemons.slice(0, 3)) {
			daemon.clockErrorMs = 3200;
		}

		await fleet.advance(20_000, load);
		for (const daemon of fleet.daemons.slice(0, 3)) {
			daemon.clockErrorMs = 0;
		}

		for (const daemon of fleet.daemons.slice(3, 6)) {
			daemon.clockErrorMs = -2400;
		}

		await fleet.advance(30_000, load);
		expect(findWrong(fleet, first, first + 7)).toEqual([]);
		expect(fleet.platform.violations).toEqual([]);
	});

	// Guards against fixing a window before its end.
	test.each([false, true])('keep to the true windows when the time of day of the first holder is ahead, with an unreachable daemon: %s', async hasUnreachable => {
		for (let startMs = 0; startMs < windowMs; startMs += 250) {
			await using fleet = new UsageFleet(7, {startAfterMs: startMs, firstClockErrorsMs: [3200, 3200]});
			fleet.daemons.at(-1)!.isRunning = !hasUnreachable;
			const first = fleet.window;
			// The daemons whose time of day is wrong take no requests before they have heard of the others.
			await fleet.advance(25_000, () => {
				for (const daemon of fleet.daemons.slice(2, 5)) {
					fleet.run(daemon, 'large');
				}
			});
			expect(findWrong(fleet, first, first + 2), `start after ${startMs} ms`).toEqual([]);
		}
	});

	test('put the runs of a host that was suspended into their windows again within two rounds', async () => {
		const {fleet, load, first} = await startFleet(9);
		await using _ = fleet;
		const suspended = fleet.daemons.at(-1)!;
		suspended.isRunning = false;
		await fleet.advance(6000, load);
		suspended.isRunning = true;
		await fleet.advance(30_000, load);
		expect(findWrong(fleet, first + 2, first + 5)).toEqual([]);
	});

	test('begin with the window in which the first daemon started, and leave out those of a total outage', async () => {
		const {fleet, load, first} = await startFleet(4);
		await using _ = fleet;
		expect(Math.min(...fleet.platform.reports.keys())).toBe(Math.floor(1_767_225_601_000 / windowMs));
		for (const daemon of fleet.daemons) {
			daemon.isRunning = false;
		}

		await fleet.advance(20_000);
		for (const daemon of fleet.daemons) {
			await daemon.restart();
		}

		await fleet.advance(30_000, load);
		expect(fleet.platform.reports.has(first + 2)).toBe(false);
		expect(findWrong(fleet, first + 6, first + 7)).toEqual([]);
		expect(fleet.platform.violations).toEqual([]);
	});

	test('pass to successors without a missing window while the holder is killed every 15 s', async () => {
		const {fleet, load, first} = await startFleet(6);
		await using _ = fleet;
		const random = new SeededRandom(5);
		for (let kill = 0; kill < 8; kill += 1) {
			await fleet.advance(12_000 + (Math.floor(random.next() * 60) * 50), load);
			const {holder} = fleet;
			if (holder !== undefined) {
				holder.isRunning = false;
				await fleet.advance(1500, load);
				await holder.restart();
			}
		}

		await fleet.advance(20_000, load);
		const windows = fleet.compare(first, first + 18);
		expect(windows.filter(({reported}) => reported === undefined)).toEqual([]);
		expect(windows.filter(({isInTime}) => !isInTime).length).toBeLessThanOrEqual(1);
		expect(fleet.platform.violations).toEqual([]);
	});

	test('never differ for a window while processes die, hosts freeze, clocks jump and calls fail at random', async () => {
		for (let seed = 1; seed <= 6; seed += 1) {
			await using fleet = new UsageFleet(4);
			const load = createLoad(fleet, seed);
			const random = new SeededRandom(seed);
			for (let step = 0; step < 60; step += 1) {
				for (const daemon of fleet.daemons) {
					const isRestarted = !daemon.isRunning && random.next() < 0.3;
					await (isRestarted ? daemon.restart() : undefined);
					daemon.isRunning = random.next() > 0.1;
					daemon.isCutOff = random.next() < 0.1;
					daemon.clockErrorMs = random.next() < 0.1 ? 3000 : 0;
					daemon.storeFault = (['none', 'none', 'none', 'none', 'unavailable', 'lost-after', 'lost-before'] as const)[Math.floor(random.next() * 7)]!;
					daemon.dutyFault = (['none', 'none', 'lost', 'throttled', 'unknown'] as const)[Math.floor(random.next() * 5)]!;
				}

				await fleet.advance(2000, load);
			}

			expect(fleet.platform.violations, `seed ${seed}`).toEqual([]);
			expect(fleet.platform.reports.size, `seed ${seed}`).toBeGreaterThan(5);
		}
	});
});
