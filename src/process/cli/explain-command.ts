import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {text} from 'node:stream/consumers';
import type {CommandModule} from 'yargs';
import {formatTimeline, parseLog, selectTimeline} from '../explain/timeline.ts';
import {exitCode} from './exit-code.ts';

type Options = {readonly request: string; readonly files: readonly string[] | undefined};

/** `wagtailtack explain REQUEST [FILE...]`: prints what was decided for one request, from the logs of several daemons. */
export const explainCommand: CommandModule<unknown, Options> = {
	command: 'explain <request> [files..]',
	describe: 'Print what was decided for one request, from logs in files or on standard input',
	builder: yargs => yargs
		.positional('request', {type: 'string', demandOption: true, describe: 'Id of the request'})
		.positional('files', {type: 'string', array: true, describe: 'Logs of daemons; standard input when there are none'}),
	async handler({request, files}) {
		const logs = files === undefined || files.length === 0
			? [await text(process.stdin)]
			: await Promise.all(files.map(async file => readFile(file, 'utf8')));
		const timeline = selectTimeline(logs.flatMap(log => parseLog(log)), request);
		if (timeline.length === 0) {
			console.error(`No line names the request ${request}.`);
			process.exitCode = exitCode.failure;
			return;
		}

		console.log(formatTimeline(timeline, request));
	},
};
