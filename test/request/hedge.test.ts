import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {HedgePolicy} from '../../src/request/hedge.ts';

const slowAttempt = {
	isRepeatable: true, hasOutput: false, attempts: 1, tokens: 100, waitedMs: 10_000, prefillMs: 50,
};

describe('the hedging policy', () => {
	// Guards against a second run of unrepeatable work, and against useless hedges.
	it.each([
		[{}, true],
		[{isRepeatable: false}, false],
		[{hasOutput: true}, false],
		[{attempts: 2}, false],
		[{waitedMs: 40}, false],
	])('hedges an attempt with %o: %s', (change, expected) => {
		const policy = new HedgePolicy();
		policy.recordServed(10_000, 20);
		expect(policy.shouldHedge({...slowAttempt, ...change})).toBe(expected);
	});

	// Guards against extra work above 5% of the served work, in any order of served and slow requests.
	it('keeps extra work within its fraction of the served work', () => {
		fc.assert(fc.property(fc.array(fc.tuple(fc.boolean(), fc.integer({min: 1, max: 500})), {maxLength: 300}), events => {
			const policy = new HedgePolicy();
			let served = 0;
			let extra = 0;
			for (const [isServed, tokens] of events) {
				if (isServed) {
					policy.recordServed(tokens, 20);
					served += tokens;
				} else if (policy.shouldHedge({...slowAttempt, tokens})) {
					extra += tokens;
				}
			}

			expect(extra).toBeLessThanOrEqual((served * 0.05) + 1e-6);
		}), {seed: 6});
	});
});
