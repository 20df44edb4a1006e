import {describe, expect, test} from 'vitest';
import {fetchSharedRows} from '../../src/connection/row-exchange.ts';
import {createGuardedAgent} from '../../src/connection/guarded-agent.ts';
import {probeUpstream} from '../../src/connection/probe.ts';
import {HttpEngine} from '../../src/ports/engine.ts';
import {HttpHostList} from '../../src/ports/host-list.ts';
import {HttpObjectStore} from '../../src/ports/object-store.ts';
import {createLog} from '../../src/process/create-log.ts';
import {SystemClock} from '../../src/process/clock.ts';
import {LoadPoller} from '../../src/process/load/load-poller.ts';
import {LoadTable} from '../../src/process/load/load-table.ts';
import {SeededRandom} from '../../src/process/random.ts';
import {createEndlessAnswers, createEndlessBodies, writeEndlessly} from '../fixtures/endless-answers.ts';
import {createRawUpstream} from '../request/upstream-fixture.ts';

/** Time by which a reader must have closed the connection, in milliseconds; the shortest timeout of a reader is 500 ms. */
const closedBoundMs = 1500;
/** Bytes that the other end may have sent by then; the largest limit is 16 MiB, and socket buffers hold several more. */
const sentBoundBytes = 48 * 1024 * 1024;

const answers = [...createEndlessAnswers(''), ...createEndlessBodies('')].filter(({name}) => /small|trailers|one byte|without a length/v.test(name));

/** Reads from an address; resolves when the reader has given up. */
type Reader = (address: string) => Promise<unknown>;

async function pollLoad(address: string): Promise<void> {
	const loads = new LoadTable({availabilityZone: 'zone-a', random: new SeededRandom(1)});
	const dispatcher = createGuardedAgent();
	await using poller = new LoadPoller({
		log: createLog('error', 'hidden'), clock: new SystemClock(), dispatcher, loads, upstreams: () => [{
			kind: 'engine', id: 'u', address, availabilityZone: 'zone-a', state: 'live', serves: 'm', enforcesFencing: true,
		}],
	});
	poller.run();
	await new Promise(resolve => {
		setTimeout(resolve, 500);
	});
	await dispatcher.destroy();
}

const readers: ReadonlyArray<readonly [string, Reader]> = [
	['the state of an engine', async address => new HttpEngine().readState(address)],
	['the load report of an engine', pollLoad],
	['a probe', async address => probeUpstream(`http://${address}`)],
	['the host list', async address => new HttpHostList(`http://${address}/hosts`).read()],
	['the object store', async address => new HttpObjectStore(`http://${address}`).get('name')],
	['rows of another daemon', async address => fetchSharedRows(address, 'table', undefined)],
];

// Guards against a reader that keeps what the other end sends until its timeout, however much that is.
describe.each(readers)('an answer without end to %s', (_, read) => {
	test.each(answers)('is given up within a bound of bytes and time: $name', async answer => {
		const closed = Promise.withResolvers<number>();
		await using server = await createRawUpstream('endless', async socket => {
			closed.resolve(await writeEndlessly(socket, answer));
		});
		const startedAt = performance.now();
		await read(server.host.address);
		expect(await closed.promise).toBeLessThan(sentBoundBytes);
		expect(performance.now() - startedAt).toBeLessThan(closedBoundMs);
	});
});
