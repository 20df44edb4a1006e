import process from 'node:process';

/** Signals that make a daemon stop or reload its settings. */
export type DaemonSignal = 'SIGTERM' | 'SIGHUP';

const pendingSignals: DaemonSignal[] = [];
let handler: ((signal: DaemonSignal) => void) | undefined;

function dispatchSignal(signal: DaemonSignal): void {
	if (handler === undefined) {
		pendingSignals.push(signal);
	} else {
		handler(signal);
	}
}

process.on('SIGTERM', () => {
	dispatchSignal('SIGTERM');
});
process.on('SIGHUP', () => {
	dispatchSignal('SIGHUP');
});

/**
Sets the signal handler and passes it the signals that arrived before.

Without a listener a signal terminates the process. This module is loaded first, so that this can only happen while the runtime itself starts.
*/
export function handleSignals(handle: (signal: DaemonSignal) => void): void {
	handler = handle;
	for (const signal of pendingSignals.splice(0)) {
		handle(signal);
	}
}
