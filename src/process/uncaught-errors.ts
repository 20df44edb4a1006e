import {writeSync} from 'node:fs';
import process from 'node:process';
import {inspect} from 'node:util';

/** Uncaught errors that are reported, at most; an error in a timer may repeat without end. */
const maxReportedErrors = 20;

let reportedErrors = 0;
let endProcess: ((error: unknown) => void) | undefined;

/**
Reports an error that nothing has handled, and ends the process.

A process that has begun to serve ends gracefully, because its other requests are not affected by the error. Errors during that
time are only reported.
*/
export function reportUncaughtError(error: unknown): void {
	reportedErrors += 1;
	if (reportedErrors <= maxReportedErrors) {
		writeError(error);
	}

	if (endProcess === undefined) {
		// Components that are still running would keep the process alive.
		// eslint-disable-next-line unicorn/no-process-exit
		process.exit(1);
	}

	if (reportedErrors === 1) {
		endProcess(error);
	}
}

/** Writes an error to standard error; an error that left this function would end the process at once. */
function writeError(error: unknown): void {
	try {
		// The default output of the runtime would start with the whole bundled file.
		writeSync(process.stderr.fd, `${formatError(error)}\n`);
	} catch {
		// Nobody reads standard error.
	}
}

/** Returns the stack of an error, or any other value as text. */
export function formatError(error: unknown): string {
	return error instanceof Error ? error.stack ?? error.message : inspect(error);
}

/** Installs the handlers of uncaught errors; before this, the runtime ends the process. */
export function handleUncaughtErrors(): void {
	process.on('uncaughtException', reportUncaughtError);
	process.on('unhandledRejection', reportUncaughtError);
}

/** Sets how a process that serves ends after its first uncaught error; until then it exits at once. */
export function endGracefully(end: (error: unknown) => void): void {
	endProcess = end;
}
