import {
	EitherAsync, Left, Right, type Either,
} from 'purify-ts';
import type {Row, RowKey, Table} from '../../ports/table.ts';
import {parseEntry, parseKeyHolder, type KeyHolder} from '../../version/configuration.ts';
import type {Contract} from '../../version/contract.ts';
import {
	toReadFailure, type ChangeFailure, type ChangePlan, type PlannedChange,
} from './configuration-writer.ts';

/** An operator, identified by an active key. */
export type Operator = {
	readonly name: string;
	/** Digest of the operator's key. */
	readonly digest: string;
};

type Check = Pick<Row, 'key' | 'revision'>;

/** Finds the operator by the digest of the key; refuses an unknown or revoked key. */
export async function authenticate(
	table: Table,
	digest: string,
): Promise<Either<ChangeFailure, {readonly operator: Operator; readonly check: Check}>> {
	const row = await readRow(table, {partition: 'key', sort: digest});
	return row.chain(found => {
		const holder = found === undefined ? undefined : toHolder(found);
		return found !== undefined && holder?.kind === 'operator' && holder.state === 'active'
			? Right({operator: {name: holder.name, digest}, check: found})
			: refuse('the operator key is not known or was revoked');
	});
}

/** Plans a new version of a contract; refuses when the contract is no longer at the version that the operator has seen. */
export function planContractChange(table: Table, operator: Operator, contract: Contract, base: number): ChangePlan {
	return async () => EitherAsync<ChangeFailure, PlannedChange>(async ({fromPromise, liftEither}) => {
		const {check} = await fromPromise(authenticate(table, operator.digest));
		const current = await fromPromise(readRow(table, {partition: 'contract', sort: contract.customer}));
		await liftEither(checkBase(current, base));
		return {
			entry: {kind: 'contract', name: contract.customer, body: JSON.stringify(contract)}, current, checks: [check],
		};
	}).run();
}

/** Plans a new key, or a new state of an existing one. */
export function planKeyChange(table: Table, operator: Operator, digest: string, holder: KeyHolder): ChangePlan {
	return async () => EitherAsync<ChangeFailure, PlannedChange>(async ({fromPromise, liftEither}) => {
		const {check} = await fromPromise(authenticate(table, operator.digest));
		const current = await fromPromise(readRow(table, {partition: 'key', sort: digest}));
		const owner = holder.kind === 'customer' ? {partition: 'contract', sort: holder.customer} : undefined;
		if (owner !== undefined && await fromPromise(readRow(table, owner)) === undefined) {
			await liftEither(refuse(`customer "${owner.sort}" has no contract`));
		}

		// A row cannot be both written and checked in one transaction.
		return toKeyChange(digest, holder, current, digest === operator.digest ? [] : [check]);
	}).run();
}

/** Plans the revocation of a key; refuses to revoke the last active operator key. */
export function planKeyRevocation(table: Table, operator: Operator, digest: string): ChangePlan {
	return async version => EitherAsync<ChangeFailure, PlannedChange>(async ({fromPromise, liftEither}) => {
		const row = await fromPromise(readRow(table, {partition: 'key', sort: digest}));
		const holder = await liftEither(row === undefined ? refuse<KeyHolder>('there is no such key') : Right(toHolder(row)));
		const operators = holder.kind === 'operator' ? await fromPromise(readOperators(table)) : [];
		if (operators.length === 1 && operators[0]?.key.sort === digest) {
			await liftEither(refuse('this is the last active operator key'));
		}

		return fromPromise(planKeyChange(table, operator, digest, {...holder, state: 'revoked'})(version));
	}).run();
}

/** Plans the first operator key; refuses when there is an active operator key. */
export function planFirstOperator(table: Table, digest: string, name: string): ChangePlan {
	return async () => EitherAsync<ChangeFailure, PlannedChange>(async ({fromPromise, liftEither}) => {
		const operators = await fromPromise(readOperators(table));
		await liftEither(operators.length > 0 ? refuse('there is an operator key already') : Right(undefined));
		const current = await fromPromise(readRow(table, {partition: 'key', sort: digest}));
		return toKeyChange(digest, {kind: 'operator', name, state: 'active'}, current, []);
	}).run();
}

function toKeyChange(digest: string, holder: KeyHolder, current: Row | undefined, checks: readonly Check[]) {
	return {entry: {kind: 'key' as const, name: digest, body: JSON.stringify(holder)}, current, checks};
}

function checkBase(current: Row | undefined, base: number): Either<ChangeFailure, void> {
	if (current === undefined) {
		return base === 0 ? Right(undefined) : refuse(`the contract is absent, not at version ${base}`);
	}

	const {version} = parseEntry(current.body);
	const {changeId, operator} = JSON.parse(current.body) as {readonly changeId?: string; readonly operator?: string};
	return version === base
		? Right(undefined)
		: refuse(`change ${changeId} by operator "${operator}" has put the contract at version ${version}; this change was made against version ${base}`);
}

async function readOperators(table: Table): Promise<Either<ChangeFailure, readonly Row[]>> {
	const rows = await table.query('key', {limit: Number.POSITIVE_INFINITY});
	return rows.mapLeft(failure => toReadFailure(failure)).map(found => found.filter(row => {
		const holder = toHolder(row);
		return holder.kind === 'operator' && holder.state === 'active';
	}));
}

async function readRow(table: Table, key: RowKey): Promise<Either<ChangeFailure, Row | undefined>> {
	const row = await table.get(key);
	return row.mapLeft(failure => toReadFailure(failure));
}

function toHolder(row: Row): KeyHolder {
	return parseKeyHolder(parseEntry(row.body).body);
}

function refuse<Value = never>(message: string): Either<ChangeFailure, Value> {
	return Left({kind: 'refused', message});
}
