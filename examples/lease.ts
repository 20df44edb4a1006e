/** Two candidates compete for one lease: when the first stops renewing it, the second takes over with a higher fencing number. */
import assert from 'node:assert/strict';
import {randomUUID} from 'node:crypto';
import {setImmediate as settle} from 'node:timers/promises';
import {
	LeaseClient, allLeaseGuards, defaultLeaseTimes, ManualClock,
} from '../src/index.ts';
import {MemoryTable} from '../src/stand-ins/platform/memory-table.ts';

const tickMs = 250;
const clock = new ManualClock();
await using table = new MemoryTable();

function createCandidate(daemon: string): LeaseClient {
	const client: LeaseClient = new LeaseClient({
		table, clock, daemon, group: 'press@zone-a', times: defaultLeaseTimes, guards: allLeaseGuards,
		post(event) {
			client.handle(event);
		},
	});
	client.handle({kind: 'candidacy', isCandidate: true});
	return client;
}

async function run(milliseconds: number, ...candidates: readonly LeaseClient[]): Promise<void> {
	for (let passed = 0; passed < milliseconds; passed += tickMs) {
		clock.advance(tickMs);
		for (const candidate of candidates) {
			candidate.handle({kind: 'tick', token: randomUUID()});
			await settle();
		}
	}
}

/** Returns the fencing number of each candidate's lease, or undefined if it holds none. */
function fencingNumbers(...candidates: readonly LeaseClient[]): ReadonlyArray<number | undefined> {
	return candidates.map(({held}) => held?.fencing);
}

const first = createCandidate('a1');
const second = createCandidate('a2');
await run(10_000, first, second);
assert.deepEqual(fencingNumbers(first, second), [1, undefined]);

await run(defaultLeaseTimes.durationMs + defaultLeaseTimes.renewalMs + 1000, second);
assert.deepEqual(fencingNumbers(first, second), [undefined, 2]);
console.log('a2 took over the lease; the fencing number rose from 1 to 2.');
