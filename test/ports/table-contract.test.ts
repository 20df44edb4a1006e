import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {request} from 'undici';
import {DynamoTable} from '../../src/ports/dynamo-table.ts';
import type {
	RowKey, RowWrite, StoreFailure, Table,
} from '../../src/ports/table.ts';
import {MemoryTable} from '../../src/stand-ins/platform/memory-table.ts';
import {PlatformServer, type PlatformFaults} from '../../src/stand-ins/platform/platform-server.ts';
import {extract, succeed} from '../either.ts';

const loopback = {host: '127.0.0.1', port: 0};
const key = (sort: string): RowKey => ({partition: 'part', sort});
const put = (sort: string, expected: number, body = '{}'): RowWrite => ({
	kind: 'put', key: key(sort), expected, body,
});

const implementations = [
	{name: 'MemoryTable', create: () => new MemoryTable()},
	{name: 'DynamoTable', create: (endpoint: string) => new DynamoTable({endpoint, tableName: 'test', timeoutMs: 250})},
];

let platform: PlatformServer;
let endpoint: string;

beforeEach(async () => {
	platform = new PlatformServer();
	const {port} = await platform.listen(loopback);
	endpoint = `http://127.0.0.1:${port}`;
});

afterEach(async () => {
	await platform[Symbol.asyncDispose]();
});

describe.each(implementations)('$name', ({create}) => {
	let table: Table;

	beforeEach(() => {
		table = create(endpoint);
	});

	afterEach(async () => {
		await table[Symbol.asyncDispose]();
	});

	// Guards against a table that applies a write whose condition fails, or that reports the wrong kind of failure.
	const cases: ReadonlyArray<{
		readonly name: string;
		readonly before: readonly RowWrite[];
		readonly writes: readonly RowWrite[];
		readonly failure?: Partial<StoreFailure>;
	}> = [
		{name: 'creates an absent row', before: [], writes: [put('a', 0)]},
		{name: 'replaces at the revision read', before: [put('a', 0)], writes: [put('a', 1)]},
		{
			name: 'refuses to create a row that exists', before: [put('a', 0)], writes: [put('a', 0)], failure: {kind: 'conflict', keys: [key('a')]},
		},
		{
			name: 'refuses an outdated revision', before: [put('a', 0), put('a', 1)], writes: [put('a', 1)], failure: {kind: 'conflict', keys: [key('a')]},
		},
		{
			name: 'applies no write when one of them conflicts', before: [put('a', 0)], writes: [put('b', 0), put('a', 0), put('c', 0)], failure: {kind: 'conflict', keys: [key('a')]},
		},
		{
			name: 'names each conflicting row', before: [put('a', 0), put('b', 0)], writes: [put('a', 0), put('b', 5), put('c', 0)], failure: {kind: 'conflict', keys: [key('a'), key('b')]},
		},
		{name: 'checks a row without writing it', before: [put('a', 0)], writes: [{kind: 'check', key: key('a'), expected: 1}, put('b', 0)]},
		{
			name: 'refuses on a failed check', before: [], writes: [{kind: 'check', key: key('a'), expected: 1}, put('b', 0)], failure: {kind: 'conflict', keys: [key('a')]},
		},
		{name: 'deletes at the revision read', before: [put('a', 0)], writes: [{kind: 'delete', key: key('a'), expected: 1}]},
		{
			name: 'refuses two writes to one row', before: [], writes: [put('a', 0), put('a', 0)], failure: {kind: 'unavailable'},
		},
		{
			name: 'refuses more than 100 rows', before: [], writes: Array.from({length: 101}, (_, index) => put(String(index), 0)), failure: {kind: 'unavailable'},
		},
	];

	it.each(cases)('$name', async ({before, writes, failure}) => {
		for (const write of before) {
			expect(await extract(table.write([write]))).toBeUndefined();
		}

		const rowsBefore = await table.query('part');
		const result = await table.write(writes);
		if (failure === undefined) {
			expect(result.isRight()).toBe(true);
		} else {
			expect(result.extract()).toMatchObject(failure);
			expect(await table.query('part')).toEqual(rowsBefore);
		}
	});

	it('reads a row with its revision, and an absent one as undefined', async () => {
		await table.write([put('a', 0, '{"n":1}')]);
		expect(await extract(table.get(key('a')))).toEqual({key: key('a'), revision: 1, body: '{"n":1}'});
		expect(await extract(table.get(key('b')))).toBeUndefined();
	});

	it('reads a partition in order, after a key and up to a limit', async () => {
		await table.write(['c', 'a', 'd', 'b'].map(sort => put(sort, 0)));
		const rows = await table.query('part', {after: 'a', limit: 2});
		expect(rows.unsafeCoerce().map(row => row.key.sort)).toEqual(['b', 'c']);
	});
});

describe('DynamoTable under faults', () => {
	// `unavailable` guarantees that nothing was applied. If it is reported after a write was applied, a retry applies the write twice.
	const faults: ReadonlyArray<{
		readonly name: string;
		readonly faults: Partial<PlatformFaults>;
		readonly kind: StoreFailure['kind'];
		readonly applied: boolean;
	}> = [
		{
			name: 'throttled', faults: {writesPerSecond: 0.5}, kind: 'unavailable', applied: false,
		},
		{
			name: 'down', faults: {down: true}, kind: 'unknown', applied: false,
		},
		{
			name: 'answer lost', faults: {loseWriteAnswers: true}, kind: 'unknown', applied: true,
		},
		{
			name: 'one answer lost', faults: {loseNextWriteAnswers: 1}, kind: 'unknown', applied: true,
		},
		{
			name: 'internal error', faults: {failWrites: true}, kind: 'unknown', applied: false,
		},
		{
			name: 'slower than the time limit', faults: {slowWritesMs: 400}, kind: 'unknown', applied: true,
		},
	];

	it.each(faults)('reports $kind when $name', async ({faults: set, kind, applied}) => {
		await using table = new DynamoTable({endpoint, tableName: 'test', timeoutMs: 250});
		await request(`${endpoint}/faults`, {method: 'PUT', body: JSON.stringify(set)});
		const result = await table.write([put('a', 0)]);
		expect(result.extract()).toMatchObject({kind});
		await expect.poll(async () => await extract(platform.table.get(key('a'))) !== undefined).toBe(applied);
	});

	it('reports unavailable when the connection is refused', async () => {
		await platform[Symbol.asyncDispose]();
		await using table = new DynamoTable({endpoint, tableName: 'test'});
		expect(await extract(table.write([put('a', 0)]))).toMatchObject({kind: 'unavailable'});
	});

	it('reads all pages of a query, so that a full page is not mistaken for the last one', async () => {
		await using table = new DynamoTable({endpoint, tableName: 'test'});
		await table.write(['a', 'b', 'c', 'd', 'e'].map(sort => put(sort, 0)));
		platform.setFaults({pageRows: 2});
		expect(await succeed(table.query('part'))).toHaveLength(5);
		expect(await succeed(table.query('part', {limit: 3}))).toHaveLength(3);
	});

	it('throttles reads and counts calls', async () => {
		await using table = new DynamoTable({endpoint, tableName: 'test'});
		platform.setFaults({readsPerSecond: 1});
		await table.get(key('a'));
		expect(await extract(table.get(key('a')))).toMatchObject({kind: 'unavailable'});
		const counters = await request(`${endpoint}/counters`);
		expect(await counters.body.json()).toMatchObject({reads: 1, writes: 0, throttled: 1});
	});
});
