import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {ShareAllocator} from '../../../src/process/shares/share-allocator.ts';

const group = 'm';

describe('ShareAllocator', () => {
	// Guards against capacity that is allocated twice, or left unallocated, when daemons know each other's demand.
	it('divides the whole capacity among daemons with recent reports', () => {
		fc.assert(fc.property(fc.array(fc.integer({min: 0, max: 1000}), {minLength: 2, maxLength: 8}), demands => {
			const daemons = demands.map(() => createAllocator(demands.length));
			for (let now = 0; now < 3000; now += 100) {
				exchange(daemons, demands, now);
			}

			const parts = daemons.map(daemon => daemon.capacityFraction(3000, group));
			// A daemon knows its own demand up to now, and that of the others up to their reports, which are 100 ms old.
			const sum = parts.reduce((total, part) => total + part, 0);
			expect(sum).toBeGreaterThan(0.9);
			expect(sum).toBeLessThan(1.1);
			expect(Math.min(...parts)).toBeGreaterThan(0);
		}), {seed: 5, numRuns: 50});
	});

	// Guards against idle capacity that other daemons cannot use, and capacity that is not returned within two seconds.
	it('gives idle capacity to the other daemons and takes it back within two seconds', () => {
		const daemons = [createAllocator(2), createAllocator(2)];
		for (let now = 0; now <= 10_000; now += 500) {
			exchange(daemons, now < 6000 ? [1000, 0] : [1000, 1000], now);
			if (now === 5500) {
				expect(daemons[0]!.capacityFraction(now + 400, group)).toBeGreaterThan(0.8);
			}

			if (now >= 8000) {
				expect(daemons[0]!.capacityFraction(now + 400, group)).toBeLessThan(0.6);
			}
		}
	});

	// Guards against missing reports being taken for idleness, so that a daemon takes all the capacity when reports are lost.
	it('uses an equal fraction while it has no reports from the others', () => {
		const daemon = createAllocator(4);
		daemon.recordArrival(0, createArrival(1000));
		expect(daemon.capacityFraction(300, group)).toBeCloseTo(0.25);
	});

	// Guards against reports that arrive out of order.
	it('ignores a report that is older than the last one of the same daemon', () => {
		const daemon = createAllocator(2);
		daemon.recordArrival(1000, createArrival(100));
		const usage = {customer: `*${group}`, waitingTokens: 0, intervalMs: 1000};
		daemon.recordRemoteUsage(1000, 'other', {...usage, tokens: 0});
		daemon.recordRemoteUsage(500, 'other', {...usage, tokens: 1e9});
		expect(daemon.capacityFraction(1200, group)).toBeGreaterThan(0.5);
	});
});

function createAllocator(daemons: number): ShareAllocator {
	const allocator = new ShareAllocator({share: () => 1});
	allocator.setDaemonCount(daemons);
	return allocator;
}

function createArrival(tokens: number) {
	return {
		customer: 'a', group, tokens, isLong: false,
	};
}

function exchange(daemons: readonly ShareAllocator[], demands: readonly number[], now: number): void {
	for (const [index, daemon] of daemons.entries()) {
		daemon.recordArrival(now, createArrival(demands[index]!));
	}

	for (const [index, daemon] of daemons.entries()) {
		for (const usage of daemon.takeLocalUsage(now + 1, () => 0)) {
			for (const other of daemons) {
				if (other !== daemon) {
					other.recordRemoteUsage(now + 1, String(index), usage);
				}
			}
		}
	}
}
