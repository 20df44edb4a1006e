import type {AdmissionDecision, Ticket} from '../../src/process/admission/ticket.ts';

/** Baseline for `Admission`: one first-in, first-out queue that ignores work classes and shares and never refuses a request. */
export class FifoAdmission {
	readonly #queue: Ticket[] = [];
	readonly #running = new Map<string, number>();
	#head = 0;
	#usedSlots = 0;
	#capacitySlots: number;

	constructor(roomSlots: number) {
		this.#capacitySlots = roomSlots;
	}

	get usedSlots(): number {
		return this.#usedSlots;
	}

	offer(_now: number, ticket: Ticket): readonly AdmissionDecision[] {
		this.#queue.push(ticket);
		return this.#decide();
	}

	firstToken(_now: number, id: string): readonly AdmissionDecision[] {
		const slots = this.#running.get(id);
		if (slots !== undefined) {
			this.#usedSlots += 1 - slots;
			this.#running.set(id, 1);
		}

		return this.#decide();
	}

	finish(_now: number, {id}: Ticket): readonly AdmissionDecision[] {
		this.#usedSlots -= this.#running.get(id) ?? 0;
		this.#running.delete(id);
		return this.#decide();
	}

	resize(_now: number, roomSlots: number): readonly AdmissionDecision[] {
		this.#capacitySlots = roomSlots;
		return this.#decide();
	}

	tick(): readonly AdmissionDecision[] {
		return [];
	}

	waitingTokens(): number {
		return 0;
	}

	#decide(): readonly AdmissionDecision[] {
		const decisions: AdmissionDecision[] = [];
		for (let ticket = this.#queue[this.#head]; ticket !== undefined; ticket = this.#queue[this.#head]) {
			if (this.#usedSlots > 0 && this.#usedSlots + ticket.slots > this.#capacitySlots) {
				break;
			}

			this.#head += 1;
			this.#usedSlots += ticket.slots;
			this.#running.set(ticket.id, ticket.slots);
			decisions.push({kind: 'grant', ticket});
		}

		return decisions;
	}
}
