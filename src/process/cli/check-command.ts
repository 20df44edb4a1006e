import process from 'node:process';
import type {CommandModule} from 'yargs';
import {formatFinding} from '../../version/finding.ts';
import {readSettings} from '../../version/settings.ts';
import {exitCode} from './exit-code.ts';

/** `wagtailtack check FILE.ini`: prints every finding of a settings file. */
export const checkCommand: CommandModule<unknown, {readonly file: string}> = {
	command: 'check <file>',
	describe: 'Check a settings file and print every finding',
	builder: yargs => yargs.positional('file', {type: 'string', demandOption: true, describe: 'Settings file (INI)'}),
	async handler({file}) {
		const settings = await readSettings(file);
		settings.ifLeft(findings => {
			for (const finding of findings) {
				console.log(formatFinding(finding));
			}

			process.exitCode = exitCode.failure;
		});
	},
};
