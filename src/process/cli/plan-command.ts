import {randomUUID} from 'node:crypto';
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {
	EitherAsync, Left, Right, type Either,
} from 'purify-ts';
import type {CommandModule} from 'yargs';
import {parseFleetPlan, type FleetPlan} from '../../version/fleet-plan.ts';
import {formatFinding, type Finding} from '../../version/finding.ts';
import {readPlatformSettings} from '../../version/settings.ts';
import type {ChangeFailure} from '../administration/configuration-writer.ts';
import {checkFleetPlan} from '../orders/plan-check.ts';
import type {PlanBody} from '../orders/plan-row.ts';
import {
	cancelPlan, createPlan, listPlans, showPlan, submitPlan, type PlanFailure, type PlanView,
} from '../orders/plan-store.ts';
import {exitCode} from './exit-code.ts';
import {
	addOperatorOptions, refuse, runOperatorCommand, type OperatorOptions, type OperatorSession,
} from './operator-options.ts';
import {readFleet} from './fleet-view.ts';
import {
	describeFailure, formatPlan, formatPlans, formatSubmit, type SubmitResult,
} from './plan-text.ts';

type SubmitOptions = OperatorOptions & {
	readonly file: string;
	readonly hosts: string | undefined;
	readonly id: string;
	readonly 'dry-run': boolean;
};

type IdOptions = OperatorOptions & {readonly id: string};

const planIdLength = 8;

const submitCommand: CommandModule<unknown, SubmitOptions> = {
	command: 'submit <file>',
	describe: 'Submit a plan, or print what it would do',
	builder: yargs => addOperatorOptions(yargs)
		.positional('file', {type: 'string', demandOption: true, describe: 'Plan file (INI)'})
		.option('hosts', {type: 'string', describe: 'URL of the host list; defaults to the one in the settings file'})
		.option('id', {
			type: 'string', default: randomUUID().slice(0, planIdLength), defaultDescription: 'random', describe: 'ID of the plan; running the command again with the same ID writes nothing',
		})
		.option('dry-run', {type: 'boolean', default: false, describe: 'Print steps and refusals without writing anything'}),
	async handler(options) {
		const plan = await readPlan(options.file);
		await plan.caseOf<Promise<void> | void>({
			Left(findings) {
				console.log(options.json ? JSON.stringify({findings}) : findings.map(finding => formatFinding(finding)).join('\n'));
				process.exitCode = exitCode.failure;
			},
			Right: async value => runOperatorCommand(options, async session => submit(session, options, value), formatSubmit),
		});
	},
};

const showCommand: CommandModule<unknown, IdOptions> = {
	command: 'show <id>',
	describe: 'Print a plan and its progress',
	builder: yargs => addOperatorOptions(yargs).positional('id', {type: 'string', demandOption: true, describe: 'ID of the plan'}),
	async handler(options) {
		await runOperatorCommand<PlanView>(options, async session => runAuthenticated(session, async () => showPlan(session.table, options.id)), formatPlan);
	},
};

const listCommand: CommandModule<unknown, OperatorOptions> = {
	command: 'list',
	describe: 'Print all plans',
	builder: yargs => addOperatorOptions(yargs),
	async handler(options) {
		await runOperatorCommand<readonly PlanBody[]>(options, async session => runAuthenticated(session, async () => listPlans(session.table)), formatPlans);
	},
};

const cancelCommand: CommandModule<unknown, IdOptions> = {
	command: 'cancel <id>',
	describe: 'Cancel a plan; the upstreams that it has drained return to service',
	builder: yargs => addOperatorOptions(yargs).positional('id', {type: 'string', demandOption: true, describe: 'ID of the plan'}),
	async handler(options) {
		await runOperatorCommand<PlanBody>(
			options,
			async session => runAuthenticated(session, async () => cancelPlan(session.table, options.id)),
			plan => `Plan ${plan.id} ("${plan.name}" by ${plan.author}) is cancelled.`,
		);
	},
};

/** `wagtailtack plan submit|show|list|cancel`. */
export const planCommand: CommandModule = {
	command: 'plan',
	describe: 'Submit, print and cancel plans of changes to the fleet',
	builder: yargs => yargs.command(submitCommand).command(showCommand).command(listCommand).command(cancelCommand)
		.demandCommand(1, 'A plan command is needed.'),
	handler() {
		// The subcommands do the work.
	},
};

async function submit(
	session: OperatorSession,
	options: SubmitOptions,
	plan: FleetPlan,
): Promise<Either<ChangeFailure, SubmitResult>> {
	return EitherAsync<ChangeFailure, SubmitResult>(async ({fromPromise, liftEither}) => {
		await fromPromise(session.authenticate());
		const {id, 'dry-run': isDryRun} = options;
		const url = await liftEither(await resolveHostList(options));
		const row = createPlan(id, plan);
		const fleet = await fromPromise(readFleet(session.table, url, row));
		const refusals = checkFleetPlan(plan, fleet);
		if (isDryRun) {
			process.exitCode = refusals.length === 0 ? exitCode.success : exitCode.failure;
			return {plan: row, isDryRun, refusals};
		}

		if (refusals.length > 0) {
			const lines = refusals.map(({line, upstream, reason}) => `${options.file}:${line}: ${upstream}: ${reason}`);
			return liftEither(refuse(['nothing was written', ...lines].join('\n')));
		}

		const submitted = await fromPromise(toChangeFailure(submitPlan(session.table, row)));
		return {plan: submitted, isDryRun, refusals};
	}).run();
}

async function runAuthenticated<Value>(
	session: OperatorSession,
	operation: () => Promise<Either<PlanFailure, Value>>,
): Promise<Either<ChangeFailure, Value>> {
	return EitherAsync<ChangeFailure, Value>(async ({fromPromise}) => {
		await fromPromise(session.authenticate());
		return fromPromise(toChangeFailure(operation()));
	}).run();
}

async function toChangeFailure<Value>(result: Promise<Either<PlanFailure, Value>>): Promise<Either<ChangeFailure, Value>> {
	const settled = await result;
	return settled.mapLeft((failure): ChangeFailure => ({
		kind: failure.kind === 'unknown' || failure.kind === 'unavailable' ? failure.kind : 'refused',
		message: describeFailure(failure),
	}));
}

async function resolveHostList({hosts, config}: SubmitOptions): Promise<Either<ChangeFailure, string>> {
	if (hosts !== undefined) {
		return Right(hosts);
	}

	const settings = config === undefined ? undefined : await readPlatformSettings(config);
	const url = settings?.toMaybe().extract()?.hosts;
	return url === undefined ? refuse('the host list is required: use --hosts URL or --config FILE.ini') : Right(url);
}

async function readPlan(file: string): Promise<Either<readonly Finding[], FleetPlan>> {
	try {
		return parseFleetPlan(await readFile(file, 'utf8'), file);
	} catch (error) {
		return Left([{file, line: 1, message: `cannot be read: ${error instanceof Error ? error.message : String(error)}`}]);
	}
}
