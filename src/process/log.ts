import {Logger} from 'tslog';

/** Levels that the settings accept, in rising order of severity. */
export const logLevels = ['debug', 'info', 'warn', 'error'] as const;

/** Name of a log level. */
export type LogLevel = (typeof logLevels)[number];

/** Values added to a log line; never a key, a prompt or an answer. */
export type LogFields = Readonly<Record<string, unknown>>;

const minimumLevel: Readonly<Record<LogLevel, number>> = {
	debug: 2,
	info: 3,
	warn: 4,
	error: 5,
};

/** Log of one part; each message starts with the part's fixed prefix. */
export class Log {
	readonly #logger: Logger<unknown>;
	readonly #prefix: string;

	constructor(logger: Logger<unknown>, part: string) {
		this.#logger = logger;
		this.#prefix = `${part}: `;
	}

	/** Derives the log of another part. */
	part(part: string): Log {
		return new Log(this.#logger, part);
	}

	/** Logs what helps to find a fault. */
	debug(message: string, fields: LogFields = {}): void {
		this.#logger.debug(this.#prefix + message, fields);
	}

	/** Logs a change of state. */
	info(message: string, fields: LogFields = {}): void {
		this.#logger.info(this.#prefix + message, fields);
	}

	/** Logs a condition that an operator may have to act on. */
	warn(message: string, fields: LogFields = {}): void {
		this.#logger.warn(this.#prefix + message, fields);
	}

	/** Logs a failure with its cause. */
	error(message: string, error: unknown, fields: LogFields = {}): void {
		this.#logger.error(this.#prefix + message, error instanceof Error ? error : new Error(String(error)), fields);
	}
}

/** Creates the process's log; lines are JSON objects on standard output unless another type is chosen. */
export function createLog(level: LogLevel = 'info', type: 'json' | 'pretty' | 'hidden' = 'json'): Log {
	return new Log(new Logger<unknown>({type, minLevel: minimumLevel[level]}), 'process');
}
