import {setImmediate} from 'node:timers/promises';

/**
Resolves after the event loop has read all sockets once more.

The first iteration ends the current one. Each iteration accepts one connection; its first request is read in the next one.
*/
export async function readPendingEvents(iterations = 2): Promise<void> {
	for (let count = 0; count < iterations; count += 1) {
		await setImmediate();
	}
}

/** Callers are owed an answer to what they sent more than 200 ms ago. */
const recentMs = 100;
/** Bounds the wait on a host that is overloaded, since a stopping process is killed after its grace period. */
const maxRounds = 3;

/**
Resolves once all sockets have been read within the last 100 ms.

Between the reading and the end of a round, other work may hold the event loop while requests arrive; the round is then repeated,
unless the deadline, in milliseconds of the steady clock, has passed.
*/
export async function readRecentEvents(iterations?: number, deadlineAt = Number.POSITIVE_INFINITY): Promise<void> {
	for (let round = 0; round < maxRounds; round += 1) {
		const startedAt = performance.now();
		await readPendingEvents(iterations);
		const now = performance.now();
		if (now - startedAt < recentMs || now >= deadlineAt) {
			return;
		}
	}
}
