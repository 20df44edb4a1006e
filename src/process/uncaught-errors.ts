import {writeSync} from 'node:fs';
import process from 'node:process';

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
		// The default output of the runtime would start with the whole bundled file.
		writeSync(process.stderr.fd, `${error instanceof Error ? error.stack : String(error)}\n`);
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

/** Installs the handlers of uncaught errors; before this, the runtime ends the process. */
export function handleUncaughtErrors(): void {
	process.on('uncaughtException', reportUncaughtError);
	process.on('unhandledRejection', reportUncaughtError);
}

/** Sets how a process that serves ends after its first uncaught error; until then it exits at once. */
export function endGracefully(end: (error: unknown) => void): void {
	endProcess = end;
}
