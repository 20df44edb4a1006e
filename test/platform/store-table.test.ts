import {describe, expect, test} from 'vitest';
import {StoreTable} from '../../platform/store-table.ts';
import {StoreServer} from '../fixtures/fleet/store-server.ts';

const key = {partition: 'lease', sort: 'stages'};

async function start(): Promise<StoreServer> {
	const store = new StoreServer();
	await store.start();
	return store;
}

describe('table in the platform\'s store', () => {
	test('writes only when the row is unchanged since it was read', async () => {
		await using store = await start();
		await using first = new StoreTable(store.address);
		await using second = new StoreTable(store.address);
		const written = await first.write([{
			kind: 'put', key, expected: 0, body: 'one',
		}]);
		expect(written.isRight()).toBe(true);
		const late = await second.write([{
			kind: 'put', key, expected: 0, body: 'two',
		}]);
		expect(late.swap().extract()).toMatchObject({kind: 'conflict'});
		const read = await second.get(key);
		expect(read.extract()).toEqual({key, revision: 1, body: 'one'});
		const next = await second.write([{
			kind: 'put', key, expected: 1, body: 'two',
		}]);
		expect(next.isRight()).toBe(true);
		const stale = await first.write([{
			kind: 'put', key, expected: 1, body: 'three',
		}]);
		expect(stale.swap().extract()).toMatchObject({kind: 'conflict'});
	});

	test('does not mistake a transaction on another row for a change of this one', async () => {
		await using store = await start();
		await using table = new StoreTable(store.address);
		await table.write([{
			kind: 'put', key, expected: 0, body: 'one',
		}]);
		await table.write([{
			kind: 'put', key: {partition: 'daemons', sort: 'a'}, expected: 0, body: 'x',
		}]);
		const written = await table.write([{
			kind: 'put', key, expected: 1, body: 'two',
		}]);
		expect(written.isRight()).toBe(true);
	});

	test('reports the outcome of a write whose answer was lost as unknown', async () => {
		await using store = await start();
		await using table = new StoreTable(store.address);
		store.faults.losesAnswers = true;
		const lost = await table.write([{
			kind: 'put', key, expected: 0, body: 'one',
		}]);
		expect(lost.swap().extract()).toMatchObject({kind: 'unknown'});
		store.faults.losesAnswers = false;
		const read = await table.get(key);
		expect(read.extract()).toMatchObject({body: 'one'});
	});

	test.each([[503, 'unavailable'], [429, 'unavailable']])('treats status %i as a write that was not applied', async (status, kind) => {
		await using store = await start();
		await using table = new StoreTable(store.address);
		store.faults.status = status;
		const refused = await table.write([{
			kind: 'put', key, expected: 0, body: 'one',
		}]);
		expect(refused.swap().extract()).toMatchObject({kind});
		const read = await table.get(key);
		expect(read.isLeft()).toBe(true);
	});

	test('closes a silent connection and opens a new one', async () => {
		await using store = await start();
		await using table = new StoreTable(store.address);
		store.faults.isSilent = true;
		const silent = await table.get(key);
		expect(silent.isLeft()).toBe(true);
		store.faults.isSilent = false;
		const read = await table.get(key);
		expect(read.isRight()).toBe(true);
	});

	// Guards against a condition that fits again because a row version was given out again to another content.
	test('does not report a write as applied whose condition fit the row of another epoch', async () => {
		await using store = await start();
		await using first = new StoreTable(store.address);
		await using second = new StoreTable(store.address);
		const copy = store.takeCopy();
		await first.write([{
			kind: 'put', key, expected: 0, body: 'one',
		}]);
		store.restore(copy);
		await second.write([{
			kind: 'put', key, expected: 0, body: 'other',
		}]);
		const late = await first.write([{
			kind: 'put', key, expected: 1, body: 'two',
		}]);
		expect(late.swap().extract()).toMatchObject({kind: 'unknown'});
		const read = await first.get(key);
		const revision = read.map(row => row?.revision).extract();
		expect(revision).not.toBe(2);
		const next = await first.write([{
			kind: 'put', key, expected: Number(revision), body: 'three',
		}]);
		expect(next.isRight()).toBe(true);
		expect(store.read('wagtailtack', key.partition, key.sort)).toBe('{"revision":3,"body":"three"}');
	});

	test('does not overwrite a row that was written with knowledge of a restore, also if the row version fits', async () => {
		await using store = await start();
		await using first = new StoreTable(store.address);
		await using second = new StoreTable(store.address);
		const copy = store.takeCopy();
		await first.get(key);
		await first.write([{
			kind: 'put', key, expected: 0, body: 'one',
		}]);
		store.restore(copy);
		await second.get(key);
		await second.write([{
			kind: 'put', key, expected: 0, body: 'other',
		}]);
		const late = await first.write([{
			kind: 'put', key, expected: 1, body: 'two',
		}]);
		expect(late.swap().extract()).toMatchObject({kind: 'conflict'});
		const read = await first.get(key);
		expect(read.extract()).toMatchObject({body: 'other'});
		const rows = await first.query(key.partition);
		expect(rows.map(found => found.length).extract()).toBe(1);
	});

	test('refuses a condition from before a restore that it knows of without a call', async () => {
		await using store = await start();
		await using table = new StoreTable(store.address);
		await table.write([{
			kind: 'put', key, expected: 0, body: 'one',
		}]);
		store.restore(store.takeCopy());
		await table.get({partition: 'daemons', sort: 'a'});
		const calls = store.calls.length;
		const stale = await table.write([{
			kind: 'put', key, expected: 1, body: 'two',
		}]);
		expect(stale.swap().extract()).toMatchObject({kind: 'conflict'});
		expect(store.calls.length).toBe(calls);
	});
});
