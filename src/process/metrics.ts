import {
	collectDefaultMetrics, Counter, Gauge, Histogram, Registry,
} from 'prom-client';
import type {CallerLimit} from '../connection/caller-connection.ts';
import type {Host} from '../ports/host-list.ts';
import {AttemptListener, type AttemptEnd, type Attempt} from '../request/attempt-listener.ts';
import type {BudgetRefusal} from '../request/caller-budget.ts';
import type {RunState} from '../request/caller-error.ts';

/** Finished request, as recorded by the metrics. */
export type EndedRequest = {
	readonly kind: 'model' | 'service' | 'none';
	readonly customer: string | undefined;
	/** Error code, or `ok`. */
	readonly code: string;
	readonly ran: RunState;
	readonly firstByteMs?: number;
	readonly totalMs: number;
};

const overflowLabel = 'other';
const maxCustomerLabels = 20;
const maxServesLabels = 64;
const durationBucketsS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.74, 1, 2.5, 5, 10, 30, 60];

/** Metrics of one daemon; each label has a bounded number of values. */
export class Metrics extends AttemptListener {
	readonly #registry = new Registry();
	readonly #customers = new Set<string>();
	readonly #serves = new Set<string>();
	readonly #requests = new Counter({
		name: 'wagtailtack_requests_total', help: 'Finished requests', labelNames: ['kind', 'code', 'ran'], registers: [this.#registry],
	});

	readonly #customerRequests = new Counter({
		name: 'wagtailtack_customer_requests_total', help: 'Finished requests by customer; customers above the limit count as "other"', labelNames: ['customer'], registers: [this.#registry],
	});

	readonly #attempts = new Counter({
		name: 'wagtailtack_attempts_total', help: 'Finished attempts to send a request to an upstream', labelNames: ['serves', 'outcome'], registers: [this.#registry],
	});

	readonly #openAttempts = new Gauge({name: 'wagtailtack_open_attempts', help: 'Attempts in progress', registers: [this.#registry]});

	readonly #callersLimited = new Counter({
		name: 'wagtailtack_callers_limited_total', help: 'Requests refused and connections closed at a limit on callers, by limit', labelNames: ['limit'], registers: [this.#registry],
	});

	readonly #firstByte = new Histogram({
		name: 'wagtailtack_first_byte_seconds', help: 'Time from admission to the first byte of the answer', labelNames: ['kind'], buckets: durationBucketsS, registers: [this.#registry],
	});

	readonly #duration = new Histogram({
		name: 'wagtailtack_request_seconds', help: 'Time from the arrival of a request to its end', labelNames: ['kind'], buckets: durationBucketsS, registers: [this.#registry],
	});

	constructor() {
		super();
		collectDefaultMetrics({register: this.#registry});
	}

	/** Registry to which other components can add metrics. */
	get registry(): Registry {
		return this.#registry;
	}

	/** Records a finished request. */
	requestEnded({kind, customer, code, ran, firstByteMs, totalMs}: EndedRequest): void {
		this.#requests.inc({kind, code, ran});
		this.#duration.observe({kind}, totalMs / 1000);
		if (firstByteMs !== undefined) {
			this.#firstByte.observe({kind}, firstByteMs / 1000);
		}

		if (customer !== undefined) {
			this.#customerRequests.inc({customer: boundLabel(this.#customers, customer, maxCustomerLabels)});
		}
	}

	/** Records a request that was refused, or a connection that was closed, at a limit on callers. */
	callerLimited(limit: CallerLimit | BudgetRefusal): void {
		this.#callersLimited.inc({limit});
	}

	attemptStarted(): void {
		this.#openAttempts.inc();
	}

	attemptEnded({upstream}: Attempt, {outcome}: AttemptEnd): void {
		this.#openAttempts.dec();
		this.#attempts.inc({serves: this.#servesLabel(upstream), outcome});
	}

	/** Formats all metrics in the Prometheus text format. */
	async format(): Promise<{readonly contentType: string; readonly text: string}> {
		return {contentType: this.#registry.contentType, text: await this.#registry.metrics()};
	}

	#servesLabel({serves}: Host): string {
		return boundLabel(this.#serves, serves, maxServesLabels);
	}
}

function boundLabel(known: Set<string>, value: string, limit: number): string {
	if (known.has(value)) {
		return value;
	}

	if (known.size >= limit) {
		return overflowLabel;
	}

	known.add(value);
	return value;
}
