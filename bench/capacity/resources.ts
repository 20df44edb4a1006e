import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {median} from 'simple-statistics';

/** Returns the heap size of a value in bytes; throws unless Node.js runs with `--expose-gc`. */
export function measureHeap(create: () => unknown): number {
	const collect = globalThis.gc;
	if (collect === undefined) {
		throw new Error('Measuring heap size requires node --expose-gc.');
	}

	collect();
	const before = process.memoryUsage().heapUsed;
	const held = create();
	collect();
	const after = process.memoryUsage().heapUsed;
	return held === undefined ? 0 : after - before;
}

/** Returns the median over all rounds of the mean time per call, in microseconds. */
export function measureTime(call: () => unknown, {rounds, calls}: {readonly rounds: number; readonly calls: number}): number {
	const times = Array.from({length: rounds}, () => {
		const start = performance.now();
		for (let index = 0; index < calls; index += 1) {
			call();
		}

		return (performance.now() - start) * 1000 / calls;
	});
	return median(times);
}
