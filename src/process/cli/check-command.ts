import process from 'node:process';
import {readFile} from 'node:fs/promises';
import type {CommandModule} from 'yargs';
import {formatFinding} from '../../version/finding.ts';
import {parseFleetSettings} from '../../version/fleet-settings.ts';
import {readSettings} from '../../version/settings.ts';
import {exitCode} from './exit-code.ts';

/** `wagtailtack check FILE.ini`: prints every finding of a settings file. */
export const checkCommand: CommandModule<unknown, {readonly file: string; readonly fleet: boolean}> = {
	command: 'check <file>',
	describe: 'Check a settings file and print every finding',
	builder: yargs => yargs
		.positional('file', {type: 'string', demandOption: true, describe: 'Settings file (INI)'})
		.option('fleet', {type: 'boolean', default: false, describe: 'Check the file as settings of a daemon on the operator\'s platform'}),
	async handler({file, fleet}) {
		const settings = fleet
			? parseFleetSettings(await readFile(file, 'utf8'), file).map(() => undefined)
			: await readSettings(file).then(read => read.map(() => undefined));
		settings.ifLeft(findings => {
			for (const finding of findings) {
				console.log(formatFinding(finding));
			}

			process.exitCode = exitCode.failure;
		});
	},
};
