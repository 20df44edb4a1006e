import process from 'node:process';
import {
	afterEach, beforeEach, expect, test, vi,
} from 'vitest';
import {RequestModel} from '../../fixtures/fleet/request-model.ts';

/** Seeds of one run, as FIRST-LAST; `REQUEST_MODEL_SEEDS=1-1000` runs more by hand. */
const [first = 1, last = first] = (process.env.REQUEST_MODEL_SEEDS ?? '1-12').split('-').map(Number);
const msPerSeed = 5000;

beforeEach(() => {
	vi.useFakeTimers({toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date']});
});

afterEach(() => {
	vi.useRealTimers();
});

test('a request that was read ends once and in time, runs once if it may not be repeated, and is not refused after it ran', async () => {
	const violations: string[] = [];
	for (let seed = first; seed <= last; seed += 1) {
		const found = await new RequestModel(seed).run();
		violations.push(...found.map(violation => `seed ${seed}: ${violation}`));
	}

	expect(violations).toEqual([]);
}, (last - first + 1) * msPerSeed);
