import process from 'node:process';

/** Signals that ask a daemon to stop or to read its settings again. */
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
Sets what is done at a signal, and hands over those that came before.

Without a handler a signal ends the process; this module is loaded first, so that only the start of the runtime itself is left.
*/
export function handleSignals(handle: (signal: DaemonSignal) => void): void {
	handler = handle;
	for (const signal of pendingSignals.splice(0)) {
		handle(signal);
	}
}
