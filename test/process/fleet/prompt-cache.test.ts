import {describe, expect, test} from 'vitest';
import {PromptCache} from '../../../src/process/fleet/prompt-cache.ts';

const [shared, longer, own] = [{id: 'shared', tokens: 100}, {id: 'longer', tokens: 50}, {id: 'own', tokens: 10}] as const;

describe('prompt cache', () => {
	test('counts a part as cached only if all parts before it are cached', () => {
		const cache = new PromptCache(1000);
		cache.touch([longer]);
		expect(cache.missingTokens([shared, longer, own])).toBe(160);
		cache.touch([shared]);
		expect(cache.missingTokens([shared, longer, own])).toBe(10);
	});

	test('evicts the least recently used parts', () => {
		const cache = new PromptCache(150);
		cache.touch([shared]);
		cache.touch([longer]);
		cache.touch([shared]);
		cache.touch([own]);
		expect(cache.missingTokens([longer])).toBe(50);
		expect(cache.missingTokens([shared])).toBe(0);
		expect(cache.tokens).toBeLessThanOrEqual(150);
	});

	test('counts the tokens of a part once, however often it is used', () => {
		const cache = new PromptCache(1000);
		cache.touch([shared]);
		cache.touch([shared]);
		expect(cache.tokens).toBe(100);
	});
});
