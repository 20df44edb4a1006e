import {Rate} from '../rate.ts';
import {FairQueue} from './fair-queue.ts';
import {
	queueKindOf, type AdmissionDecision, type QueueKind, type RefusalReason, type Ticket,
} from './ticket.ts';

/** Options of admission. */
export type AdmissionOptions = {
	/** Weight of a customer relative to the other customers with waiting tickets. */
	readonly weight: (customer: string) => number;
	/** Maximum number of tickets of one customer that wait in one queue kind. @default 1000 */
	readonly maxQueuedPerCustomer?: number;
	/** Fraction of the capacity that long live work may use. @default 0.3 */
	readonly longFraction?: number;
	/** Fraction of the capacity that is reserved for short live work. @default 0.15 */
	readonly reservedFraction?: number;
	/** Fraction of the capacity that aged patient work may use even if live work waits. @default 0.05 */
	readonly agedFraction?: number;
	/** Time after which waiting patient work counts as aged, in milliseconds. @default 10000 */
	readonly ageingDelayMs?: number;
};

const defaults = {
	maxQueuedPerCustomer: 1000,
	longFraction: 0.3,
	reservedFraction: 0.15,
	agedFraction: 0.05,
	ageingDelayMs: 10_000,
};

const queueKinds: readonly QueueKind[] = ['short', 'long', 'patient'];
const maxRetryAfterS = 30;
const rateTimeConstantMs = 1000;
/** Time for which the rate of a queue kind is measured before work is refused because of it. */
const rateWarmUpMs = 500;
/** Keeps the expected wait finite for a queue kind that is not served. */
const minTokensPerMs = 1e-6;

type Running = {
	readonly ticket: Ticket;
	slots: number;
};

/**
Decides when requests run.

Live work runs before patient work, customers get capacity by share, and short work never waits for long work. `now` is always in milliseconds.
*/
export class Admission {
	readonly #options: Required<AdmissionOptions>;
	readonly #queues: Readonly<Record<QueueKind, FairQueue>> = {
		short: new FairQueue(), long: new FairQueue(), patient: new FairQueue(),
	};

	readonly #rates: Readonly<Record<QueueKind, Rate>> = {
		short: new Rate(rateTimeConstantMs), long: new Rate(rateTimeConstantMs), patient: new Rate(rateTimeConstantMs),
	};

	readonly #usedSlots: Record<QueueKind, number> = {short: 0, long: 0, patient: 0};
	readonly #running = new Map<string, Running>();
	/** Running patient tickets, oldest first. */
	readonly #runningPatient = new Map<string, Running>();
	#capacitySlots: number;
	/** Number of long tickets in prefill. */
	#longPrefills = 0;

	constructor(capacitySlots: number, options: AdmissionOptions) {
		this.#capacitySlots = capacitySlots;
		this.#options = {...defaults, ...options};
	}

	/** Number of slots in use. */
	get usedSlots(): number {
		return this.#usedSlots.short + this.#usedSlots.long + this.#usedSlots.patient;
	}

	/** Number of waiting tickets. */
	get waiting(): number {
		return queueKinds.reduce((sum, queueKind) => sum + this.#queues[queueKind].length, 0);
	}

	/** Returns the cost of a customer's waiting tickets, in tokens. */
	waitingTokens(customer: string): number {
		return queueKinds.reduce((sum, queueKind) => sum + this.#queues[queueKind].tokensOf(customer), 0);
	}

	/** Grants, queues or refuses a ticket. */
	offer(now: number, ticket: Ticket): readonly AdmissionDecision[] {
		const queueKind = queueKindOf(ticket);
		const queue = this.#queues[queueKind];
		if (queue.lengthOf(ticket.customer) >= this.#options.maxQueuedPerCustomer) {
			return [this.#refuse(now, ticket, 'queue_full')];
		}

		if (this.#expectedWaitMs(now, ticket) > ticket.startBy - now) {
			return [this.#refuse(now, ticket, 'deadline')];
		}

		queue.push(ticket, this.#options.weight(ticket.customer));
		return this.decide(now);
	}

	/** Frees the slots that a ticket used for prefill, once its first token has arrived. */
	firstToken(now: number, id: string): readonly AdmissionDecision[] {
		const running = this.#running.get(id);
		if (running === undefined || running.slots <= 1) {
			return [];
		}

		const queueKind = queueKindOf(running.ticket);
		this.#usedSlots[queueKind] += 1 - running.slots;
		this.#longPrefills -= queueKind === 'long' ? 1 : 0;
		running.slots = 1;
		return this.decide(now);
	}

	/** Releases a granted ticket, or removes a waiting one. */
	finish(now: number, ticket: Ticket): readonly AdmissionDecision[] {
		if (!this.#release(ticket.id)) {
			this.#queues[queueKindOf(ticket)].remove(ticket);
		}

		return this.decide(now);
	}

	/** Changes the capacity. */
	resize(now: number, capacitySlots: number): readonly AdmissionDecision[] {
		this.#capacitySlots = capacitySlots;
		return this.decide(now);
	}

	/** Refuses tickets whose deadline has passed and grants those that fit; to be called about every 100 ms. */
	tick(now: number): readonly AdmissionDecision[] {
		const expired = queueKinds.flatMap(queueKind => this.#queues[queueKind].takeHeadsWhile(({startBy}) => startBy < now));
		return [...expired.map(ticket => this.#refuse(now, ticket, 'deadline')), ...this.decide(now)];
	}

	/** Refuses all waiting tickets, since nothing serves them any more. */
	refuseWaiting(now: number): readonly AdmissionDecision[] {
		const waiting = queueKinds.flatMap(queueKind => this.#queues[queueKind].takeHeadsWhile(() => true));
		return waiting.map(ticket => this.#refuse(now, ticket, 'no_upstream'));
	}

	/** Grants tickets that fit, live work first, and preempts patient work to free capacity for short live work. */
	decide(now: number): readonly AdmissionDecision[] {
		const decisions: AdmissionDecision[] = [];
		for (const queueKind of queueKinds) {
			const queue = this.#queues[queueKind];
			for (let ticket = queue.peek(); ticket !== undefined; ticket = queue.peek()) {
				if (!this.#fits(now, queueKind, ticket) && !this.#preemptFor(now, queueKind, ticket, decisions)) {
					break;
				}

				queue.take();
				this.#grant(now, queueKind, ticket, decisions);
			}
		}

		return decisions;
	}

	#grant(now: number, queueKind: QueueKind, ticket: Ticket, decisions: AdmissionDecision[]): void {
		const running = {ticket, slots: ticket.slots};
		this.#running.set(ticket.id, running);
		if (queueKind === 'patient') {
			this.#runningPatient.set(ticket.id, running);
		}

		this.#usedSlots[queueKind] += ticket.slots;
		this.#longPrefills += queueKind === 'long' && ticket.slots > 1 ? 1 : 0;
		this.#rates[queueKind].add(now, ticket.tokens);
		decisions.push({kind: 'grant', ticket});
	}

	#fits(now: number, queueKind: QueueKind, ticket: Ticket): boolean {
		const {longFraction, reservedFraction, agedFraction, ageingDelayMs} = this.#options;
		const longCapacity = this.#capacitySlots * longFraction;
		// A long prompt that exceeds the capacity for long work is prefilled alone, and counts as that capacity only.
		const used = this.#usedSlots.short + this.#usedSlots.patient + Math.min(this.#usedSlots.long, longCapacity);
		const {slots} = ticket;
		switch (queueKind) {
			case 'short': {
				return used === 0 || used + slots <= this.#capacitySlots;
			}

			case 'long': {
				const fitsLongCapacity = this.#longPrefills === 0 || this.#usedSlots.long + slots <= longCapacity;
				return fitsLongCapacity && (used === 0 || used + Math.min(slots, longCapacity) <= this.#capacitySlots * (1 - reservedFraction));
			}

			case 'patient': {
				const isAged = now - ticket.arrivedAt >= ageingDelayMs && this.#usedSlots.patient + slots <= Math.max(slots, this.#capacitySlots * agedFraction);
				const hasLiveWaiting = this.#queues.short.length + this.#queues.long.length > 0;
				return isAged || (!hasLiveWaiting && (used === 0 || used + slots <= this.#capacitySlots * (1 - reservedFraction)));
			}
		}
	}

	/** Preempts patient work for a short ticket, youngest first, but leaves patient work the capacity that is reserved for aged tickets. */
	#preemptFor(now: number, queueKind: QueueKind, ticket: Ticket, decisions: AdmissionDecision[]): boolean {
		if (queueKind !== 'short') {
			return false;
		}

		const agedCapacity = this.#capacitySlots * this.#options.agedFraction;
		const missing = this.usedSlots + ticket.slots - this.#capacitySlots;
		if (this.#usedSlots.patient - agedCapacity < missing) {
			return false;
		}

		for (const {ticket: victim} of [...this.#runningPatient.values()].toReversed()) {
			if (this.#fits(now, queueKind, ticket)) {
				break;
			}

			this.#release(victim.id);
			decisions.push({kind: 'preempt', ticket: victim});
		}

		return true;
	}

	#release(id: string): boolean {
		const running = this.#running.get(id);
		if (running === undefined) {
			return false;
		}

		const queueKind = queueKindOf(running.ticket);
		this.#usedSlots[queueKind] -= running.slots;
		this.#longPrefills -= queueKind === 'long' && running.slots > 1 ? 1 : 0;
		this.#running.delete(id);
		this.#runningPatient.delete(id);
		return true;
	}

	/** Estimates the time until the customer's earlier tickets of the same kind are served, at the recent rate of that kind. */
	#expectedWaitMs(now: number, ticket: Ticket): number {
		const queueKind = queueKindOf(ticket);
		const queue = this.#queues[queueKind];
		const tokensAhead = queue.tokensOf(ticket.customer);
		if (tokensAhead === 0 || this.#rates[queueKind].ageMs(now) < rateWarmUpMs) {
			return 0;
		}

		const rate = Math.max(this.#rates[queueKind].perMs(now), minTokensPerMs);
		const weight = this.#options.weight(ticket.customer);
		const weightFraction = weight / Math.max(weight, queue.activeWeight);
		return Math.min(tokensAhead / (rate * weightFraction), queue.tokens / rate);
	}

	#refuse(now: number, ticket: Ticket, reason: RefusalReason): AdmissionDecision {
		const waitS = Math.ceil(this.#expectedWaitMs(now, ticket) / 1000);
		return {
			kind: 'refuse', ticket, reason, retryAfterS: Math.min(maxRetryAfterS, Math.max(1, waitS)),
		};
	}
}
