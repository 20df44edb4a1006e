import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {ShareAllocator} from '../../../src/process/shares/share-allocator.ts';

const group = 'm';

describe('allotments', () => {
	// Guards against room that is promised twice when daemons know each other's demand.
	it('divides the whole room among daemons with fresh news', () => {
		fc.assert(fc.property(fc.array(fc.integer({min: 0, max: 1000}), {minLength: 2, maxLength: 8}), demands => {
			const daemons = demands.map(() => createAllotments(demands.length));
			for (let now = 0; now < 3000; now += 100) {
				exchange(daemons, demands, now);
			}

			const parts = daemons.map(daemon => daemon.capacityFraction(3000, group));
			// Own demand is known up to now and that of others up to their news, which is 100 ms old.
			const sum = parts.reduce((total, part) => total + part, 0);
			expect(sum).toBeGreaterThan(0.9);
			expect(sum).toBeLessThan(1.1);
			expect(Math.min(...parts)).toBeGreaterThan(0);
		}), {seed: 5, numRuns: 50});
	});

	// Guards against idle share that is not lent, and lent share that is not returned within two seconds.
	it('lends idle room and returns it within two seconds', () => {
		const daemons = [createAllotments(2), createAllotments(2)];
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

	// Guards against silence that is taken for idleness: lost news must not let a daemon take everything.
	it('keeps to an equal part when nothing is heard', () => {
		const daemon = createAllotments(4);
		daemon.recordArrival(0, createArrival(1000));
		expect(daemon.capacityFraction(300, group)).toBeCloseTo(0.25);
	});

	// Guards against old news that overtakes newer news.
	it('ignores news that is older than what it has', () => {
		const daemon = createAllotments(2);
		daemon.recordArrival(1000, createArrival(100));
		const usage = {customer: `*${group}`, waitingTokens: 0, intervalMs: 1000};
		daemon.recordRemoteUsage(1000, 'other', {...usage, tokens: 0});
		daemon.recordRemoteUsage(500, 'other', {...usage, tokens: 1e9});
		expect(daemon.capacityFraction(1200, group)).toBeGreaterThan(0.5);
	});
});

function createAllotments(daemons: number): ShareAllocator {
	const allotments = new ShareAllocator({share: () => 1});
	allotments.setDaemonCount(daemons);
	return allotments;
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
