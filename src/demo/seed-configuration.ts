import type {ObjectStore} from '../ports/object-store.ts';
import type {Table} from '../ports/table.ts';
import {Administration} from '../process/administration/administration.ts';
import {hashKey} from '../process/key-directory.ts';
import {parseContract, type Contract} from '../version/contract.ts';

/** A customer with its API key. */
export type CustomerSeed = {
	readonly customer: string;
	readonly key: string;
	/** Contract file text. @default a contract with share 1 */
	readonly contract?: string;
};

/** Key of the operator that `seedConfiguration` creates. */
export const seedOperatorKey = 'operator-key';

/** Creates an operator, contracts and keys on an empty platform, with the same calls as an operator; rejects on any failure. */
export async function seedConfiguration(table: Table, objects: ObjectStore, seeds: readonly CustomerSeed[]): Promise<void> {
	const administration = new Administration(table, objects);
	const operator = {name: 'seed', digest: hashKey(seedOperatorKey)};
	const operatorResult = await administration.createFirstOperator(operator.name, seedOperatorKey, 'seed');
	operatorResult.unsafeCoerce();
	for (const {customer, key, contract = `[contract]\ncustomer = ${customer}\nshare = 1\n`} of seeds) {
		const parsed: Contract = parseContract(contract, customer).unsafeCoerce();
		const contractResult = await administration.putContract(operator, parsed, {baseVersion: 0, changeId: `contract ${customer}`});
		contractResult.unsafeCoerce();
		const keyResult = await administration.putKey(operator, {kind: 'customer', customer, state: 'active'}, key, `key ${customer}`);
		keyResult.unsafeCoerce();
	}
}
