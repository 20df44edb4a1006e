/** Weight that an observation has left, from 1 down to 0; it falls to 1/e within `memoryMs`. A time ahead of `now` counts as the present. */
export function decay(observedAt: number, now: number, memoryMs: number): number {
	return Math.exp(Math.min(0, observedAt - now) / memoryMs);
}
