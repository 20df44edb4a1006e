import type {ObjectStore} from '../ports/object-store.ts';
import type {Table} from '../ports/table.ts';
import {Administration} from '../process/administration/administration.ts';
import {hashKey} from '../process/key-directory.ts';
import {parseContract, type Contract} from '../version/contract.ts';

/** A customer with its key, as a test or the demo needs it. */
export type CustomerSeed = {
	readonly customer: string;
	readonly key: string;
	/** Contract file text in place of a plain contract with share 1. */
	readonly contract?: string;
};

/** Operator key of a seeded platform. */
export const seedOperatorKey = 'operator-key';

/** Puts an operator, contracts and keys in force on an empty platform, as an operator would; rejects on any failure. */
export async function seedConfiguration(table: Table, objects: ObjectStore, seeds: readonly CustomerSeed[]): Promise<void> {
	const administration = new Administration(table, objects);
	const operator = {name: 'seed', digest: hashKey(seedOperatorKey)};
	const first = await administration.createFirstOperator(operator.name, seedOperatorKey, 'seed');
	first.unsafeCoerce();
	for (const {customer, key, contract = `[contract]\ncustomer = ${customer}\nshare = 1\n`} of seeds) {
		const parsed: Contract = parseContract(contract, customer).unsafeCoerce();
		const put = await administration.putContract(operator, parsed, {base: 0, changeId: `contract ${customer}`});
		put.unsafeCoerce();
		const made = await administration.putKey(operator, {kind: 'customer', customer, state: 'active'}, key, `key ${customer}`);
		made.unsafeCoerce();
	}
}
