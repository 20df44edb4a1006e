import {describe, expect, test} from 'vitest';
import {AccountUsage, divideFairly} from '../../../src/process/accounts/account-usage.ts';
import {rankByShare, type SharedWork} from '../../../src/process/accounts/share-order.ts';
import {UsageSums} from '../../../src/process/accounts/usage-sums.ts';
import {orderPrompts, type WaitingPrompt} from '../../../src/process/fleet/prefill-queue.ts';
import {SeededRandom} from '../../../src/process/random.ts';

type Prompt = WaitingPrompt & SharedWork & {readonly arrivedAt: number};
type Daemon = {readonly usage: AccountUsage; queue: Prompt[]};
type Sharing = 'none' | 'each daemon' | 'all daemons';
/** Prompts that arrive in a millisecond, and the number of daemons that get those of the large account. */
type Load = {readonly smallPerMs: number; readonly largePerMs: number; readonly burstPerMs: number; readonly largeDaemons: number};
/** Prompts of one account. */
type Result = {asked: number; served: number; onTime: number};

const service = 'model';
const large = 'large';
const smallAccounts = 79;
const daemons = 12;
const tokensPerMs = 400;
const tokens = 4000;
const targetMs = 500;
const patienceMs = 2000;
/** Time in which daemons hear of each other's usage, in milliseconds. */
const usageNewsMs = 1000;
const maxBacklogMs = 100;

/** Plays prompts of one large and many small accounts at several daemons before one pool; the large one sends more for some seconds, at some of the daemons. */
function play(sharing: Sharing, {smallPerMs, largePerMs, burstPerMs, largeDaemons}: Load): ReadonlyMap<string, Result> {
	const random = new SeededRandom(7);
	const fleet = Array.from({length: daemons}, (): Daemon => ({
		usage: new AccountUsage(), queue: [],
	}));
	const results = new Map<string, Result>();
	let backlog = 0;
	let count = 0;
	const arrive = (account: string, daemon: Daemon, now: number) => {
		count += 1;
		daemon.usage.ask(service, account, tokens, now);
		const result = results.get(account) ?? {asked: 0, served: 0, onTime: 0};
		result.asked += 1;
		results.set(account, result);
		daemon.queue.push({
			id: String(count), priority: 1, tokens, work: tokens, service, account, arrivedAt: now, targetAt: now + targetMs, giveUpAt: now + patienceMs,
		});
	};

	for (let now = 0; now < 30_000; now += 1) {
		backlog = Math.max(0, backlog - tokensPerMs);
		const isBurst = now >= 10_000 && now < 20_000;
		if (random.next() < smallPerMs) {
			arrive(`small-${random.integer(smallAccounts)}`, fleet[random.integer(daemons)]!, now);
		}

		if (random.next() < (isBurst ? burstPerMs : largePerMs)) {
			arrive(large, fleet[random.integer(largeDaemons)]!, now);
		}

		if (now % usageNewsMs === 0 && sharing === 'all daemons') {
			const reports = fleet.map(({usage}) => usage.takeUnreported(1000));
			for (const [index, {usage}] of fleet.entries()) {
				usage.addReported(reports.filter((_, other) => other !== index).flat(), now);
			}
		}

		if (now % 10 !== 0) {
			continue;
		}

		const first = random.integer(daemons);
		for (const daemon of [...fleet.slice(first), ...fleet.slice(0, first)]) {
			const ordered = orderPrompts(daemon.queue, now, 40, sharing === 'none' ? undefined : queue => rankByShare(queue, daemon.usage, now));
			for (const prompt of ordered) {
				const finishAt = now + ((backlog + tokens) / tokensPerMs);
				if (finishAt > prompt.giveUpAt) {
					daemon.queue = daemon.queue.filter(other => other !== prompt);
				} else if (backlog <= maxBacklogMs * tokensPerMs) {
					daemon.queue = daemon.queue.filter(other => other !== prompt);
					backlog += tokens;
					daemon.usage.place(service, prompt.account!, tokens, now);
					const result = results.get(prompt.account!)!;
					result.served += 1;
					result.onTime += finishAt <= prompt.targetAt ? 1 : 0;
				}
			}
		}
	}

	return results;
}

/** Parts of what callers asked for; `leastServedRatio`: how often the worst account is served, relative to all. */
type Summary = {readonly smallOnTime: number; readonly worstSmall: number; readonly leastServedRatio: number; readonly served: number};

function summarize(results: ReadonlyMap<string, Result>): Summary {
	const sum = (list: readonly Result[], key: keyof Result) => list.reduce((total, result) => total + result[key], 0);
	const all = [...results.values()];
	const small = [...results].filter(([account]) => account !== large).map(([, result]) => result);
	const served = sum(all, 'served') / sum(all, 'asked');
	return {
		smallOnTime: sum(small, 'onTime') / sum(small, 'asked'),
		worstSmall: Math.min(...small.map(({onTime, asked}) => onTime / asked)),
		leastServedRatio: Math.min(...all.map(result => result.served / result.asked)) / served,
		served,
	};
}

function playAll(load: Load): Readonly<Record<'none' | 'own' | 'all', Summary>> {
	return {none: summarize(play('none', load)), own: summarize(play('each daemon', load)), all: summarize(play('all daemons', load))};
}

describe('shares of a pool between client accounts', () => {
	test.each<[string, Load]>([
		['all daemons', {
			smallPerMs: 0.06, largePerMs: 0.03, burstPerMs: 0.15, largeDaemons: daemons,
		}],
		['a quarter of the daemons', {
			smallPerMs: 0.06, largePerMs: 0.03, burstPerMs: 0.15, largeDaemons: daemons / 4,
		}],
	])('keep the small accounts on time while a large one sends more at %s', (_name, load) => {
		const {none, all} = playAll(load);
		expect(all.smallOnTime).toBeGreaterThan(0.9);
		expect(all.smallOnTime).toBeGreaterThan(none.smallOnTime + 0.05);
		expect(all.worstSmall).toBeGreaterThan(none.worstSmall + 0.1);
		expect(all.served).toBeGreaterThan(none.served - 0.01);
		expect(all.leastServedRatio).toBeGreaterThan(0.6);
	}, 60_000);

	// Guards against an account that is served less than a quarter as often as all, which shares by daemon alone cause.
	test('serve no account much less often than all while the pool is too small for long', () => {
		const scarce = playAll({
			smallPerMs: 0.09, largePerMs: 0.15, burstPerMs: 0.15, largeDaemons: daemons,
		});
		expect(scarce.all.leastServedRatio).toBeGreaterThan(0.3);
		expect(scarce.all.smallOnTime).toBeGreaterThan(scarce.none.smallOnTime + 0.3);
		const lopsided = playAll({
			smallPerMs: 0.15, largePerMs: 0.15, burstPerMs: 0.15, largeDaemons: daemons / 4,
		});
		expect(lopsided.own.leastServedRatio).toBeLessThan(0.25);
		expect(lopsided.all.leastServedRatio).toBeGreaterThan(0.3);
		expect(lopsided.all.smallOnTime).toBeGreaterThan(lopsided.none.smallOnTime);
	}, 60_000);

	test('change nothing while the pool can serve all', () => {
		const load = {
			smallPerMs: 0.03, largePerMs: 0.04, burstPerMs: 0.05, largeDaemons: daemons,
		};
		expect([...play('all daemons', load)]).toEqual([...play('none', load)]);
	});
});

describe('the level of an account', () => {
	/** Usage of a large account and ten small ones at a service that places half of the work. */
	function createUsage(now = 0): AccountUsage {
		const usage = new AccountUsage();
		for (const account of Array.from({length: 10}, (_, index) => `small-${index}`)) {
			usage.ask(service, account, 10, now);
			usage.place(service, account, 10, now);
		}

		usage.ask(service, large, 400, now);
		usage.place(service, large, 150, now);
		return usage;
	}

	test('is that of all while its demand fits into an equal share, then rises with its use', () => {
		const usage = createUsage();
		expect(usage.level(service, 'small-1', 0, 0)).toBe(0);
		expect(usage.level(service, large, 0, 0)).toBe(1);
		expect(usage.level(service, large, 100, 0)).toBe(2);
		expect(usage.level(service, large, 100_000, 0)).toBe(8);
	});

	test('is lowest for an account of whose work too little was placed', () => {
		const usage = createUsage();
		usage.ask(service, 'late', 40, 0);
		usage.place(service, 'late', 4, 0);
		expect(usage.level(service, 'late', 0, 0)).toBe(-1);
		expect(usage.level(service, 'late', 30, 0)).toBe(0);
	});

	test('is that of all for callers without an account, at another service and without accounts', () => {
		const usage = createUsage();
		expect(usage.level(service, undefined, 1e9, 0)).toBe(0);
		expect(usage.level('desk', large, 1e9, 0)).toBe(0);
		expect(new AccountUsage().level(service, large, 1e9, 0)).toBe(0);
	});

	test('falls as time passes without requests', () => {
		const usage = createUsage();
		usage.ask(service, 'new', 100, 20_000);
		usage.place(service, 'new', 10, 20_000);
		usage.ask(service, 'newer', 100, 20_000);
		expect(usage.level(service, large, 0, 20_000)).toBeLessThan(usage.level(service, 'new', 1000, 20_000));
	});

	test('counts the work of the other daemons once each has told it', () => {
		const [first, second] = [createUsage(), new AccountUsage()];
		second.addReported(first.takeUnreported(100), 0);
		expect(second.level(service, large, 0, 0)).toBe(1);
		expect(first.takeUnreported(100)).toEqual([]);
	});

	test.each([
		[[1, 2, 3], 7, Number.POSITIVE_INFINITY],
		[[1, 2, 3], 6, 3],
		[[1, 2, 9], 6, 3],
		[[5, 5, 5], 6, 2],
		[[], 0, Number.POSITIVE_INFINITY],
	])('divides %j of which %d is placed by the bound %d', (asked, total, bound) => {
		expect(divideFairly(asked, total)).toBe(bound);
	});
});

test('a relay passes on one item for each active account, however many daemons report, and no work twice', () => {
	const sums = new UsageSums(500, 256);
	const report = Array.from({length: 80}, (_, index) => ({
		service, account: `a-${index}`, asked: 2, placed: 1,
	}));
	for (let daemon = 0; daemon < 70; daemon += 1) {
		sums.add(report);
	}

	expect(sums.take(0)).toEqual(report.map(work => ({...work, asked: 140, placed: 70})));
	sums.add(report);
	expect(sums.take(499)).toEqual([]);
	expect(sums.take(500)).toEqual(report);
	expect(sums.take(1000)).toEqual([]);
});
