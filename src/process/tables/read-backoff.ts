import type {Random} from '../random.ts';

const minBackoffMs = 100;
const maxBackoffMs = 600;
/** Factor on the backoff of daemons that are not readers, which hear from the readers when the store is back. */
const followerBackoffFactor = 4;

/** Time until the next attempt to read the store after consecutive failures, in milliseconds. */
export function backoffMs(failures: number, isReader: boolean, random: Random): number {
	const bound = Math.min(maxBackoffMs, minBackoffMs * (2 ** (failures - 1)));
	return bound * (0.5 + (random.next() / 2)) * (isReader ? 1 : followerBackoffFactor);
}
