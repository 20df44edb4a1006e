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

/** What the store's rate limit counts: each transaction, or each row that it writes. */
type TransactionCost = 'one' | 'rows';

type Load = {
	readonly daemons: number;
	/** Claims per second over all daemons; a completion follows each claim that was written. */
	readonly claimsPerSecond: number;
	readonly cost: TransactionCost;
	readonly groupCommit: GroupCommitLimits;
};

type Result = {
	/** Claims per second that were written together with their completions. */
	readonly writtenPerSecond: number;
	/** Write calls per second at the store. */
	readonly callsPerSecond: number;
	/** Claims per second that were submitted. */
	readonly offeredPerSecond: number;
	/** 99th percentile of the latency of a claim in excess of the store's latency, in milliseconds. */
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

/** Fraction of the claims that must be written: of the offered ones within the store's rate, of those written singly above it. */
const minWrittenFraction = 0.9;

/** Table with a fixed write latency that throttles writes above a fixed rate. */
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
	// A claim takes two writes. Above the rate of the store, group commit must not do worse than single writes.
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

/** Compares group commit of claims with single writes, at a store that accepts 500 writes per second, in virtual time. */
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
