import type {AdmissionDecision, Ticket} from '../../src/process/admission/ticket.ts';

/** Baseline for `Admission`: one first-in, first-out queue that ignores work classes and shares and never refuses a request. */
export class PlainQueue {
	readonly #queue: Ticket[] = [];
	readonly #running = new Map<string, number>();
	#head = 0;
	#used = 0;
	#room: number;

	constructor(roomSlots: number) {
		this.#room = roomSlots;
	}

	get usedSlots(): number {
		return this.#used;
	}

	offer(_now: number, ticket: Ticket): readonly AdmissionDecision[] {
		this.#queue.push(ticket);
		return this.#decide();
	}

	firstToken(_now: number, id: string): readonly AdmissionDecision[] {
		const slots = this.#running.get(id);
		if (slots !== undefined) {
			this.#used += 1 - slots;
			this.#running.set(id, 1);
		}

		return this.#decide();
	}

	finish(_now: number, {id}: Ticket): readonly AdmissionDecision[] {
		this.#used -= this.#running.get(id) ?? 0;
		this.#running.delete(id);
		return this.#decide();
	}

	resize(_now: number, roomSlots: number): readonly AdmissionDecision[] {
		this.#room = roomSlots;
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
			if (this.#used > 0 && this.#used + ticket.slots > this.#room) {
				break;
			}

			this.#head += 1;
			this.#used += ticket.slots;
			this.#running.set(ticket.id, ticket.slots);
			decisions.push({kind: 'grant', ticket});
		}

		return decisions;
	}
}
