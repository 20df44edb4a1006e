import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {FairQueue} from '../../../src/process/admission/fair-queue.ts';
import type {Ticket} from '../../../src/process/admission/ticket.ts';

describe('FairQueue', () => {
	// Guards against a customer that gets more than its weight by sending more or larger requests.
	it('serves customers with constant backlog in proportion to their weights', () => {
		const weight = fc.integer({min: 1, max: 20});
		const tokens = fc.integer({min: 1, max: 500});
		fc.assert(fc.property(weight, weight, tokens, tokens, (weightA, weightB, tokensA, tokensB) => {
			const queue = new FairQueue();
			const served = {a: 0, b: 0};
			for (let index = 0; index < 8000; index += 1) {
				const isA = index % 2 === 0;
				queue.push(createTicket(String(index), isA ? 'a' : 'b', isA ? tokensA : tokensB), isA ? weightA : weightB);
			}

			while (queue.lengthOf('a') > 200 && queue.lengthOf('b') > 200) {
				const ticket = queue.take()!;
				served[ticket.customer as 'a' | 'b'] += ticket.tokens;
			}

			const perWeightA = served.a / weightA;
			const perWeightB = served.b / weightB;
			// Allows a difference of one round.
			const round = 2 * (tokensA + tokensB) * 20;
			expect(Math.abs(perWeightA - perWeightB)).toBeLessThan((0.05 * Math.max(perWeightA, perWeightB)) + round);
		}), {numRuns: 50, seed: 1});
	});

	// Guards against lost, repeated and reordered requests of a customer.
	it('returns each ticket once, and the tickets of a customer in order', () => {
		const entry = fc.record({customer: fc.constantFrom('a', 'b', 'c'), tokens: fc.integer({min: 1, max: 5000}), isTaken: fc.boolean()});
		fc.assert(fc.property(fc.array(entry, {maxLength: 200}), entries => {
			const queue = new FairQueue();
			const taken: Ticket[] = [];
			for (const [index, {customer, tokens, isTaken}] of entries.entries()) {
				queue.push(createTicket(String(index), customer, tokens), 1);
				taken.push(...isTaken ? [queue.take()!] : []);
			}

			while (queue.length > 0) {
				taken.push(queue.take()!);
			}

			expect(taken).toHaveLength(entries.length);
			expect(queue.tokens).toBe(0);
			for (const customer of ['a', 'b', 'c']) {
				const order = taken.filter(ticket => ticket.customer === customer).map(({id}) => Number(id));
				expect(order).toEqual(order.toSorted((a, b) => a - b));
			}
		}), {seed: 2});
	});
});

function createTicket(id: string, customer: string, tokens: number): Ticket {
	return {
		id, customer, workClass: 'live', tokens, slots: 1, isLong: false, arrivedAt: 0, startBy: Infinity,
	};
}
