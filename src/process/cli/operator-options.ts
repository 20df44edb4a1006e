import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {
	EitherAsync, Left, Right, type Either,
} from 'purify-ts';
import type {Argv} from 'yargs';
import {DynamoTable} from '../../ports/dynamo-table.ts';
import {HttpObjectStore, type ObjectStore} from '../../ports/object-store.ts';
import type {Table} from '../../ports/table.ts';
import {formatFinding} from '../../version/finding.ts';
import {readPlatformSettings} from '../../version/settings.ts';
import {authenticate, type Operator} from '../administration/change-plans.ts';
import type {ChangeFailure} from '../administration/configuration-writer.ts';
import {hashKey} from '../key-directory.ts';
import {exitCode} from './exit-code.ts';

/** Options of every operator's command that reaches the platform. */
export type OperatorOptions = {
	readonly platform: string | undefined;
	readonly 'table-name': string;
	readonly config: string | undefined;
	readonly 'operator-key-file': string | undefined;
	readonly json: boolean;
};

/** The platform as an operator's command reaches it. */
export type OperatorSession = AsyncDisposable & {
	readonly table: Table;
	readonly objects: ObjectStore;
	/** Finds the operator of the key that was presented. */
	readonly authenticate: () => Promise<Either<ChangeFailure, Operator>>;
};

/** Environment variable that holds an operator's key. */
export const operatorKeyVariable = 'WAGTAILTACK_OPERATOR_KEY';

/** Adds the options that reach the platform. */
export function addOperatorOptions<Options>(yargs: Argv<Options>) {
	return yargs
		.option('platform', {type: 'string', describe: 'Base URL of the table and the object store'})
		.option('table-name', {type: 'string', default: 'wagtailtack', describe: 'Name of the table'})
		.option('config', {type: 'string', describe: 'Settings file whose [platform] section is used', conflicts: 'platform'})
		.option('operator-key-file', {type: 'string', describe: `File with the operator key; else ${operatorKeyVariable}`})
		.option('json', {type: 'boolean', default: false, describe: 'Print one JSON document'});
}

/** Opens the platform; a missing or faulty endpoint is a refusal. */
export async function openSession(options: OperatorOptions): Promise<Either<ChangeFailure, OperatorSession>> {
	return EitherAsync<ChangeFailure, OperatorSession>(async ({fromPromise}) => {
		const endpoints = await fromPromise(resolveEndpoints(options));
		const table = new DynamoTable({endpoint: endpoints.table, tableName: endpoints['table-name']});
		return {
			table,
			objects: new HttpObjectStore(endpoints.objects),
			async authenticate() {
				const key = await readOperatorKey(options);
				if (key === undefined) {
					return refuse(`an operator key is needed: --operator-key-file or ${operatorKeyVariable}`);
				}

				const found = await authenticate(table, hashKey(key));
				return found.map(({operator}) => operator);
			},
			[Symbol.asyncDispose]: async () => table[Symbol.asyncDispose](),
		};
	}).run();
}

/** Runs a command against the platform and prints its result or its failure. */
export async function runOperatorCommand<Result>(
	options: OperatorOptions,
	run: (session: OperatorSession) => Promise<Either<ChangeFailure, Result>>,
	format: (result: Result) => string,
): Promise<void> {
	const opened = await openSession(options);
	const result = await EitherAsync<ChangeFailure, Result>(async ({fromPromise, liftEither}) => {
		await using session = await liftEither(opened);
		const value = await fromPromise(run(session));
		return value;
	}).run();
	result.caseOf({
		Left(failure) {
			console.error(options.json ? JSON.stringify({error: failure}) : `${failure.kind}: ${failure.message}`);
			process.exitCode = exitCode.failure;
		},
		Right(value) {
			console.log(options.json ? JSON.stringify(value) : format(value));
		},
	});
}

/** Creates a refusal. */
export function refuse<Value = never>(message: string): Either<ChangeFailure, Value> {
	return Left({kind: 'refused', message});
}

async function resolveEndpoints(options: OperatorOptions) {
	if (options.platform !== undefined) {
		const base = options.platform.replace(/\/$/v, '');
		return Right({table: base, objects: base, 'table-name': options['table-name']});
	}

	if (options.config === undefined) {
		return refuse<Endpoints>('the platform is needed: --platform URL or --config FILE.ini');
	}

	const settings = await readPlatformSettings(options.config);
	return settings.mapLeft((findings): ChangeFailure => ({
		kind: 'refused', message: findings.map(finding => formatFinding(finding)).join('\n'),
	}));
}

type Endpoints = {readonly table: string; readonly objects: string; readonly 'table-name': string};

async function readOperatorKey({'operator-key-file': file}: OperatorOptions): Promise<string | undefined> {
	const text = file === undefined
		? process.env[operatorKeyVariable]
		: await readFile(file, 'utf8');
	return text?.trim();
}
