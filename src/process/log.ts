/** Levels that the settings accept, in rising order of severity. */
export const logLevels = ['debug', 'info', 'warn', 'error'] as const;

/** Name of a log level. */
export type LogLevel = (typeof logLevels)[number];

/** Values added to a log line; never a key, a prompt or an answer. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Takes the lines of a log. */
export type LogTarget = {
	readonly debug: (message: string, fields: LogFields) => unknown;
	readonly info: (message: string, fields: LogFields) => unknown;
	readonly warn: (message: string, fields: LogFields) => unknown;
	readonly error: (message: string, error: Error, fields: LogFields) => unknown;
};

/** Log of one part; each message starts with the part's fixed prefix. */
export class Log {
	readonly #target: LogTarget;
	readonly #prefix: string;

	constructor(target: LogTarget, component: string) {
		this.#target = target;
		this.#prefix = `${component}: `;
	}

	/** Derives the log of another part. */
	child(part: string): Log {
		return new Log(this.#target, part);
	}

	/** Logs what helps to find a fault. */
	debug(message: string, fields: LogFields = {}): void {
		this.#target.debug(this.#prefix + message, fields);
	}

	/** Logs a change of state. */
	info(message: string, fields: LogFields = {}): void {
		this.#target.info(this.#prefix + message, fields);
	}

	/** Logs a condition that an operator may have to act on. */
	warn(message: string, fields: LogFields = {}): void {
		this.#target.warn(this.#prefix + message, fields);
	}

	/** Logs a failure with its cause. */
	error(message: string, error: unknown, fields: LogFields = {}): void {
		this.#target.error(this.#prefix + message, error instanceof Error ? error : new Error(String(error)), fields);
	}
}
