import process from 'node:process';
import {readFile} from 'node:fs/promises';
import type {CommandModule} from 'yargs';
import {createStandIn, standInKinds, type StandInKind} from '../../stand-ins/stand-in-settings.ts';
import {formatFinding} from '../../version/finding.ts';
import {createLog} from '../create-log.ts';
import {exitCode} from './exit-code.ts';
import {waitForTermination} from './termination.ts';

type Options = {readonly kind: StandInKind; readonly config: string};

/** `wagtailtack stand-in KIND --config FILE.ini`: runs one stand-in. */
export const standInCommand: CommandModule<unknown, Options> = {
	command: 'stand-in <kind>',
	describe: 'Run a stand-in for an external system',
	builder: yargs => yargs
		.positional('kind', {choices: standInKinds, demandOption: true, describe: 'External system that the stand-in replaces'})
		.option('config', {type: 'string', demandOption: true, describe: 'Settings file (INI)'}),
	async handler({kind, config}) {
		const created = createStandIn(kind, await readFile(config, 'utf8'), config);
		await created.caseOf<Promise<void> | undefined>({
			Left(findings) {
				for (const finding of findings) {
					console.error(formatFinding(finding));
				}

				process.exitCode = exitCode.failure;
				return undefined;
			},
			async Right({server, address}) {
				await using running = server;
				const bound = await running.listen(address);
				createLog().child(kind).info('Stand-in started.', {address: bound});
				await waitForTermination();
			},
		});
	},
};
