import {randomUUID} from 'node:crypto';
import {readFile} from 'node:fs/promises';
import {EitherAsync} from 'purify-ts';
import type {CommandModule} from 'yargs';
import type {KeyHolder} from '../../version/configuration.ts';
import {
	Administration, createKey, type CreatedKey, type StoredKey,
} from '../administration/administration.ts';
import type {ChangeFailure, CommittedChange} from '../administration/configuration-writer.ts';
import {addOperatorOptions, runOperatorCommand, type OperatorOptions} from './operator-options.ts';

type PutOptions = OperatorOptions & {
	readonly customer: string | undefined;
	readonly operator: string | undefined;
	readonly 'key-file': string | undefined;
};

const putCommand: CommandModule<unknown, PutOptions> = {
	command: 'put',
	describe: 'Add a key of a customer or an operator; a new key is generated unless --key-file is given',
	builder: yargs => addOperatorOptions(yargs)
		.option('customer', {type: 'string', describe: 'Customer that the key belongs to', conflicts: 'operator'})
		.option('operator', {type: 'string', describe: 'Operator that the key belongs to'})
		.option('key-file', {type: 'string', describe: 'File that contains the key'})
		.check(({customer, operator}) => customer !== undefined || operator !== undefined || 'Either --customer or --operator is required.'),
	async handler(options) {
		const {customer, operator: name = ''} = options;
		const holder: KeyHolder = customer === undefined
			? {kind: 'operator', name, state: 'active'}
			: {kind: 'customer', customer, state: 'active'};
		const key = await resolveKey(options['key-file']);
		await runOperatorCommand(options, async session => EitherAsync<ChangeFailure, CreatedKey>(async ({fromPromise}) => {
			const operator = await fromPromise(session.authenticate());
			return fromPromise(new Administration(session.table, session.objects).putKey(operator, holder, key, randomUUID()));
		}).run(), formatCreatedKey);
	},
};

const bootstrapCommand: CommandModule<unknown, OperatorOptions & {readonly operator: string; readonly 'key-file': string | undefined}> = {
	command: 'bootstrap',
	describe: 'Create the first operator key; refused if an operator key already exists',
	builder: yargs => addOperatorOptions(yargs)
		.option('operator', {type: 'string', demandOption: true, describe: 'Operator that the key belongs to'})
		.option('key-file', {type: 'string', describe: 'File that contains the key'}),
	async handler(options) {
		const key = await resolveKey(options['key-file']);
		await runOperatorCommand(options, async session =>
			new Administration(session.table, session.objects).createFirstOperator(options.operator, key, randomUUID()), formatCreatedKey);
	},
};

const listCommand: CommandModule<unknown, OperatorOptions> = {
	command: 'list',
	describe: 'Print the digests and holders of all keys',
	builder: yargs => addOperatorOptions(yargs),
	async handler(options) {
		await runOperatorCommand(options, async session => EitherAsync<ChangeFailure, readonly StoredKey[]>(async ({fromPromise}) => {
			await fromPromise(session.authenticate());
			return fromPromise(new Administration(session.table, session.objects).listKeys());
		}).run(), keys => keys.map(key => formatKey(key)).join('\n'));
	},
};

const revokeCommand: CommandModule<unknown, OperatorOptions & {readonly digest: string}> = {
	command: 'revoke <digest>',
	describe: 'Revoke a key by its digest',
	builder: yargs => addOperatorOptions(yargs).positional('digest', {type: 'string', demandOption: true, describe: 'Digest, as "key list" prints it'}),
	async handler(options) {
		await runOperatorCommand(options, async session => EitherAsync<ChangeFailure, CommittedChange>(async ({fromPromise}) => {
			const operator = await fromPromise(session.authenticate());
			return fromPromise(new Administration(session.table, session.objects).revokeKey(operator, options.digest, randomUUID()));
		}).run(), ({version}) => `Key ${options.digest} is revoked as of version ${version}.`);
	},
};

/** `wagtailtack key bootstrap|put|list|revoke`. */
export const keyCommand: CommandModule = {
	command: 'key',
	describe: 'Add, print and revoke keys of callers and operators',
	builder: yargs => yargs.command(bootstrapCommand).command(putCommand).command(listCommand).command(revokeCommand)
		.demandCommand(1, 'A key command is needed.'),
	handler() {
		// The subcommands do the work.
	},
};

async function resolveKey(file: string | undefined): Promise<string> {
	if (file === undefined) {
		return createKey();
	}

	const text = await readFile(file, 'utf8');
	return text.trim();
}

function formatCreatedKey({key, digest, version}: CreatedKey): string {
	return `Key ${key}\nDigest ${digest}\nActive as of version ${version}; the key is not shown again.`;
}

function formatKey({digest, holder, version}: StoredKey): string {
	const name = holder.kind === 'customer' ? holder.customer : holder.name;
	return `${digest}\t${holder.kind} ${name}\t${holder.state}\tversion ${version}`;
}
