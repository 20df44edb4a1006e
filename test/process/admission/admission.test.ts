import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {Admission} from '../../../src/process/admission/admission.ts';
import {ConcurrencyLimit} from '../../../src/process/admission/concurrency-limit.ts';
import type {AdmissionDecision, Ticket} from '../../../src/process/admission/ticket.ts';

describe('Admission', () => {
	// Guards against long prompts that use up the capacity for short live work.
	it('reserves capacity for short work while long work runs', () => {
		const admission = new Admission(20, {weight: () => 1});
		const longs = [1, 2, 3].flatMap(index => admission.offer(0, create(`long${index}`, {slots: 5, isLong: true})));
		expect(kinds(longs)).toEqual(['grant']);
		const shorts = Array.from({length: 15}, (_, index) => admission.offer(0, create(`short${index}`))).flat();
		expect(kinds(shorts)).toEqual(Array.from({length: 15}, () => 'grant'));
	});

	// Guards against live work that waits for patient work, and against preempted work that is never resumed.
	it('preempts patient work for live work, and grants it again later', () => {
		const admission = new Admission(10, {weight: () => 1});
		for (let index = 0; index < 8; index += 1) {
			admission.offer(0, create(`patient${index}`, {workClass: 'patient'}));
		}

		const decisions = Array.from({length: 9}, (_, index) => admission.offer(1, create(`live${index}`))).flat();
		const preempted = decisions.filter(({kind}) => kind === 'preempt').map(({ticket}) => ticket);
		expect(kinds(decisions).filter(kind => kind === 'grant')).toHaveLength(9);
		expect(preempted.length).toBeGreaterThan(0);
		for (const ticket of preempted) {
			admission.offer(2, ticket);
		}

		const later = Array.from({length: 9}, (_, index) => admission.finish(3, create(`live${index}`))).flat();
		expect(later.filter(({kind}) => kind === 'grant')).toHaveLength(preempted.length);
	});

	// Guards against starvation of patient work under constant live load.
	it('grants aged patient work its fraction of the capacity while live work waits', () => {
		const admission = new Admission(10, {weight: () => 1, ageingDelayMs: 1000});
		for (let index = 0; index < 30; index += 1) {
			admission.offer(0, create(`live${index}`));
		}

		expect(admission.offer(0, create('patient', {workClass: 'patient'}))).toEqual([]);
		expect(admission.tick(1000)).toMatchObject([{kind: 'grant', ticket: {id: 'patient'}}]);
	});

	// Guards against requests that wait past their deadline, and requests that are refused while capacity is free.
	it('refuses only requests that cannot be admitted in time', () => {
		const admission = new Admission(1, {weight: () => 1});
		expect(kinds(admission.offer(0, create('first')))).toEqual(['grant']);
		expect(admission.offer(0, create('second', {startBy: 100}))).toEqual([]);
		expect(admission.tick(101)).toMatchObject([{
			kind: 'refuse', reason: 'deadline', ticket: {id: 'second'}, retryAfterS: 1,
		}]);
		expect(kinds(admission.finish(102, create('first')))).toEqual([]);
		expect(kinds(admission.offer(103, create('third', {startBy: 103})))).toEqual(['grant']);
	});

	// Guards against tickets that are lost or granted twice, and capacity that is exceeded or leaked, in any order of events.
	it('accounts for every ticket and stays within its capacity', () => {
		const event = fc.record({
			kind: fc.constantFrom('offer', 'offer', 'finish', 'firstToken', 'tick'),
			lane: fc.constantFrom('short', 'long', 'patient'),
			slots: fc.integer({min: 1, max: 6}),
			customer: fc.constantFrom('a', 'b'),
		});
		fc.assert(fc.property(fc.array(event, {maxLength: 150}), events => {
			const admission = new Admission(20, {weight: customer => customer === 'a' ? 1 : 3});
			const running = new Map<string, Ticket>();
			const open = new Set<string>();
			const apply = (decisions: readonly AdmissionDecision[]) => {
				for (const {kind, ticket} of decisions) {
					expect(kind === 'preempt').toBe(running.has(ticket.id));
					expect(open.has(ticket.id)).toBe(true);
					if (kind === 'grant') {
						running.set(ticket.id, ticket);
					} else {
						running.delete(ticket.id);
						open.delete(ticket.id);
					}
				}
			};

			for (const [index, {kind, lane, slots, customer}] of events.entries()) {
				const now = index * 10;
				const [first] = running.values();
				if (kind === 'offer') {
					const ticket = create(`t${index}`, {
						customer, slots, isLong: lane === 'long', workClass: lane === 'patient' ? 'patient' : 'live', startBy: now + 200, arrivedAt: now,
					});
					open.add(ticket.id);
					apply(admission.offer(now, ticket));
				} else if (kind === 'finish' && first !== undefined) {
					running.delete(first.id);
					open.delete(first.id);
					apply(admission.finish(now, first));
				} else if (kind === 'firstToken' && first !== undefined) {
					apply(admission.firstToken(now, first.id));
				} else {
					apply(admission.tick(now));
				}

				expect(open.size).toBe(running.size + admission.waiting);
				// Long prompts count at most as the capacity for long work, and an aged patient ticket may exceed the total capacity.
				expect(admission.usedSlots).toBeLessThanOrEqual(20 + 6 + 6);
			}
		}), {seed: 3});
	});
});

describe('ConcurrencyLimit', () => {
	// Guards against a limit that grows while tokens are late, or shrinks when the load is not the cause.
	it.each([
		{msPerToken: 50, utilization: 1, change: -1},
		{msPerToken: 15, utilization: 1, change: 1},
		{msPerToken: 50, utilization: 0.1, change: 0},
	])('changes in direction $change at $msPerToken ms per token and a utilization of $utilization', ({msPerToken, utilization, change}) => {
		const limit = new ConcurrencyLimit({betweenTokensMs: 38, firstTokenMs: 740});
		const before = limit.slots;
		limit.update(1000, {msPerToken, firstTokenMs: 50}, utilization);
		expect(Math.sign(limit.slots - before)).toBe(change);
	});
});

function kinds(decisions: readonly AdmissionDecision[]): readonly string[] {
	return decisions.map(({kind}) => kind);
}

function create(id: string, change: Partial<Ticket> = {}): Ticket {
	return {
		id, customer: 'a', workClass: 'live', tokens: 50, slots: 1, isLong: false, arrivedAt: 0, startBy: Infinity, ...change,
	};
}
