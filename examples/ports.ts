/** Conditional writes to the table and the object store, and a task that owns its state and receives messages. */
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {
	createLog, SystemClock, Task, type Log, type RowWrite,
} from '../src/index.ts';
import {MemoryObjectStore} from '../src/stand-ins/platform/memory-object-store.ts';
import {MemoryTable} from '../src/stand-ins/platform/memory-table.ts';

const key = {partition: 'example', sort: 'row'};
await using table = new MemoryTable();
const write: RowWrite = {
	kind: 'put', key, expected: 0, body: '{}',
};
const created = await table.write([write]);
const repeated = await table.write([write]);
const row = await table.get(key);
assert.ok(created.isRight());
assert.deepEqual(repeated.extract(), {kind: 'conflict', keys: [key]});
assert.equal(row.unsafeCoerce()?.revision, 1);

const objects = new MemoryObjectStore();
const first = await objects.put('example', Buffer.from('one'), 'absent');
const etag = first.unsafeCoerce();
const second = await objects.put('example', Buffer.from('two'), {etag});
const late = await objects.put('example', Buffer.from('three'), {etag});
assert.ok(second.isRight());
assert.deepEqual(late.extract(), {kind: 'conflict', name: 'example'});

const expectedTicks = 3;

class Counter extends Task<'tick'> {
	readonly #finished = Promise.withResolvers<number>();
	#count = 0;

	constructor(log: Log) {
		super(log);
		this.start({message: 'tick', intervalMs: 5});
	}

	get finished(): Promise<number> {
		return this.#finished.promise;
	}

	protected receive(): void {
		this.#count += 1;
		if (this.#count === expectedTicks) {
			this.#finished.resolve(this.#count);
		}
	}
}

const clock = new SystemClock();
const startedAt = clock.now();
await using counter = new Counter(createLog('error', 'hidden').child('counter'));
assert.equal(await counter.finished, expectedTicks);
assert.ok(clock.now() > startedAt);
console.log('Writes with a stale revision or ETag were rejected; the task handled its messages.');
