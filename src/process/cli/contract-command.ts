import {randomUUID} from 'node:crypto';
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {
	EitherAsync, Left, Right, type Either,
} from 'purify-ts';
import type {CommandModule} from 'yargs';
import {parseContract, type Contract} from '../../version/contract.ts';
import {formatFinding, type Finding} from '../../version/finding.ts';
import {Administration, type StoredContract} from '../administration/administration.ts';
import type {ChangeFailure} from '../administration/configuration-writer.ts';
import {formatContract, describeDifference} from './contract-text.ts';
import {exitCode} from './exit-code.ts';
import {
	addOperatorOptions, refuse, runOperatorCommand, type OperatorOptions, type OperatorSession,
} from './operator-options.ts';

type PutOptions = OperatorOptions & {
	readonly file: string;
	readonly base: number | undefined;
	readonly 'dry-run': boolean;
	readonly 'change-id': string;
};

type PutResult = {
	readonly customer: string;
	/** Version of the whole configuration after the change; for a dry run, current version of the contract. */
	readonly version: number;
	readonly differences: readonly string[];
	readonly changeId?: string;
};

const putCommand: CommandModule<unknown, PutOptions> = {
	command: 'put <file>',
	describe: 'Apply a contract',
	builder: yargs => addOperatorOptions(yargs)
		.positional('file', {type: 'string', demandOption: true, describe: 'Contract file (INI)'})
		.option('base', {type: 'number', describe: 'Version of the contract that the file is based on; defaults to the current version'})
		.option('dry-run', {type: 'boolean', default: false, describe: 'Print the differences without writing anything'})
		.option('change-id', {
			type: 'string', default: randomUUID(), defaultDescription: 'random', describe: 'ID of the change; running the command again with the same ID writes nothing',
		}),
	async handler(options) {
		const contract = await readContract(options.file);
		await contract.caseOf<Promise<void> | void>({
			Left(findings) {
				printFindings(findings, options.json);
			},
			Right: async value => runOperatorCommand(options, async session => put(session, options, value), formatPut),
		});
	},
};

const getCommand: CommandModule<unknown, OperatorOptions & {readonly customer: string}> = {
	command: 'get <customer>',
	describe: 'Print a contract as a contract file',
	builder: yargs => addOperatorOptions(yargs).positional('customer', {type: 'string', demandOption: true, describe: 'Customer'}),
	async handler(options) {
		await runOperatorCommand(options, async session => EitherAsync<ChangeFailure, StoredContract>(async ({fromPromise, liftEither}) => {
			await fromPromise(session.authenticate());
			const stored = await fromPromise(createAdministration(session).getContract(options.customer));
			return liftEither(stored === undefined ? refuse(`customer "${options.customer}" has no contract`) : Right(stored));
		}).run(), formatContract);
	},
};

const listCommand: CommandModule<unknown, OperatorOptions> = {
	command: 'list',
	describe: 'Print customers, versions and shares',
	builder: yargs => addOperatorOptions(yargs),
	async handler(options) {
		await runOperatorCommand(options, async session => EitherAsync<ChangeFailure, readonly StoredContract[]>(async ({fromPromise}) => {
			await fromPromise(session.authenticate());
			return fromPromise(createAdministration(session).listContracts());
		}).run(), contracts => contracts.map(({version, contract}) => `${contract.customer}\tversion ${version}\tshare ${contract.share}`).join('\n'));
	},
};

const checkCommand: CommandModule<unknown, {readonly file: string; readonly json: boolean}> = {
	command: 'check <file>',
	describe: 'Check a contract file and print every finding',
	builder: yargs => yargs
		.positional('file', {type: 'string', demandOption: true, describe: 'Contract file (INI)'})
		.option('json', {type: 'boolean', default: false, describe: 'Print one JSON document'}),
	async handler({file, json}) {
		const contract = await readContract(file);
		contract.caseOf({
			Left(findings) {
				printFindings(findings, json);
			},
			Right(value) {
				if (json) {
					console.log(JSON.stringify({contract: value}));
				}
			},
		});
	},
};

/** `wagtailtack contract put|get|list|check`. */
export const contractCommand: CommandModule = {
	command: 'contract',
	describe: 'Apply, print and check contracts',
	builder: yargs => yargs.command(putCommand).command(getCommand).command(listCommand).command(checkCommand)
		.demandCommand(1, 'A contract command is needed.'),
	handler() {
		// The subcommands do the work.
	},
};

async function put(
	session: OperatorSession,
	options: PutOptions,
	contract: Contract,
): Promise<Either<ChangeFailure, PutResult>> {
	return EitherAsync<ChangeFailure, PutResult>(async ({fromPromise}) => {
		const administration = createAdministration(session);
		const operator = await fromPromise(session.authenticate());
		const current = await fromPromise(administration.getContract(contract.customer));
		const differences = describeDifference(current?.contract, contract);
		const {customer} = contract;
		if (options['dry-run']) {
			return {customer, version: current?.version ?? 0, differences};
		}

		const {'change-id': changeId, base = current?.version ?? 0} = options;
		const put = await administration.putContract(operator, contract, {baseVersion: base, changeId});
		const change = await fromPromise(Promise.resolve(put.mapLeft(failure => addRetryHint(failure, changeId))));
		return {
			customer, version: change.version, differences, changeId,
		};
	}).run();
}

/** Tells the operator how to repeat a change that may or may not have been applied. */
function addRetryHint(failure: ChangeFailure, changeId: string): ChangeFailure {
	return failure.kind === 'unknown'
		? {...failure, message: `${failure.message}; run the command again with --change-id ${changeId}`}
		: failure;
}

function formatPut({customer, version, differences, changeId}: PutResult): string {
	const title = changeId === undefined
		? `Dry run: contract "${customer}" is at version ${version} and would change:`
		: `Contract "${customer}" is at version ${version} (change ${changeId}):`;
	return [title, ...(differences.length === 0 ? ['  no difference'] : differences.map(line => `  ${line}`))].join('\n');
}

async function readContract(file: string): Promise<Either<readonly Finding[], Contract>> {
	try {
		return parseContract(await readFile(file, 'utf8'), file);
	} catch (error) {
		return Left([{file, line: 1, message: `cannot be read: ${error instanceof Error ? error.message : String(error)}`}]);
	}
}

function printFindings(findings: readonly Finding[], json: boolean): void {
	console.log(json ? JSON.stringify({findings}) : findings.map(finding => formatFinding(finding)).join('\n'));
	process.exitCode = exitCode.failure;
}

function createAdministration({table, objects}: OperatorSession): Administration {
	return new Administration(table, objects);
}
