import {setImmediate} from 'node:timers/promises';

/**
Resolves after the event loop has read all sockets once more.

The first iteration ends the current one. Reading the first request of a connection that waits to be accepted takes one more
than reading from an open connection.
*/
export async function readPendingEvents(iterations = 2): Promise<void> {
	for (let count = 0; count < iterations; count += 1) {
		await setImmediate();
	}
}
