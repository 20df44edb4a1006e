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

/** Options shared by all operator commands that access the platform. */
export type OperatorOptions = {
	readonly platform: string | undefined;
	readonly 'table-name': string;
	readonly config: string | undefined;
	readonly 'operator-key-file': string | undefined;
	readonly json: boolean;
};

/** Access of an operator command to the platform. */
export type OperatorSession = AsyncDisposable & {
	readonly table: Table;
	readonly objects: ObjectStore;
	/** Resolves the operator from the operator key that was given. */
	readonly authenticate: () => Promise<Either<ChangeFailure, Operator>>;
};

/** Environment variable that contains the operator key. */
export const operatorKeyVariable = 'WAGTAILTACK_OPERATOR_KEY';

/** Adds the options of `OperatorOptions` to a command. */
export function addOperatorOptions<Options>(yargs: Argv<Options>) {
	return yargs
		.option('platform', {type: 'string', describe: 'Base URL of the table and the object store'})
		.option('table-name', {type: 'string', default: 'wagtailtack', describe: 'Name of the table'})
		.option('config', {type: 'string', describe: 'Settings file whose [platform] section is used', conflicts: 'platform'})
		.option('operator-key-file', {type: 'string', describe: `File that contains the operator key; defaults to the environment variable ${operatorKeyVariable}`})
		.option('json', {type: 'boolean', default: false, describe: 'Print one JSON document'});
}

/** Opens a session with the platform; fails if the endpoints are missing or invalid. */
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
					return refuse(`an operator key is required: use --operator-key-file or ${operatorKeyVariable}`);
				}

				const found = await authenticate(table, hashKey(key));
				return found.map(({operator}) => operator);
			},
			[Symbol.asyncDispose]: async () => table[Symbol.asyncDispose](),
		};
	}).run();
}

/** Runs a command in a session with the platform and prints its result or failure. */
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

/** Creates a failure of kind `refused`. */
export function refuse<Value = never>(message: string): Either<ChangeFailure, Value> {
	return Left({kind: 'refused', message});
}

async function resolveEndpoints(options: OperatorOptions) {
	if (options.platform !== undefined) {
		const base = options.platform.replace(/\/$/v, '');
		return Right({table: base, objects: base, 'table-name': options['table-name']});
	}

	if (options.config === undefined) {
		return refuse<Endpoints>('the platform is required: use --platform URL or --config FILE.ini');
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
