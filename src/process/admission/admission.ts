import {Rate} from '../rate.ts';
import {FairQueue} from './fair-queue.ts';
import {
	queueKindOf, type AdmissionDecision, type QueueKind, type Ticket,
} from './ticket.ts';

/** Options of admission. */
export type AdmissionOptions = {
	/** Weight of a customer among those that wait. */
	readonly weight: (customer: string) => number;
	/** Tickets of one customer that may wait in one lane. @default 1000 */
	readonly maxQueuedPerCustomer?: number;
	/** Part of the room that long live work may take. @default 0.3 */
	readonly longFraction?: number;
	/** Part of the room that is kept for short live work. @default 0.15 */
	readonly reservedFraction?: number;
	/** Part of the room that patient work gets after the ageing time even when live work waits. @default 0.05 */
	readonly agedFraction?: number;
	/** Time after which waiting patient work uses the ageing part, in milliseconds. @default 10000 */
	readonly ageingDelayMs?: number;
};

const defaults = {
	maxQueuedPerCustomer: 1000,
	longFraction: 0.3,
	reservedFraction: 0.15,
	agedFraction: 0.05,
	ageingDelayMs: 10_000,
};

const lanes: readonly QueueKind[] = ['short', 'long', 'patient'];
const maxRetryAfterS = 30;
const rateTimeConstantMs = 1000;
/** Time after which the rate of a lane is known well enough to refuse work by it. */
const rateWarmUpMs = 500;
/** Keeps the expected wait finite in a lane that is not served. */
const minTokensPerMs = 1e-6;

type Running = {
	readonly ticket: Ticket;
	slots: number;
};

/** Decides when requests run: live before patient work, customers by share, short work never behind long work; `now` in milliseconds. */
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
	/** Patient tickets that run, oldest first. */
	readonly #runningPatient = new Map<string, Running>();
	#capacitySlots: number;
	/** Long tickets whose prompts are being processed. */
	#longPrefills = 0;

	constructor(roomSlots: number, options: AdmissionOptions) {
		this.#capacitySlots = roomSlots;
		this.#options = {...defaults, ...options};
	}

	/** Slots in use. */
	get usedSlots(): number {
		return this.#usedSlots.short + this.#usedSlots.long + this.#usedSlots.patient;
	}

	/** Tickets that wait. */
	get waiting(): number {
		return lanes.reduce((sum, lane) => sum + this.#queues[lane].length, 0);
	}

	/** Tokens that wait, by customer, for the usage exchange. */
	waitingTokens(customer: string): number {
		return lanes.reduce((sum, lane) => sum + this.#queues[lane].tokensOf(customer), 0);
	}

	/** Takes a ticket; it is granted, queued or refused. */
	offer(now: number, ticket: Ticket): readonly AdmissionDecision[] {
		const lane = queueKindOf(ticket);
		const queue = this.#queues[lane];
		if (queue.lengthOf(ticket.customer) >= this.#options.maxQueuedPerCustomer) {
			return [this.#refuse(now, ticket, 'queue_full')];
		}

		if (this.#expectedWaitMs(now, ticket) > ticket.startBy - now) {
			return [this.#refuse(now, ticket, 'deadline')];
		}

		queue.push(ticket, this.#options.weight(ticket.customer));
		return this.decide(now);
	}

	/** Returns the room that a prompt took once its first token has arrived. */
	firstToken(now: number, id: string): readonly AdmissionDecision[] {
		const running = this.#running.get(id);
		if (running === undefined || running.slots <= 1) {
			return [];
		}

		const lane = queueKindOf(running.ticket);
		this.#usedSlots[lane] += 1 - running.slots;
		this.#longPrefills -= lane === 'long' ? 1 : 0;
		running.slots = 1;
		return this.decide(now);
	}

	/** Ends a granted ticket, or drops one that waits. */
	finish(now: number, ticket: Ticket): readonly AdmissionDecision[] {
		if (!this.#release(ticket.id)) {
			this.#queues[queueKindOf(ticket)].remove(ticket);
		}

		return this.decide(now);
	}

	/** Changes the room. */
	resize(now: number, roomSlots: number): readonly AdmissionDecision[] {
		this.#capacitySlots = roomSlots;
		return this.decide(now);
	}

	/** Refuses tickets whose deadline has passed and grants what fits; call it every 100 ms or so. */
	tick(now: number): readonly AdmissionDecision[] {
		const expired = lanes.flatMap(lane => this.#queues[lane].takeHeadsWhile(({startBy}) => startBy < now));
		return [...expired.map(ticket => this.#refuse(now, ticket, 'deadline')), ...this.decide(now)];
	}

	/** Grants tickets that fit, live work first, and preempts patient work that holds up live work. */
	decide(now: number): readonly AdmissionDecision[] {
		const decisions: AdmissionDecision[] = [];
		for (const lane of lanes) {
			const queue = this.#queues[lane];
			for (let ticket = queue.peek(); ticket !== undefined; ticket = queue.peek()) {
				if (!this.#fits(now, lane, ticket) && !this.#preemptFor(now, lane, ticket, decisions)) {
					break;
				}

				queue.take();
				this.#grant(now, lane, ticket, decisions);
			}
		}

		return decisions;
	}

	#grant(now: number, lane: QueueKind, ticket: Ticket, decisions: AdmissionDecision[]): void {
		const running = {ticket, slots: ticket.slots};
		this.#running.set(ticket.id, running);
		if (lane === 'patient') {
			this.#runningPatient.set(ticket.id, running);
		}

		this.#usedSlots[lane] += ticket.slots;
		this.#longPrefills += lane === 'long' && ticket.slots > 1 ? 1 : 0;
		this.#rates[lane].add(now, ticket.tokens);
		decisions.push({kind: 'grant', ticket});
	}

	#fits(now: number, lane: QueueKind, ticket: Ticket): boolean {
		const {longFraction: longPart, reservedFraction: reservedPart, agedFraction: ageingPart, ageingDelayMs: ageingMs} = this.#options;
		const longRoom = this.#capacitySlots * longPart;
		// A long prompt larger than its part of the room is processed alone and takes that part, not more.
		const used = this.#usedSlots.short + this.#usedSlots.patient + Math.min(this.#usedSlots.long, longRoom);
		const {slots} = ticket;
		switch (lane) {
			case 'short': {
				return used === 0 || used + slots <= this.#capacitySlots;
			}

			case 'long': {
				const fitsPart = this.#longPrefills === 0 || this.#usedSlots.long + slots <= longRoom;
				return fitsPart && (used === 0 || used + Math.min(slots, longRoom) <= this.#capacitySlots * (1 - reservedPart));
			}

			case 'patient': {
				const isAged = now - ticket.arrivedAt >= ageingMs && this.#usedSlots.patient + slots <= Math.max(slots, this.#capacitySlots * ageingPart);
				const hasLiveWaiting = this.#queues.short.length + this.#queues.long.length > 0;
				return isAged || (!hasLiveWaiting && (used === 0 || used + slots <= this.#capacitySlots * (1 - reservedPart)));
			}
		}
	}

	/** Takes room from the youngest patient work, except from what the ageing part protects. */
	#preemptFor(now: number, lane: QueueKind, ticket: Ticket, decisions: AdmissionDecision[]): boolean {
		if (lane !== 'short') {
			return false;
		}

		const floor = this.#capacitySlots * this.#options.agedFraction;
		const missing = this.usedSlots + ticket.slots - this.#capacitySlots;
		if (this.#usedSlots.patient - floor < missing) {
			return false;
		}

		for (const {ticket: victim} of [...this.#runningPatient.values()].toReversed()) {
			if (this.#fits(now, lane, ticket)) {
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

		const lane = queueKindOf(running.ticket);
		this.#usedSlots[lane] -= running.slots;
		this.#longPrefills -= lane === 'long' && running.slots > 1 ? 1 : 0;
		this.#running.delete(id);
		this.#runningPatient.delete(id);
		return true;
	}

	/** Time until the ticket's customer has been served what it queued before, at the recent rate of the lane. */
	#expectedWaitMs(now: number, ticket: Ticket): number {
		const lane = queueKindOf(ticket);
		const queue = this.#queues[lane];
		const ahead = queue.tokensOf(ticket.customer);
		if (ahead === 0 || this.#rates[lane].ageMs(now) < rateWarmUpMs) {
			return 0;
		}

		const rate = Math.max(this.#rates[lane].perMs(now), minTokensPerMs);

		const weight = this.#options.weight(ticket.customer);
		const part = weight / Math.max(weight, queue.activeWeight);
		return Math.min(ahead / (rate * part), queue.tokens / rate);
	}

	#refuse(now: number, ticket: Ticket, reason: 'queue_full' | 'deadline'): AdmissionDecision {
		const waitS = Math.ceil(this.#expectedWaitMs(now, ticket) / 1000);
		return {
			kind: 'refuse', ticket, reason, retryAfterS: Math.min(maxRetryAfterS, Math.max(1, waitS)),
		};
	}
}
