/** Log levels that the settings accept, in ascending order of severity. */
export const logLevels = ['debug', 'info', 'warn', 'error'] as const;

/** Name of a log level. */
export type LogLevel = (typeof logLevels)[number];

/** Fields added to a log line; they must never contain a key, a prompt or an answer. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Destination of log lines. */
export type LogTarget = {
	readonly debug: (message: string, fields: LogFields) => unknown;
	readonly info: (message: string, fields: LogFields) => unknown;
	readonly warn: (message: string, fields: LogFields) => unknown;
	readonly error: (message: string, error: Error, fields: LogFields) => unknown;
};

/** Log of one component; each message is prefixed with the component's name. */
export class Log {
	readonly #target: LogTarget;
	readonly #prefix: string;

	constructor(target: LogTarget, component: string) {
		this.#target = target;
		this.#prefix = `${component}: `;
	}

	/** Creates the log of another component with the same target. */
	child(component: string): Log {
		return new Log(this.#target, component);
	}

	/** Logs details for troubleshooting. */
	debug(message: string, fields: LogFields = {}): void {
		this.#target.debug(this.#prefix + message, fields);
	}

	/** Logs a change of state. */
	info(message: string, fields: LogFields = {}): void {
		this.#target.info(this.#prefix + message, fields);
	}

	/** Logs a condition that may need action by an operator. */
	warn(message: string, fields: LogFields = {}): void {
		this.#target.warn(this.#prefix + message, fields);
	}

	/** Logs a failure with its cause. */
	error(message: string, error: unknown, fields: LogFields = {}): void {
		this.#target.error(this.#prefix + message, error instanceof Error ? error : new Error(String(error)), fields);
	}
}
