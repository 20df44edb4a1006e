import process from 'node:process';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
// Must be imported before all other modules of the project: the heap already grows while modules are loaded.
// eslint-disable-next-line import-x/no-unassigned-import
import './process/heap.ts';
import {checkCommand} from './process/cli/check-command.ts';
import {contractCommand} from './process/cli/contract-command.ts';
import {demoCommand} from './process/cli/demo-command.ts';
import {exitCode} from './process/cli/exit-code.ts';
import {explainCommand} from './process/cli/explain-command.ts';
import {keyCommand} from './process/cli/key-command.ts';
import {planCommand} from './process/cli/plan-command.ts';
import {programVersion} from './process/cli/program-version.ts';
import {serveCommand} from './process/cli/serve-command.ts';
import {standInCommand} from './process/cli/stand-in-command.ts';
import {statusCommand} from './process/cli/status-command.ts';

async function main(): Promise<void> {
	await yargs(hideBin(process.argv))
		.scriptName('wagtailtack')
		.command(serveCommand)
		.command(checkCommand)
		.command(contractCommand)
		.command(keyCommand)
		.command(planCommand)
		.command(standInCommand)
		.command(statusCommand)
		.command(explainCommand)
		.command(demoCommand)
		.demandCommand(1, 'A command is needed.')
		.strict()
		.fail((message, error, parser) => {
			if (error !== undefined) {
				throw error;
			}

			parser.showHelp();
			console.error(`\n${message}`);
			// Yargs would still run the command handler if the process did not exit here.
			// eslint-disable-next-line unicorn/no-process-exit
			process.exit(exitCode.usageError);
		})
		.version(programVersion())
		.help()
		.parseAsync();
}

// The executable is bundled as CommonJS, which has no top-level await.
// eslint-disable-next-line unicorn/prefer-top-level-await
void main().catch((error: unknown) => {
	console.error(error instanceof Error ? error.message : String(error));
	process.exitCode = exitCode.failure;
});
