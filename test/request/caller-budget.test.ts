import {describe, expect, test} from 'vitest';
import {CallerBudget, type BodyAccount} from '../../src/request/caller-budget.ts';

const kibibyte = 1024;
const limitBytes = 800 * kibibyte;
/** Memory that bodies of more than 64 KiB may use. */
const largeBytes = 700 * kibibyte;

/** A budget whose refusals are recorded by name. */
class RecordedBudget {
	readonly budget = new CallerBudget(limitBytes);
	readonly refused: string[] = [];

	open(name: string, source: string, now: number): BodyAccount {
		return this.budget.open(source, now, reason => {
			this.refused.push(`${name}: ${reason}`);
		});
	}
}

describe('memory for request bodies', () => {
	test('is taken from a body that makes no progress before a larger one that does', () => {
		const recorded = new RecordedBudget();
		const {budget, refused} = recorded;
		const stalled = recorded.open('stalled', 'a', 0);
		const large = recorded.open('large', 'a', 0);
		budget.take(stalled, 200 * kibibyte, 0);
		budget.take(large, 500 * kibibyte, 0);
		budget.countPiece(large, 1, 900);
		const other = recorded.open('other', 'b', 1000);
		expect(budget.take(other, 100 * kibibyte, 1000)).toBe(true);
		expect(refused).toEqual(['stalled: stalled']);
	});

	test('is taken from the source that holds most, and there from the largest body', () => {
		const recorded = new RecordedBudget();
		const {budget, refused} = recorded;
		budget.take(recorded.open('a1', 'a', 0), 250 * kibibyte, 0);
		budget.take(recorded.open('a2', 'a', 0), 200 * kibibyte, 0);
		budget.take(recorded.open('b1', 'b', 0), 250 * kibibyte, 0);
		expect(budget.take(recorded.open('c1', 'c', 1), 100 * kibibyte, 1)).toBe(true);
		expect(refused).toEqual(['a1: memory']);
	});

	test('is refused to the newest of bodies of the same size and source', () => {
		const recorded = new RecordedBudget();
		const {budget, refused} = recorded;
		budget.take(recorded.open('first', 'a', 0), largeBytes / 2, 0);
		budget.take(recorded.open('second', 'a', 1), largeBytes / 2, 1);
		expect(budget.take(recorded.open('third', 'a', 2), largeBytes / 2, 2)).toBe(false);
		expect(refused).toEqual([]);
	});

	test('is kept for small bodies when large ones hold the rest', () => {
		const recorded = new RecordedBudget();
		const {budget} = recorded;
		const whole = recorded.open('whole', 'a', 0);
		budget.take(whole, largeBytes, 0);
		budget.endReading(whole);
		expect(budget.take(recorded.open('large', 'b', 1), 65 * kibibyte, 1)).toBe(false);
		expect(budget.take(recorded.open('small', 'b', 1), kibibyte, 1)).toBe(true);
	});

	test('is not taken from a body that was read completely, whose request may run', () => {
		const recorded = new RecordedBudget();
		const {budget, refused} = recorded;
		const whole = recorded.open('whole', 'a', 0);
		budget.take(whole, largeBytes, 0);
		budget.endReading(whole);
		expect(budget.take(recorded.open('other', 'b', 9000), largeBytes, 9000)).toBe(false);
		expect(refused).toEqual([]);
		budget.close(whole);
		expect(budget.heldBytes).toBe(0);
	});
});

describe('a body in very small pieces', () => {
	/** Counts pieces of one byte; returns the first refusal. */
	const send = (budget: CallerBudget, account: BodyAccount, pieces: number, now: number) => {
		for (let count = 0; count < pieces; count += 1) {
			const reason = budget.countPiece(account, 1, now);
			if (reason !== undefined) {
				return reason;
			}
		}

		return undefined;
	};

	test('is read to its end when it is alone', () => {
		const recorded = new RecordedBudget();
		expect(send(recorded.budget, recorded.open('only', 'a', 0), 1_000_000, 0)).toBe(undefined);
	});

	test('is refused beside another one', () => {
		const recorded = new RecordedBudget();
		const {budget} = recorded;
		send(budget, recorded.open('first', 'a', 0), 2000, 0);
		expect(send(budget, recorded.open('second', 'b', 0), 2000, 0)).toBe('pieces');
	});

	test('gives way to another one when it no longer makes progress', () => {
		const recorded = new RecordedBudget();
		const {budget, refused} = recorded;
		send(budget, recorded.open('first', 'a', 0), 2000, 0);
		expect(send(budget, recorded.open('second', 'b', 1000), 2000, 1000)).toBe(undefined);
		expect(refused).toEqual(['first: pieces']);
	});
});
