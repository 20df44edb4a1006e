import fc from 'fast-check';
import {
	beforeEach, describe, expect, it,
} from 'vitest';
import type {Table} from '../../src/ports/table.ts';
import {Administration} from '../../src/process/administration/administration.ts';
import type {Operator} from '../../src/process/administration/change-plans.ts';
import {ConfigurationWriter, type WriterGuards} from '../../src/process/administration/configuration-writer.ts';
import {hashKey} from '../../src/process/key-directory.ts';
import {MemoryObjectStore} from '../../src/stand-ins/platform/memory-object-store.ts';
import {MemoryTable} from '../../src/stand-ins/platform/memory-table.ts';
import {parseContract, type Contract} from '../../src/version/contract.ts';
import {extract, succeed} from '../either.ts';
import {FaultyTable, type CallFault} from '../fixtures/faulty-table.ts';

const operator: Operator = {name: 'ana', digest: hashKey('operator-key')};
const contractOf = (share: number): Contract =>
	parseContract(`[contract]\ncustomer = tuul\nshare = ${share}\n`, 'c.ini').unsafeCoerce();
let table: MemoryTable;
let administration: Administration;

async function createTable(): Promise<MemoryTable> {
	const created = new MemoryTable();
	await succeed(new Administration(created, new MemoryObjectStore()).createFirstOperator('ana', 'operator-key', 'first'));
	return created;
}

beforeEach(async () => {
	table = await createTable();
	administration = new Administration(table, new MemoryObjectStore());
});

describe('Administration', () => {
	it('writes contract, head, change and change id in one version', async () => {
		const committed = await succeed(administration.putContract(operator, contractOf(40), {baseVersion: 0, changeId: 'c1'}));
		expect(committed).toEqual({changeId: 'c1', version: 2});
		expect(await extract(administration.getContract('tuul'))).toMatchObject({version: 2, contract: {share: 40}});
		const changes = await succeed(table.query('change'));
		expect(changes.map(row => row.key.sort)).toEqual(['000000000001', '000000000002']);
	});

	// Guards against lost updates: of two operators who start from the same version, the second must not silently undo the change of the first.
	it('names the other change to the second of two conflicting operators', async () => {
		await succeed(administration.putContract(operator, contractOf(40), {baseVersion: 0, changeId: 'c1'}));
		await succeed(administration.putContract(operator, contractOf(41), {baseVersion: 2, changeId: 'c2'}));
		expect(await extract(administration.putContract(operator, contractOf(50), {baseVersion: 2, changeId: 'c3'}))).toEqual({
			kind: 'refused',
			message: 'change c2 by operator "ana" has put the contract at version 3; this change was made against version 2',
		});
	});

	it('writes nothing when a change id is reused', async () => {
		await succeed(administration.putContract(operator, contractOf(40), {baseVersion: 0, changeId: 'c1'}));
		expect(await succeed(administration.putContract(operator, contractOf(40), {baseVersion: 2, changeId: 'c1'})))
			.toEqual({changeId: 'c1', version: 2});
		expect(await succeed(table.query('change'))).toHaveLength(2);
	});

	it('stores keys as digests only', async () => {
		await succeed(administration.putContract(operator, contractOf(40), {baseVersion: 0, changeId: 'c1'}));
		await succeed(administration.putKey(operator, {kind: 'customer', customer: 'tuul', state: 'active'}, 'caller-key', 'k1'));
		const rows = [];
		for (const partition of ['key', 'change', 'contract', 'configuration', 'change-id']) {
			rows.push(...await succeed(table.query(partition)));
		}

		expect(JSON.stringify(rows)).not.toMatch(/caller-key|operator-key/v);
		expect(JSON.stringify(rows)).toContain(hashKey('caller-key'));
	});

	it.each([
		['an unknown operator', 'the operator key is not known or was revoked', async () =>
			administration.putContract({name: 'eve', digest: hashKey('eve')}, contractOf(1), {baseVersion: 0, changeId: 'x'})],
		['a second first operator', 'there is an operator key already', async () =>
			administration.createFirstOperator('eve', 'other', 'x')],
		['the revocation of the last operator key', 'this is the last active operator key', async () =>
			administration.revokeKey(operator, operator.digest, 'x')],
		['a key of a customer without a contract', 'customer "nobody" has no contract', async () =>
			administration.putKey(operator, {kind: 'customer', customer: 'nobody', state: 'active'}, 'k', 'x')],
	])('refuses %s', async (_, message, run) => {
		const result = await run();
		expect(result.extract()).toEqual({kind: 'refused', message});
	});

	// Change rows that are never deleted fill the table; rows that are deleted too early force every daemon to read the whole configuration.
	it('keeps the last thousand changes below a snapshot', async () => {
		const objects = new MemoryObjectStore();
		const owner = new Administration(table, objects);
		let base = 0;
		for (let count = 2; count <= 1200; count += 1) {
			const {version} = await succeed(owner.putContract(operator, contractOf(count), {baseVersion: base, changeId: `c${count}`}));
			base = version;
		}

		const changes = await succeed(table.query('change'));
		expect(changes[0]?.key.sort).toBe('000000000201');
		expect(changes).toHaveLength(1000);
		expect(await succeed(table.query('change-id'))).toHaveLength(1000);
		expect(await succeed(objects.get('snapshot/000000001200'))).toBeDefined();
	});

	it('refuses a revoked operator', async () => {
		await succeed(administration.putKey(operator, {kind: 'operator', name: 'ben', state: 'active'}, 'ben', 'k1'));
		await succeed(administration.revokeKey(operator, hashKey('ben'), 'k2'));
		const ben = {name: 'ben', digest: hashKey('ben')};
		expect(await extract(administration.putContract(ben, contractOf(1), {baseVersion: 0, changeId: 'x'}))).toMatchObject({kind: 'refused'});
	});
});

/** Runs two concurrent writes of a contract under a schedule of faults; returns the result of each and the change ids in the table. */
async function runPuts(faults: readonly CallFault[], createWriter: (table: Table) => ConfigurationWriter) {
	const inner = await createTable();
	const schedule = [...faults];
	const faulty = new FaultyTable(inner, call => {
		const fault = schedule.shift() ?? 'none';
		return call === 'read' && fault !== 'unavailable' ? 'none' : fault;
	});
	const writer = createWriter(faulty);
	const run = async (changeId: string, share: number) =>
		new Administration(faulty, new MemoryObjectStore(), writer).putContract(operator, contractOf(share), {baseVersion: 0, changeId});
	const results = await Promise.all([run('c1', 40), run('c2', 50)]);
	await faulty.deliverDelayedWrites();
	const changes = await succeed(inner.query('change'));
	const written = changes.map(row => (JSON.parse(row.body) as {readonly changeId: string}).changeId);
	return {results, written};
}

describe('ConfigurationWriter under faults', () => {
	const fault = fc.constantFrom<CallFault>('none', 'none', 'unavailable', 'lost-before', 'lost-after', 'late');

	async function checkSchedules(guards: WriterGuards): Promise<void> {
		await fc.assert(fc.asyncProperty(fc.array(fault, {maxLength: 24}), async faults => {
			const {results, written} = await runPuts(faults, inner => new ConfigurationWriter(inner, {wait: async () => undefined, guards}));
			expect(new Set(written).size).toBe(written.length);
			for (const [index, changeId] of ['c1', 'c2'].entries()) {
				const result = results[index]!;
				const kind = result.isRight() ? 'made' : (result.extract() as {readonly kind: string}).kind;
				if (kind !== 'unknown') {
					expect(written.includes(changeId)).toBe(kind === 'made');
				}
			}
		}), {numRuns: 300, seed: 7});
	}

	// Guards against a command that, after a lost answer, writes its change twice or reports a written change as refused.
	it('writes each change at most once and reports it truthfully', async () => {
		await checkSchedules({readsBackByChangeId: true});
	});

	// Shows that the schedules above detect a writer without the guard.
	it('fails without the guard readsBackByChangeId', async () => {
		await expect(checkSchedules({readsBackByChangeId: false})).rejects.toThrow('Property failed');
	});
});
