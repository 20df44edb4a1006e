import {describe, expect, test} from 'vitest';
import {AnswerLengths, type AnswerKind} from '../../../src/process/placement/answer-lengths.ts';
import {SeededRandom} from '../../../src/process/random.ts';

const kind: AnswerKind = {service: 'model', route: 'r', hintedTokens: undefined};

/** A draw from the log-normal distribution with median 1. */
function drawFactor(random: SeededRandom, spread: number): number {
	return Math.exp(spread * Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next()));
}

/** Mean error of the estimates as a factor, in octaves, for hints that are off by four times around the length or around a constant. */
function measureError(hints: 'true' | 'unrelated' | 'none', seed: number): number {
	const random = new SeededRandom(seed);
	const lengths = new AnswerLengths();
	let error = 0;
	for (let index = 0; index < 2000; index += 1) {
		const events = 30 * drawFactor(random, 1.5);
		const hint = (hints === 'true' ? events * 4 : 120) * drawFactor(random, Math.log(4));
		const answer = {...kind, hintedTokens: hints === 'none' ? undefined : hint};
		error += index < 1000 ? 0 : Math.abs(Math.log2(lengths.expect(answer, index * 50)! / events));
		lengths.observe(answer, events, index * 50);
	}

	return error / 1000;
}

describe('lengths of answers', () => {
	test('are unknown until an answer of the service has ended', () => {
		const lengths = new AnswerLengths();
		expect(lengths.expect(kind, 0)).toBeUndefined();
		lengths.observe({...kind, service: 'other'}, 5, 0);
		expect(lengths.expect(kind, 0)).toBeUndefined();
	});

	test('are expected to be those of the service until some of the route have ended, and those of the route until some with the hint have', () => {
		const lengths = new AnswerLengths();
		for (let count = 0; count < 50; count += 1) {
			lengths.observe({...kind, route: 'other'}, 100, 0);
		}

		expect(lengths.expect(kind, 0)).toBeCloseTo(100);
		for (let count = 0; count < 50; count += 1) {
			lengths.observe(kind, 10, 0);
		}

		expect(lengths.expect(kind, 0)).toBeCloseTo(((50 * 10) + (3 * 55)) / 53);
		expect(lengths.expect({...kind, hintedTokens: 900}, 0)).toBeCloseTo(lengths.expect(kind, 0)!);
		for (let count = 0; count < 50; count += 1) {
			lengths.observe({...kind, hintedTokens: 900}, 300, 0);
		}

		expect(lengths.expect({...kind, hintedTokens: 1000}, 0)).toBeGreaterThan(280);
		expect(lengths.expect({...kind, hintedTokens: 20}, 0)).toBeLessThan(200);
	});

	test('count by their mean, so that the few long ones are not left out', () => {
		const lengths = new AnswerLengths();
		for (let count = 0; count < 200; count += 1) {
			lengths.observe(kind, count % 10 === 0 ? 400 : 4, 0);
		}

		expect(lengths.expect(kind, 0)).toBeCloseTo(43.6);
	});

	test('are forgotten', () => {
		const lengths = new AnswerLengths();
		for (let count = 0; count < 500; count += 1) {
			lengths.observe(kind, 1000, 0);
		}

		for (let count = 0; count < 30; count += 1) {
			lengths.observe(kind, 10, 900_000);
		}

		expect(lengths.expect(kind, 900_000)).toBeLessThan(30);
	});

	test('are kept for a limited number of routes and hints', () => {
		const lengths = new AnswerLengths();
		for (let count = 0; count < 5000; count += 1) {
			lengths.observe({service: `s-${count % 7}`, route: `r-${count}`, hintedTokens: 1.5 ** (count % 300)}, 10, count);
		}

		expect(lengths.size).toBe(512);
		expect(lengths.expect({...kind, service: 's-1', hintedTokens: Number.MAX_VALUE}, 5000)).toBeCloseTo(10);
	});

	test.each([1, 2, 3])('are estimated better with hints that are off by four times and count tokens, and hardly worse with unrelated ones (seed %i)', seed => {
		expect(measureError('true', seed)).toBeLessThan(measureError('none', seed) * 0.9);
		expect(measureError('unrelated', seed)).toBeLessThan(measureError('none', seed) * 1.1);
	});
});
