import type {Ticket} from './ticket.ts';

/** Waiting tickets of one customer; an element of the circular list of customers with waiting tickets. */
type Flow = {
	readonly customer: string;
	readonly tickets: Ticket[];
	/** Index of the first ticket that has not been removed. */
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

/** One queue per customer with waiting tickets, served by deficit round robin in tokens; idle customers take neither memory nor time. */
export class FairQueue {
	readonly #flows = new Map<string, Flow>();
	/** Flow that is served next. */
	#current: Flow | undefined;
	#tokens = 0;
	#ticketCount = 0;
	#activeWeight = 0;
	/** Mean cost of tickets; as the base of the quantum it lets a customer of mean weight take about one ticket per round, so that `peek` needs few steps. */
	#meanTokens = initialMeanTokens;

	/** Number of waiting tickets. */
	get length(): number {
		return this.#ticketCount;
	}

	/** Cost of all waiting tickets, in tokens. */
	get tokens(): number {
		return this.#tokens;
	}

	/** Sum of the weights of the customers with waiting tickets. */
	get activeWeight(): number {
		return this.#activeWeight;
	}

	/** Returns the cost of a customer's waiting tickets, in tokens. */
	tokensOf(customer: string): number {
		return this.#flows.get(customer)?.tokens ?? 0;
	}

	/** Returns the number of a customer's waiting tickets. */
	lengthOf(customer: string): number {
		const flow = this.#flows.get(customer);
		return flow === undefined ? 0 : flow.tickets.length - flow.head;
	}

	/** Returns the next ticket to be served, or `undefined` if none waits. */
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

	/** Removes and returns the next ticket to be served. */
	take(): Ticket | undefined {
		const ticket = this.peek();
		if (ticket !== undefined) {
			const flow = this.#current!;
			flow.deficit -= ticket.tokens;
			this.#removeHead(flow);
		}

		return ticket;
	}

	/** Adds a ticket, and sets the weight of the customer's flow. */
	push(ticket: Ticket, weight: number): void {
		const flow = this.#flows.get(ticket.customer) ?? this.#createFlow(ticket.customer);
		this.#activeWeight += weight - flow.weight;
		flow.weight = weight;
		flow.tickets.push(ticket);
		this.#meanTokens += (ticket.tokens - this.#meanTokens) * meanTokensSmoothing;
		this.#adjustTotals(flow, ticket.tokens, 1);
	}

	/** Removes and returns tickets from the head of each customer's queue while they satisfy a condition. */
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

	/** Removes one ticket from any position; returns true if it was found. */
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
