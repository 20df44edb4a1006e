import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {text} from 'node:stream/consumers';
import type {CommandModule} from 'yargs';
import {formatTimeline, parseLog, selectTimeline} from '../explain/timeline.ts';
import {exitCode} from './exit-code.ts';

type Options = {readonly request: string; readonly files: readonly string[] | undefined};

/** `wagtailtack explain REQUEST [FILE...]`: prints the decisions made for one request, from the logs of any number of daemons. */
export const explainCommand: CommandModule<unknown, Options> = {
	command: 'explain <request> [files..]',
	describe: 'Print the decisions made for one request, from log files or standard input',
	builder: yargs => yargs
		.positional('request', {type: 'string', demandOption: true, describe: 'ID of the request'})
		.positional('files', {type: 'string', array: true, describe: 'Log files of daemons; defaults to standard input'}),
	async handler({request, files}) {
		const logs = files === undefined || files.length === 0
			? [await text(process.stdin)]
			: await Promise.all(files.map(async file => readFile(file, 'utf8')));
		const timeline = selectTimeline(logs.flatMap(log => parseLog(log)), request);
		if (timeline.length === 0) {
			console.error(`The logs contain no line of request ${request}.`);
			process.exitCode = exitCode.failure;
			return;
		}

		console.log(formatTimeline(timeline, request));
	},
};
