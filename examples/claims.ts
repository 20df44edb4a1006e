/** Two daemons compete for one claim: one is granted it and dispatches the request; the other is refused, and a later retry gets the stored answer. */
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {
	ClaimSettler, createLog, RecentDispatches, DispatchLookup, ManualClock, PlatformClaimStore, singleWrites, WriteBatcher,
} from '../src/index.ts';
import {MemoryObjectStore} from '../src/stand-ins/platform/memory-object-store.ts';
import {MemoryTable} from '../src/stand-ins/platform/memory-table.ts';

/** Looks up dispatches of the other daemon in memory; a real program uses its own transport. */
class OtherDaemon extends DispatchLookup {
	readonly #record: RecentDispatches;

	constructor(record: RecentDispatches) {
		super();
		this.#record = record;
	}

	async mayHaveDispatched(name: string): Promise<boolean> {
		return this.#record.mayContain(name);
	}
}

const clock = new ManualClock();
const objects = new MemoryObjectStore();
await using table = new MemoryTable();
const batcher = new WriteBatcher(table, singleWrites);
await using settler = new ClaimSettler({
	log: createLog('error', 'hidden'), table, objects, batcher,
});

function createStore(daemon: string, dispatches: RecentDispatches, other: RecentDispatches): PlatformClaimStore {
	return new PlatformClaimStore({
		table, objects, batcher, settler, daemon, isLive: () => true, now: () => clock.now(), dispatches, dispatchLookup: new OtherDaemon(other),
	});
}

const request = {customer: 'tuul', idempotencyKey: 'booking-1', digest: 'sha-256 of the request'};
const records = [new RecentDispatches(), new RecentDispatches()] as const;
const a1 = createStore('a1', records[0], records[1]);
const a2 = createStore('a2', records[1], records[0]);
const results = await Promise.all([a1.claim(request), a2.claim(request)]);
const grants = results.flatMap(result => result.toMaybe().toList());
const refusals = results.filter(result => result.isLeft()).map(result => result.extract());
assert.equal(grants.length, 1);
assert.partialDeepStrictEqual(refusals, [{status: 409, code: 'in_progress', ran: 'unknown'}]);

const [grant] = grants;
assert.ok(grant?.kind === 'granted');
await grant.claim.complete({status: 201, headers: {}, body: Buffer.from('booked')});

const retryResult = await a2.claim(request);
const retry = retryResult.unsafeCoerce();
assert.ok(retry.kind === 'answered');
assert.equal(Buffer.from(retry.answer.body).toString(), 'booked');
const other = await a2.claim({...request, digest: 'another request'});
assert.partialDeepStrictEqual(other.extract(), {status: 422});
console.log('One daemon was granted the claim; the retry got the stored answer.');
