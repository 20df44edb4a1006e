import type {IncomingMessage, ServerResponse} from 'node:http';

/** Reason for cancelling a request. */
export type CancelReason = 'caller_gone' | 'deadline' | 'preempted';

/** Aborts the controller when the caller closes or half-closes its connection before the response is finished; disposal removes the listeners. */
export function cancelOnDisconnect(request: IncomingMessage, response: ServerResponse, controller: AbortController): Disposable {
	const {socket} = request;
	const cancel = () => {
		if (!response.writableFinished) {
			controller.abort('caller_gone' satisfies CancelReason);
		}
	};

	// The response does not close while the caller reads nothing, but the end of the caller's side is still seen.
	socket.once('end', cancel);
	response.once('close', cancel);
	return {
		[Symbol.dispose]() {
			socket.off('end', cancel);
			response.off('close', cancel);
		},
	};
}

/** Aborts the controller after the remaining time, or at once if there is none; disposal clears the timer. */
export function cancelOnDeadline(remainingMs: number | undefined, controller: AbortController): Disposable {
	const cancel = () => {
		controller.abort('deadline' satisfies CancelReason);
	};

	// A timer would fire only after a send had begun.
	if (remainingMs !== undefined && remainingMs <= 0) {
		cancel();
	}

	const timer = remainingMs === undefined ? undefined : setTimeout(cancel, remainingMs);
	return {
		[Symbol.dispose]() {
			clearTimeout(timer);
		},
	};
}

/** Returns a signal that aborts when any of the given signals does; disposal removes the listeners. */
export function combineSignals(...signals: ReadonlyArray<AbortSignal | undefined>): Disposable & {readonly signal: AbortSignal} {
	const controller = new AbortController();
	const present = signals.filter(signal => signal !== undefined);
	const forwardAbort = () => {
		controller.abort(present.find(signal => signal.aborted)?.reason);
	};

	for (const signal of present) {
		signal.addEventListener('abort', forwardAbort);
	}

	if (present.some(signal => signal.aborted)) {
		forwardAbort();
	}

	return {
		signal: controller.signal,
		[Symbol.dispose]() {
			for (const signal of present) {
				signal.removeEventListener('abort', forwardAbort);
			}
		},
	};
}
