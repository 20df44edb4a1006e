/** Admission serves customers in proportion to their weights, and runs patient work only in capacity that live work leaves free. */
import assert from 'node:assert/strict';
import {Admission, type AdmissionDecision, type Ticket} from '../src/index.ts';

const weights = new Map([['press', 3], ['desk', 1]]);
const admission = new Admission(1, {weight: customer => weights.get(customer) ?? 1});
const ticketsPerCustomer = 30;
const served: Ticket[] = [];
let running: Ticket | undefined;

function createTicket(customer: string, index: number, workClass: Ticket['workClass'] = 'live'): Ticket {
	return {
		id: `${customer}-${workClass}-${index}`, customer, workClass, tokens: 100, slots: 1, isLong: false, arrivedAt: 0, startBy: 60_000,
	};
}

function apply(decisions: readonly AdmissionDecision[]): void {
	for (const decision of decisions) {
		assert.equal(decision.kind, 'grant');
		running = decision.ticket;
		served.push(decision.ticket);
	}
}

for (let index = 0; index < ticketsPerCustomer; index += 1) {
	apply(admission.offer(0, createTicket('press', index)));
	apply(admission.offer(0, createTicket('desk', index)));
}

apply(admission.offer(0, createTicket('desk', 0, 'patient')));
for (let now = 1; running !== undefined; now += 1) {
	const finished: Ticket = running;
	running = undefined;
	apply(admission.finish(now, finished));
}

const early = served.slice(0, 20).filter(({customer}) => customer === 'press').length;
assert.ok(early >= 13 && early <= 17);
assert.equal(served.length, (2 * ticketsPerCustomer) + 1);
assert.equal(served.at(-1)?.workClass, 'patient');
console.log(`${early} of the first 20 requests belong to the customer with weight 3 of 4; patient work ran last.`);
