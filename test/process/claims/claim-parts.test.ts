import {Left, type Either} from 'purify-ts';
import {describe, expect, it} from 'vitest';
import {ClaimSettler} from '../../../src/process/claims/claim-settler.ts';
import {ClaimSweeper} from '../../../src/process/claims/claim-sweeper.ts';
import {RecentDispatches} from '../../../src/process/claims/recent-dispatches.ts';
import {NoDispatchLookup} from '../../../src/process/claims/dispatch-lookup.ts';
import {PlatformClaimStore, toClaimKey} from '../../../src/process/claims/platform-claim-store.ts';
import {groupedWrites, WriteBatcher} from '../../../src/process/claims/write-batcher.ts';
import {createLog} from '../../../src/process/create-log.ts';
import type {RowWrite, StoreFailure, Table} from '../../../src/ports/table.ts';
import type {Claim} from '../../../src/request/claim-store.ts';
import {claimLifetimeMs} from '../../../src/request/claim.ts';
import {MemoryObjectStore} from '../../../src/stand-ins/platform/memory-object-store.ts';
import {MemoryTable} from '../../../src/stand-ins/platform/memory-table.ts';
import {extract, succeed} from '../../either.ts';
import {FaultyTable, type CallFault} from '../../fixtures/faulty-table.ts';

const log = createLog('error', 'hidden');
const put = (sort: string, expected = 0): RowWrite => ({
	kind: 'put', key: {partition: 'p', sort}, expected, body: '{}',
});
const request = {customer: 'tuul', idempotencyKey: 'k', digest: 'd'};
const answer = {status: 201, headers: {'content-type': 'text/plain'}, body: new TextEncoder().encode('booked')};

class CountingTable extends MemoryTable {
	readonly sizes: number[] = [];

	override async write(writes: readonly RowWrite[]): Promise<Either<StoreFailure, void>> {
		this.sizes.push(writes.length);
		return super.write(writes);
	}
}

function createStore(table = new MemoryTable()) {
	const objects = new MemoryObjectStore();
	const faults: CallFault[] = [];
	const faulty = new FaultyTable(table, () => faults.shift() ?? 'none');
	const batcher = new WriteBatcher(faulty, groupedWrites, async () => undefined);
	const settler = new ClaimSettler({
		log, table: faulty, objects, batcher, wait: async () => Promise.withResolvers<void>().promise,
	});
	const store = new PlatformClaimStore({
		table: faulty, objects, batcher, settler, daemon: 'a1', isLive: () => true, now: () => 0, dispatches: new RecentDispatches(), dispatchLookup: new NoDispatchLookup(),
	});
	return {
		store, settler, table, objects, faults,
	};
}

async function claim(store: PlatformClaimStore): Promise<Claim> {
	const grant = await succeed(store.claim(request));
	return grant.kind === 'granted' ? grant.claim : expect.unreachable('not granted');
}

describe('WriteBatcher', () => {
	/** Creates a batcher whose store has just refused a write, so that it collects writes into groups. */
	async function createGroupingBatcher(table: Table): Promise<WriteBatcher> {
		const faults: CallFault[] = ['unavailable'];
		const faulty = new FaultyTable(table, () => faults.shift() ?? 'none');
		const batcher = new WriteBatcher(faulty, groupedWrites, async () => undefined);
		expect(await batcher.submit(put('refused'))).toBe('unavailable');
		return batcher;
	}

	async function submitAll(batcher: WriteBatcher, names: readonly string[]) {
		return Promise.all(names.map(async sort => batcher.submit(put(sort))));
	}

	it('does not delay writes while the store accepts them', async () => {
		const table = new CountingTable();
		const batcher = new WriteBatcher(table, groupedWrites, async () => Promise.withResolvers<void>().promise);
		expect(await submitAll(batcher, ['a', 'b'])).toEqual(['written', 'written']);
		expect(table.sizes).toEqual([1, 1]);
	});

	it('commits concurrent writes in transactions of at most 25 after the store has refused one', async () => {
		const table = new CountingTable();
		const batcher = await createGroupingBatcher(table);
		const outcomes = await submitAll(batcher, Array.from({length: 30}, (_, index) => String(index)));
		expect(new Set(outcomes)).toEqual(new Set(['written']));
		expect(table.sizes).toEqual([25, 5]);
	});

	// Guards against one conflicting claim that makes the others in its group fail, or wait for a retry by their callers.
	it('commits the remaining writes of a group if some conflict, including two writes of the same row', async () => {
		const table = new CountingTable();
		await table.write([put('b')]);
		const batcher = await createGroupingBatcher(table);
		const [first, second, ...same] = await submitAll(batcher, ['a', 'b', 'c', 'c']);
		expect([first, second]).toEqual(['written', 'conflict']);
		// Either of the two writes of the same row may come first.
		expect(same.toSorted()).toEqual(['conflict', 'written']);
		expect(table.sizes).toContain(3);
	});

	it.each(['unavailable', 'unknown'] as const)('returns %s for every write of the group', async kind => {
		class FailingTable extends CountingTable {
			override async write(writes: readonly RowWrite[]) {
				await super.write(writes);
				return Left({kind, message: 'down'});
			}
		}
		const table = new FailingTable();
		const batcher = await createGroupingBatcher(table);
		expect(await submitAll(batcher, ['a', 'b'])).toEqual([kind, kind]);
		expect(table.sizes).toEqual([2]);
	});
});

describe('a claim row that is malformed', () => {
	// Guards against a resend that is told that the request did not run, or a daemon that crashes, because of a row that it cannot parse.
	it('refuses the request without claiming that it did not run', async () => {
		const {store, table} = createStore();
		await table.write([{
			kind: 'put', key: toClaimKey(request), expected: 0, body: '{}',
		}]);
		const result = await store.claim(request);
		expect(result.swap().toMaybe().extract()).toMatchObject({code: 'claims_unavailable', ran: 'unknown'});
	});
});

describe('a completed claim', () => {
	it.each([6, 200_000])('returns the stored answer of %i bytes to a resend', async size => {
		const {store} = createStore();
		const held = await claim(store);
		const body = new Uint8Array(size).fill(7);
		await held.complete({...answer, body});
		const resent = await succeed(store.claim(request));
		expect(resent).toMatchObject({kind: 'answered', answer: {status: 201, headers: answer.headers}});
		expect(resent).toHaveProperty('answer.body.length', size);
	});

	// Guards against a lost answer, or a second execution, while the answer cannot be written.
	it('is written in the background while the store is down, and on shutdown', async () => {
		const {store, settler, faults} = createStore();
		const held = await claim(store);
		faults.push('unavailable');
		await held.complete(answer);
		expect(settler.pendingCount).toBe(1);
		expect(await extract(store.claim(request))).toMatchObject({code: 'in_progress', ran: 'unknown'});
		await settler[Symbol.asyncDispose]();
		expect(settler.pendingCount).toBe(0);
		expect(await extract(store.claim(request))).toMatchObject({kind: 'answered'});
	});

	// Guards against a burst of thousands of settlements after an outage, on a store that takes several hundred writes per second.
	it('is written in a round of at most 100', async () => {
		const {store, settler, faults} = createStore();
		const grants = [];
		for (let index = 0; index < 250; index += 1) {
			grants.push(await succeed(store.claim({...request, idempotencyKey: String(index)})));
		}

		faults.push(...Array.from({length: 250}, () => 'unavailable' as const));
		await Promise.all(grants.map(async grant => grant.kind === 'granted' ? grant.claim.complete(answer) : undefined));
		faults.length = 0;
		expect(settler.pendingCount).toBe(250);
		await settler.retryOnce();
		expect(settler.pendingCount).toBe(150);
	});

	it('is reported as run if its stored body cannot be read', async () => {
		const {store, objects, table} = createStore();
		const held = await claim(store);
		await held.complete({...answer, body: new Uint8Array(100_000)});
		const row = await succeed(table.get(toClaimKey(request)));
		const {answer: stored} = JSON.parse(row!.body) as {readonly answer: {readonly object: string}};
		await objects.delete(stored.object);
		expect(await extract(store.claim(request))).toMatchObject({code: 'answer_unavailable', ran: 'yes'});
	});
});

describe('a refused claim', () => {
	it('is reported as not run while the store is down, unless this daemon has dispatched the key', async () => {
		const {store, faults} = createStore();
		faults.push('unavailable');
		expect(await extract(store.claim(request))).toMatchObject({status: 503, code: 'claims_unavailable', ran: 'no'});
		await claim(store);
		faults.push('unavailable');
		expect(await extract(store.claim(request))).toMatchObject({code: 'claims_unavailable', ran: 'unknown'});
	});
});

describe('ClaimSweeper', () => {
	// Guards against rows that are never deleted and fill the table, and rows that are deleted too early, so that a booking runs twice.
	it('deletes only expired claims and their objects', async () => {
		const {store, table, objects} = createStore();
		const held = await claim(store);
		await held.complete({...answer, body: new Uint8Array(100_000)});
		const row = await succeed(table.get(toClaimKey(request)));
		const {answer: stored} = JSON.parse(row!.body) as {readonly answer: {readonly object: string}};
		let now = claimLifetimeMs;
		const sweeper = new ClaimSweeper({
			log, table, objects, isSweeper: () => true, now: () => now,
		});
		await sweeper.sweep();
		expect(await succeed(table.query('claim'))).toHaveLength(1);
		now = 2 * claimLifetimeMs;
		await sweeper.sweep();
		expect(await succeed(table.query('claim'))).toHaveLength(0);
		expect(await succeed(objects.get(stored.object))).toBeUndefined();
	});
});
