import {Logger} from 'tslog';
import {Log, type LogLevel} from './log.ts';

const minimumLevel: Readonly<Record<LogLevel, number>> = {
	debug: 2,
	info: 3,
	warn: 4,
	error: 5,
};

/** Creates the process's log; lines are JSON objects on standard output unless another type is chosen. */
export function createLog(level: LogLevel = 'info', type: 'json' | 'pretty' | 'hidden' = 'json'): Log {
	return new Log(new Logger<unknown>({type, minLevel: minimumLevel[level]}), 'process');
}
