import {Left} from 'purify-ts';
import type {RowWrite} from '../src/ports/table.ts';
import {
	groupedWrites, singleWrites, WriteBatcher, type GroupCommitLimits,
} from '../src/process/claims/write-batcher.ts';
import {SeededRandom} from '../src/process/random.ts';
import {MemoryTable} from '../src/stand-ins/platform/memory-table.ts';
import {RateLimit} from '../src/stand-ins/platform/rate-limit.ts';
import {
	atLeast, atMost, type Measure, type Measurement,
} from './measure.ts';
import {VirtualClock} from './simulation/virtual-clock.ts';

type TransactionCost = 'one' | 'rows';

type Load = {
	readonly daemons: number;
	/** Claims a second at all daemons together; each is followed by its completion. */
	readonly claimsPerSecond: number;
	readonly cost: TransactionCost;
	readonly groupCommit: GroupCommitLimits;
};

type Result = {
	/** Claims a second that were written with their completions. */
	readonly writtenPerSecond: number;
	/** Write calls a second at the store. */
	readonly callsPerSecond: number;
	/** Claims a second that were asked for. */
	readonly offeredPerSecond: number;
	/** 99th percentile of the time of a claim beyond that of the store, in milliseconds. */
	readonly addedP99Ms: number;
};

const seed = 1;
const durationMs = 2000;
const storeLatencyMs = 5;
const executionMs = 30;
const writesPerSecond = 500;
const daemons = 8;
const addedP99BoundMs = 5;
const claimRates = [50, 200, 400, 1600] as const;
const millisecondsPerSecond = 1000;

/** Share of what can be written that must be. */
const minWrittenFraction = 0.9;

/** Table that takes a fixed time for each write and throttles above a rate. */
class LimitedTable extends MemoryTable {
	calls = 0;
	readonly #time: VirtualClock;
	readonly #limit: RateLimit;
	readonly #cost: TransactionCost;

	constructor(time: VirtualClock, cost: TransactionCost) {
		super();
		this.#time = time;
		this.#limit = new RateLimit(time);
		this.#cost = cost;
	}

	override async write(writes: readonly RowWrite[]) {
		this.calls += 1;
		await this.#time.wait(storeLatencyMs);
		return this.#limit.take(this.#cost === 'one' ? 1 : writes.length, writesPerSecond)
			? super.write(writes)
			: Left({kind: 'unavailable' as const, message: 'throttled'});
	}
}

async function simulate({daemons: count, claimsPerSecond, cost, groupCommit}: Load): Promise<Result> {
	const time = new VirtualClock();
	const table = new LimitedTable(time, cost);
	const batchers = Array.from({length: count}, () => new WriteBatcher(table, groupCommit, async milliseconds => time.wait(milliseconds)));
	const random = new SeededRandom(seed);
	const added: number[] = [];
	let written = 0;
	const run = async (index: number, at: number): Promise<void> => {
		await time.wait(at);
		const batcher = batchers[random.integer(count)]!;
		const key = {partition: 'claim', sort: String(index)};
		const start = time.now();
		const claimed = await batcher.submit({
			kind: 'put', key, expected: 0, body: '{}',
		});
		added.push(time.now() - start - storeLatencyMs);
		if (claimed !== 'written') {
			return;
		}

		await time.wait(executionMs);
		const completed = await batcher.submit({
			kind: 'put', key, expected: 1, body: '{}',
		});
		written += completed === 'written' ? 1 : 0;
	};

	let at = 0;
	for (let index = 0; at < durationMs; index += 1) {
		at -= Math.log(1 - random.next()) * millisecondsPerSecond / claimsPerSecond;
		void run(index, at);
	}

	await time.run();
	const seconds = durationMs / millisecondsPerSecond;
	const addedP99Ms = added.toSorted((a, b) => a - b)[Math.floor(added.length * 0.99)] ?? 0;
	return {
		offeredPerSecond: added.length / seconds, writtenPerSecond: written / seconds, callsPerSecond: table.calls / seconds, addedP99Ms: Math.round(addedP99Ms * 100) / 100,
	};
}

async function compare(cost: TransactionCost, claimsPerSecond: number): Promise<readonly Measurement[]> {
	const load = {daemons, claimsPerSecond, cost};
	const single = await simulate({...load, groupCommit: singleWrites});
	const grouped = await simulate({...load, groupCommit: groupedWrites});
	const name = `${claimsPerSecond} claims/s, a transaction counts ${cost}`;
	// A claim takes two writes; above the store's rate, groups must not do worse than single writes.
	const isWithinRate = 2 * grouped.offeredPerSecond <= writesPerSecond;
	return [
		atLeast(`claims written in groups, ${name}`, Math.round(grouped.writtenPerSecond), '1/s', {
			baseline: Math.round(single.writtenPerSecond), bound: Math.floor((isWithinRate ? grouped.offeredPerSecond : single.writtenPerSecond) * minWrittenFraction),
		}),
		atMost(`store calls in groups, ${name}`, Math.round(grouped.callsPerSecond), '1/s', {
			baseline: Math.round(single.callsPerSecond), bound: Math.round(2 * grouped.offeredPerSecond),
		}),
		atMost(`added p99 in groups, ${name}`, grouped.addedP99Ms, 'ms', {
			baseline: single.addedP99Ms, bound: addedP99BoundMs,
		}),
	];
}

/** Group commit of claims against one write per claim, at a store of 500 writes a second in virtual time. */
export const claims: Measure = {
	name: 'claims',
	deterministic: true,
	async run() {
		const measurements: Measurement[] = [];
		for (const cost of ['one', 'rows'] as const) {
			for (const claimsPerSecond of claimRates) {
				measurements.push(...await compare(cost, claimsPerSecond));
			}
		}

		return measurements;
	},
};
