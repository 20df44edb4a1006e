import {randomBytes} from 'node:crypto';
import {EitherAsync, type Either} from 'purify-ts';
import type {ObjectStore} from '../../ports/object-store.ts';
import type {Row, Table} from '../../ports/table.ts';
import {
	parseEntry, parseKeyHolder, type ConfigurationEntry, type KeyHolder,
} from '../../version/configuration.ts';
import type {Contract} from '../../version/contract.ts';
import {hashKey} from '../key-directory.ts';
import {
	planContractChange, planFirstOperator, planKeyChange, planKeyRevocation, type Operator,
} from './change-plans.ts';
import {
	ConfigurationWriter, toReadFailure, type ChangeAuthor, type ChangeFailure, type ChangePlan, type CommittedChange,
} from './configuration-writer.ts';
import {writeSnapshot} from './snapshot-writer.ts';

/** A contract with the configuration version in which it was last written. */
export type StoredContract = {readonly version: number; readonly contract: Contract};

/** Digest and holder of a key, with the configuration version in which the key was last written. */
export type StoredKey = {readonly version: number; readonly digest: string; readonly holder: KeyHolder};

/** A key that was created. Only this result contains the key itself; the configuration stores its digest. */
export type CreatedKey = CommittedChange & {readonly key: string; readonly digest: string};

const keyBytes = 32;
const allRows = {limit: Number.POSITIVE_INFINITY};

/** Creates a random key of 32 bytes, encoded as base64url, with the prefix `wt-`. */
export function createKey(): string {
	return `wt-${randomBytes(keyBytes).toString('base64url')}`;
}

/** Changes that operators make to contracts and keys. */
export class Administration {
	readonly #table: Table;
	readonly #objects: ObjectStore;
	readonly #writer: ConfigurationWriter;

	constructor(table: Table, objects: ObjectStore, writer = new ConfigurationWriter(table)) {
		this.#table = table;
		this.#objects = objects;
		this.#writer = writer;
	}

	/** Writes a contract; `baseVersion` is the version that the operator has seen, 0 for a new contract. Refused if the contract has changed since. */
	async putContract(
		operator: Operator,
		contract: Contract,
		change: {readonly baseVersion: number; readonly changeId: string},
	): Promise<Either<ChangeFailure, CommittedChange>> {
		return this.#apply(operator.name, change.changeId, planContractChange(this.#table, operator, contract, change.baseVersion));
	}

	/** Stores the digest of a key with its holder, so that the key is accepted. */
	async putKey(operator: Operator, holder: KeyHolder, key: string, changeId: string): Promise<Either<ChangeFailure, CreatedKey>> {
		const digest = hashKey(key);
		const committed = await this.#apply(operator.name, changeId, planKeyChange(this.#table, operator, digest, holder));
		return committed.map(change => ({...change, key, digest}));
	}

	/** Revokes a key by its digest. */
	async revokeKey(operator: Operator, digest: string, changeId: string): Promise<Either<ChangeFailure, CommittedChange>> {
		return this.#apply(operator.name, changeId, planKeyRevocation(this.#table, operator, digest));
	}

	/** Stores the digest of the first operator key, so that the key is accepted; refused when there is an active operator key. */
	async createFirstOperator(name: string, key: string, changeId: string): Promise<Either<ChangeFailure, CreatedKey>> {
		const digest = hashKey(key);
		const committed = await this.#apply(name, changeId, planFirstOperator(this.#table, digest, name));
		return committed.map(change => ({...change, key, digest}));
	}

	/** Reads one contract; `undefined` when it is absent. */
	async getContract(customer: string): Promise<Either<ChangeFailure, StoredContract | undefined>> {
		const row = await this.#table.get({partition: 'contract', sort: customer});
		return row.mapLeft(failure => toReadFailure(failure))
			.map(found => (found === undefined ? undefined : toStoredContract(found)));
	}

	/** Reads all contracts, ordered by customer. */
	async listContracts(): Promise<Either<ChangeFailure, readonly StoredContract[]>> {
		const rows = await this.#table.query('contract', allRows);
		return rows.mapLeft(failure => toReadFailure(failure)).map(found => found.map(row => toStoredContract(row)));
	}

	/** Reads all keys, ordered by digest. */
	async listKeys(): Promise<Either<ChangeFailure, readonly StoredKey[]>> {
		const rows = await this.#table.query('key', allRows);
		return rows.mapLeft(failure => toReadFailure(failure)).map(found => found.map(row => {
			const {version, name, body} = parseEntry(row.body);
			return {version, digest: name, holder: parseKeyHolder(body)};
		}));
	}

	async #apply(operator: string, changeId: string, plan: ChangePlan): Promise<Either<ChangeFailure, CommittedChange>> {
		const author: ChangeAuthor = {operator, changeId};
		return EitherAsync<ChangeFailure, CommittedChange>(async ({fromPromise}) => {
			const committed = await fromPromise(this.#writer.apply(author, plan));
			// A failure is ignored: without the snapshot, a new daemon only needs more reads.
			await writeSnapshot(this.#table, this.#objects, committed.version);
			return committed;
		}).run();
	}
}

function toStoredContract(row: Row): StoredContract {
	const entry: ConfigurationEntry = parseEntry(row.body);
	return {version: entry.version, contract: JSON.parse(entry.body) as Contract};
}
