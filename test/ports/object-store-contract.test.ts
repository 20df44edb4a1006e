import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {HttpObjectStore, type ObjectStore} from '../../src/ports/object-store.ts';
import {MemoryObjectStore} from '../../src/stand-ins/platform/memory-object-store.ts';
import {PlatformServer} from '../../src/stand-ins/platform/platform-server.ts';
import {extract, succeed} from '../either.ts';

const implementations = [
	{name: 'MemoryObjectStore', create: () => new MemoryObjectStore()},
	{name: 'HttpObjectStore', create: (base: string) => new HttpObjectStore(base, 250)},
];
const text = (content: string) => new TextEncoder().encode(content);
let platform: PlatformServer;
let url: string;

beforeEach(async () => {
	platform = new PlatformServer();
	const {port} = await platform.listen({host: '127.0.0.1', port: 0});
	url = `http://127.0.0.1:${port}`;
});

afterEach(async () => {
	await platform[Symbol.asyncDispose]();
});

describe.each(implementations)('$name', ({create}) => {
	let store: ObjectStore;

	beforeEach(() => {
		store = create(url);
	});

	it('returns an object written under a name with separators', async () => {
		const etag = await succeed(store.put('answer/tuul press/ä', text('one')));
		const object = await succeed(store.get('answer/tuul press/ä'));
		expect(object?.etag).toBe(etag);
		expect(new TextDecoder().decode(object?.body)).toBe('one');
	});

	it('refuses a write whose condition fails, so that no newer object is replaced', async () => {
		const etag = await succeed(store.put('a', text('one'), 'absent'));
		expect(await extract(store.put('a', text('two'), 'absent'))).toEqual({kind: 'conflict', name: 'a'});
		await store.put('a', text('three'), {etag});
		expect(await extract(store.put('a', text('four'), {etag}))).toEqual({kind: 'conflict', name: 'a'});
	});

	it('deletes an object, and succeeds if it does not exist', async () => {
		await store.put('a', text('one'));
		await store.delete('a');
		expect(await extract(store.delete('a'))).toBeUndefined();
		expect(await extract(store.get('a'))).toBeUndefined();
	});
});

describe('HttpObjectStore under faults', () => {
	it('reports unknown when the connection breaks and unavailable when the connection is refused', async () => {
		const store = new HttpObjectStore(url, 250);
		platform.setFaults({objectsDown: true});
		expect(await extract(store.put('a', text('one')))).toMatchObject({kind: 'unknown'});
		await platform[Symbol.asyncDispose]();
		expect(await extract(store.put('a', text('one')))).toMatchObject({kind: 'unavailable'});
	});
});
