import type {Ticket} from './ticket.ts';

/** Waiting tickets of one customer, linked into the ring of customers that wait. */
type Flow = {
	readonly customer: string;
	readonly tickets: Ticket[];
	/** Index of the first ticket that was not taken. */
	head: number;
	tokens: number;
	deficit: number;
	weight: number;
	next: Flow;
	previous: Flow;
};

const compactionThreshold = 64;
const meanTokensSmoothing = 0.01;
const initialMeanTokens = 64;

/** Queues of customers with work, served by deficit round robin in tokens; idle customers cost nothing. */
export class FairQueue {
	readonly #flows = new Map<string, Flow>();
	/** Flow whose turn it is. */
	#current: Flow | undefined;
	#tokens = 0;
	#ticketCount = 0;
	#activeWeight = 0;
	/** Mean cost of tickets: a customer of mean weight gets about one ticket in a round, so that a turn takes few steps. */
	#meanTokens = initialMeanTokens;

	/** Tickets that wait. */
	get length(): number {
		return this.#ticketCount;
	}

	/** Tokens that wait. */
	get tokens(): number {
		return this.#tokens;
	}

	/** Sum of the weights of the customers that wait. */
	get activeWeight(): number {
		return this.#activeWeight;
	}

	/** Tokens of one customer that wait. */
	tokensOf(customer: string): number {
		return this.#flows.get(customer)?.tokens ?? 0;
	}

	/** Tickets of one customer that wait. */
	lengthOf(customer: string): number {
		const flow = this.#flows.get(customer);
		return flow === undefined ? 0 : flow.tickets.length - flow.head;
	}

	/** Oldest ticket of the customer whose turn it is, or undefined when none waits. */
	peek(): Ticket | undefined {
		while (this.#current !== undefined) {
			const flow = this.#current;
			const ticket = flow.tickets[flow.head]!;
			if (flow.deficit >= ticket.tokens) {
				return ticket;
			}

			this.#current = flow.next;
			this.#current.deficit += this.#quantum(this.#current);
		}

		return undefined;
	}

	/** Takes the ticket that `peek` returns. */
	take(): Ticket | undefined {
		const ticket = this.peek();
		if (ticket !== undefined) {
			const flow = this.#current!;
			flow.deficit -= ticket.tokens;
			this.#removeHead(flow);
		}

		return ticket;
	}

	/** Adds a ticket; the weight holds for the customer's flow from now on. */
	push(ticket: Ticket, weight: number): void {
		const flow = this.#flows.get(ticket.customer) ?? this.#createFlow(ticket.customer);
		this.#activeWeight += weight - flow.weight;
		flow.weight = weight;
		flow.tickets.push(ticket);
		this.#meanTokens += (ticket.tokens - this.#meanTokens) * meanTokensSmoothing;
		this.#adjustTotals(flow, ticket.tokens, 1);
	}

	/** Takes tickets from the heads of the queues while a condition holds for them. */
	takeHeadsWhile(condition: (ticket: Ticket) => boolean): readonly Ticket[] {
		const taken: Ticket[] = [];
		for (const flow of this.#flows.values()) {
			for (let ticket = flow.tickets[flow.head]; ticket !== undefined && condition(ticket); ticket = flow.tickets[flow.head]) {
				taken.push(ticket);
				this.#removeHead(flow);
			}
		}

		return taken;
	}

	/** Removes one ticket wherever it waits; true when it was found. */
	remove({id, customer}: Ticket): boolean {
		const flow = this.#flows.get(customer);
		const index = flow?.tickets.findIndex((ticket, place) => ticket.id === id && place >= flow.head) ?? -1;
		if (flow === undefined || index === -1) {
			return false;
		}

		const [ticket] = flow.tickets.splice(index, 1);
		this.#adjustTotals(flow, -ticket!.tokens, -1);
		this.#removeWhenEmpty(flow);
		return true;
	}

	#quantum({weight}: Flow): number {
		return this.#meanTokens * weight * this.#flows.size / this.#activeWeight;
	}

	#createFlow(customer: string): Flow {
		const flow = {
			customer, tickets: [], head: 0, tokens: 0, deficit: 0, weight: 0,
		} as unknown as Flow;
		const current = this.#current ?? flow;
		flow.next = current;
		flow.previous = this.#current?.previous ?? flow;
		flow.previous.next = flow;
		current.previous = flow;
		this.#current = current;
		this.#flows.set(customer, flow);
		return flow;
	}

	#removeHead(flow: Flow): void {
		const ticket = flow.tickets[flow.head]!;
		flow.head += 1;
		if (flow.head >= compactionThreshold && flow.head * 2 >= flow.tickets.length) {
			flow.tickets.splice(0, flow.head);
			flow.head = 0;
		}

		this.#adjustTotals(flow, -ticket.tokens, -1);
		this.#removeWhenEmpty(flow);
	}

	#adjustTotals(flow: Flow, tokens: number, count: number): void {
		flow.tokens += tokens;
		this.#tokens += tokens;
		this.#ticketCount += count;
	}

	#removeWhenEmpty(flow: Flow): void {
		if (flow.head < flow.tickets.length) {
			return;
		}

		flow.previous.next = flow.next;
		flow.next.previous = flow.previous;
		this.#flows.delete(flow.customer);
		this.#activeWeight -= flow.weight;
		if (this.#current === flow) {
			this.#current = this.#flows.size === 0 ? undefined : flow.next;
		}
	}
}
