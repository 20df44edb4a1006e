import {Logger} from 'tslog';
import {Log, type LogLevel} from './log.ts';

/** Level numbers of tslog. */
const tslogLevels: Readonly<Record<LogLevel, number>> = {
	debug: 2,
	info: 3,
	warn: 4,
	error: 5,
};

/** Creates the log of the process; by default it writes JSON lines to standard output. */
export function createLog(level: LogLevel = 'info', type: 'json' | 'pretty' | 'hidden' = 'json'): Log {
	return new Log(new Logger<unknown>({type, minLevel: tslogLevels[level]}), 'process');
}
