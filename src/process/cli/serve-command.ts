import process from 'node:process';
import type {CommandModule} from 'yargs';
import {formatFinding} from '../../version/finding.ts';
import {readSettings, type Settings} from '../../version/settings.ts';
import {createLog} from '../create-log.ts';
import {endGracefully, handleUncaughtErrors} from '../uncaught-errors.ts';
import {createDaemon} from '../wiring.ts';
import {exitCode} from './exit-code.ts';
import {waitForTermination} from './termination.ts';

/** `wagtailtack serve --config FILE.ini`: runs one entry daemon. */
export const serveCommand: CommandModule<unknown, {readonly config: string}> = {
	command: 'serve',
	describe: 'Run one entry daemon',
	builder: yargs => yargs.option('config', {type: 'string', demandOption: true, describe: 'Settings file (INI)'}),
	async handler({config}) {
		handleUncaughtErrors();
		const settings = await readSettings(config);
		await settings.caseOf<Promise<void> | undefined>({
			Left(findings) {
				for (const finding of findings) {
					console.error(formatFinding(finding));
				}

				process.exitCode = exitCode.failure;
				return undefined;
			},
			Right: serve,
		});
	},
};

async function serve(settings: Settings): Promise<void> {
	const log = createLog(settings.logs.level);
	await using daemon = await createDaemon(settings, log);
	const {promise: failure, resolve: fail} = Promise.withResolvers<void>();
	endGracefully(error => {
		process.exitCode = exitCode.failure;
		log.error('An uncaught error ends the daemon.', error);
		fail();
	});
	await Promise.race([waitForTermination(), failure]);
	await daemon.drain();
	log.info('Daemon is stopping.', {address: daemon.address});
}
