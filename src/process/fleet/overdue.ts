/** A delivery ends at once when it is aborted; one that does not is answered for after this time. Callers are owed an answer within half a second of the deadline. */
const overdueMs = 200;

/** Waits for a delivery; throws if it has not ended some time after the deadline has passed or the caller has left. */
export async function runUntilOverdue<T>(running: Promise<T>, signal: AbortSignal): Promise<T> {
	const {promise, reject} = Promise.withResolvers<never>();
	let timer: NodeJS.Timeout | undefined;
	const startTimer = () => {
		timer = setTimeout(() => {
			reject(new Error(`The delivery did not end within ${overdueMs} ms after it was aborted.`));
		}, overdueMs);
	};

	signal.addEventListener('abort', startTimer);
	if (signal.aborted) {
		startTimer();
	}

	try {
		return await Promise.race([running, promise]);
	} finally {
		clearTimeout(timer);
		signal.removeEventListener('abort', startTimer);
	}
}
