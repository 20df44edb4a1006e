import type {IncomingMessage, ServerResponse} from 'node:http';

/** Why the work on a request is cancelled. */
export type CancelReason = 'caller_gone' | 'deadline' | 'preempted';

/** Cancels the work when the caller closes its connection or its side of it; disposal ends the watch. */
export function cancelOnDisconnect(request: IncomingMessage, response: ServerResponse, controller: AbortController): Disposable {
	const {socket} = request;
	const cancel = () => {
		if (!response.writableFinished) {
			controller.abort('caller_gone' satisfies CancelReason);
		}
	};

	// A caller that has stopped reading delays the close of the response, but not the end of its own side.
	socket.once('end', cancel);
	response.once('close', cancel);
	return {
		[Symbol.dispose]() {
			socket.off('end', cancel);
			response.off('close', cancel);
		},
	};
}

/** Cancels the work after a number of milliseconds; disposal ends the wait. */
export function cancelOnDeadline(remainingMs: number | undefined, controller: AbortController): Disposable {
	const timer = remainingMs === undefined
		? undefined
		: setTimeout(() => {
			controller.abort('deadline' satisfies CancelReason);
		}, remainingMs);
	return {
		[Symbol.dispose]() {
			clearTimeout(timer);
		},
	};
}

/** Passes the abort of any given signal on to a new controller; disposal ends that. */
export function combineSignals(...signals: ReadonlyArray<AbortSignal | undefined>): Disposable & {readonly signal: AbortSignal} {
	const controller = new AbortController();
	const present = signals.filter(signal => signal !== undefined);
	const pass = () => {
		controller.abort(present.find(signal => signal.aborted)?.reason);
	};

	for (const signal of present) {
		signal.addEventListener('abort', pass);
	}

	if (present.some(signal => signal.aborted)) {
		pass();
	}

	return {
		signal: controller.signal,
		[Symbol.dispose]() {
			for (const signal of present) {
				signal.removeEventListener('abort', pass);
			}
		},
	};
}
