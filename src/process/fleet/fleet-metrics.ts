import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';
import type {AnswerLimit} from '../../connection/answer-guard.ts';
import type {DutyResult} from '../../ports/platform-duties.ts';
import type {CallerLimit} from '../../connection/caller-connection.ts';
import type {BudgetRefusal} from '../../request/caller-budget.ts';
import type {DeliveryResult} from '../../request/delivery/delivery.ts';
import type {RequestOutcome} from '../../request/open-request.ts';
import type {AccessChange, AccessRefusal} from '../accounts/access.ts';
import type {Route} from '../../version/routes/route-configuration.ts';

/** Values that are read at each scrape. */
export type FleetGauges = {
	readonly openRequests: () => number;
	readonly upstreams: () => number;
	readonly connectionsOpened: () => number;
	readonly limitedUpstreams: () => number;
	readonly pausedUpstreams: () => number;
	readonly configurationVersion: () => number;
	/** Weighted prompt tokens that are queued for client accounts beyond their share. */
	readonly excessTokens: () => number;
	readonly droppedLogLines: () => number;
	/** Times that a row of the platform's tables was read and dropped. */
	readonly droppedRows: () => number;
	/** 0 if the store names no epoch. */
	readonly storeEpoch: () => number;
	readonly storeRestores: () => number;
	/** Answers of the store whose epoch was no whole number or went back. */
	readonly unusableEpochs: () => number;
	readonly heldBodyBytes: () => number;
};

/** Values of the daemon that makes the calls of duties. */
export type DutyGauges = {
	readonly isHolder: () => boolean;
	readonly usageLagMs: () => number;
	readonly reachedDaemons: () => number;
};

const ratioBuckets = [0.25, 0.5, 0.75, 0.9, 1.1, 1.33, 2, 4, 8];
const secondsBuckets = [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2, 4, 8];

/** Metrics of one daemon on the operator's platform; all labels have a low cardinality. */
export class FleetMetrics {
	readonly #registry = new Registry();
	readonly #requests = new Counter({
		name: 'wagtailtack_route_requests_total', help: 'Completed requests, by kind of route and outcome', labelNames: ['kind', 'outcome'], registers: [this.#registry],
	});

	readonly #requestsRead = new Counter({
		name: 'wagtailtack_requests_read_total', help: 'Requests of which head and body were read completely', registers: [this.#registry],
	});

	readonly #requestsEnded = new Counter({
		name: 'wagtailtack_requests_ended_total', help: 'Requests that have ended, by outcome', labelNames: ['outcome'], registers: [this.#registry],
	});

	readonly #requestsUnanswered = new Counter({
		name: 'wagtailtack_requests_unanswered_total', help: 'Requests read completely without a complete answer, though neither caller nor upstream broke off', registers: [this.#registry],
	});

	readonly #sends = new Counter({
		name: 'wagtailtack_upstream_sends_total', help: 'Sends to upstreams, by kind of route', labelNames: ['kind'], registers: [this.#registry],
	});

	readonly #answersGivenUp = new Counter({
		name: 'wagtailtack_answers_given_up_total', help: 'Answers of upstreams that were given up at a limit, by limit', labelNames: ['limit'], registers: [this.#registry],
	});

	readonly #accessRefusals = new Counter({
		name: 'wagtailtack_access_refusals_total', help: 'Requests refused because of their key, by reason', labelNames: ['reason'], registers: [this.#registry],
	});

	readonly #callersLimited = new Counter({
		name: 'wagtailtack_callers_limited_total', help: 'Requests refused and connections closed at a limit on callers, by limit', labelNames: ['limit'], registers: [this.#registry],
	});

	readonly #firstAnswer = new Histogram({
		name: 'wagtailtack_first_answer_seconds', help: 'Time from arrival to the response or its first event', labelNames: ['kind', 'priority'], buckets: secondsBuckets, registers: [this.#registry],
	});

	readonly #estimates = new Histogram({
		name: 'wagtailtack_prefill_estimate_ratio', help: 'Measured duration of a prefill relative to its estimate, by work: a prefill apart, or the time to the first event of a whole request', labelNames: ['work'], buckets: ratioBuckets, registers: [this.#registry],
	});

	readonly #answerLengths = new Histogram({
		name: 'wagtailtack_answer_length_ratio', help: 'Events of an answer relative to their estimate, by whether the caller gave a hint of the length', labelNames: ['hint'], buckets: ratioBuckets, registers: [this.#registry],
	});

	readonly #duration = new Histogram({
		name: 'wagtailtack_route_request_seconds', help: 'Time from arrival to the end of a request', labelNames: ['kind'], buckets: secondsBuckets, registers: [this.#registry],
	});

	readonly #usageReports = new Counter({
		name: 'wagtailtack_usage_reports_total', help: 'Reports of usage sent to the platform, by result', labelNames: ['result'], registers: [this.#registry],
	});

	/** Registry to which parts of the daemon add metrics of their own. */
	get registry(): Registry {
		return this.#registry;
	}

	/** Registers gauges whose values are read at each scrape. */
	addGauges({
		openRequests, upstreams, connectionsOpened, limitedUpstreams, pausedUpstreams, configurationVersion, excessTokens, droppedLogLines, droppedRows, storeEpoch, storeRestores, unusableEpochs, heldBodyBytes,
	}: FleetGauges): void {
		this.#addGauge('wagtailtack_route_open_requests', 'Requests in flight', openRequests);
		this.#addGauge('wagtailtack_upstreams', 'Upstreams that accept work', upstreams);
		this.#addGauge('wagtailtack_upstream_connections_opened', 'Connections opened to upstreams', connectionsOpened);
		this.#addGauge('wagtailtack_limited_upstreams', 'Upstreams that name a limit on requests per second', limitedUpstreams);
		this.#addGauge('wagtailtack_paused_upstreams', 'Upstreams that want nothing from this daemon for a while', pausedUpstreams);
		this.#addGauge('wagtailtack_configuration_version', 'Version of the active configuration', configurationVersion);
		this.#addGauge('wagtailtack_excess_queued_tokens', 'Weighted prompt tokens that are queued for client accounts beyond their share', excessTokens);
		this.#addGauge('wagtailtack_log_lines_left_out', 'Log lines dropped to stay within the limits', droppedLogLines);
		this.#addGauge('wagtailtack_dropped_entries', 'Times that an entry of the platform was read and dropped, because it cannot be used', droppedRows);
		this.#addGauge('wagtailtack_store_epoch', 'Epoch of the store, which rises when the store is restored from an older copy; 0 if the store names none', storeEpoch);
		this.#addGauge('wagtailtack_store_restores', 'Restores of the store that this process has noticed', storeRestores);
		this.#addGauge('wagtailtack_store_epochs_unusable', 'Answers of the store whose epoch is no whole number or an earlier one', unusableEpochs);
		this.#addGauge('wagtailtack_request_body_bytes', 'Memory that request bodies hold', heldBodyBytes);
	}

	/** Registers the gauges of the daemon that makes the calls of duties; they are read at each scrape. */
	addDutyGauges({isHolder, usageLagMs, reachedDaemons}: DutyGauges): void {
		this.#addGauge('wagtailtack_duties_held', '1 while this daemon may make the calls of duties', () => isHolder() ? 1 : 0);
		this.#addGauge('wagtailtack_usage_lag_seconds', 'Time since the end of the first window that still needs a report of usage; 0 if none does', () => usageLagMs() / 1000);
		this.#addGauge('wagtailtack_usage_daemons_reached', 'Daemons whose counts the holder of duties has in the present round, with its own', reachedDaemons);
	}

	/** Records the result of a report of usage. */
	usageReported(result: DutyResult): void {
		this.#usageReports.inc({result});
	}

	/** Records a request of which head and body were read completely. */
	requestRead(): void {
		this.#requestsRead.inc();
	}

	/** Records the outcome of a request. */
	outcomeKnown(outcome: RequestOutcome): void {
		this.#requestsEnded.inc({outcome});
	}

	/** Records a request that got no complete answer through a fault of the daemon. */
	requestUnanswered(): void {
		this.#requestsUnanswered.inc();
	}

	/** Records an answer that was given up at a limit. */
	answerGivenUp(limit: AnswerLimit): void {
		this.#answersGivenUp.inc({limit});
	}

	/** Records a request that was refused because of its key, or whose sends ended with its access. */
	accessRefused(reason: AccessRefusal | Exclude<AccessChange, 'kept'>): void {
		this.#accessRefusals.inc({reason});
	}

	/** Records a request that was refused, or a connection that was closed, at a limit on callers. */
	callerLimited(limit: CallerLimit | BudgetRefusal): void {
		this.#callersLimited.inc({limit});
	}

	/** Records a request whose delivery has ended, successfully or not. */
	requestEnded({kind, priority}: Route, {outcome, sends, firstAnswerMs}: DeliveryResult, totalMs: number): void {
		this.#requests.inc({kind, outcome});
		this.#sends.inc({kind}, sends);
		this.#duration.observe({kind}, totalMs / 1000);
		if (firstAnswerMs !== undefined) {
			this.#firstAnswer.observe({kind, priority}, firstAnswerMs / 1000);
		}
	}

	/** Records the duration of a prefill, beside the estimate that it was placed with. */
	prefillEnded(work: 'apart' | 'whole', elapsedMs: number, predictedMs: number): void {
		this.#estimates.observe({work}, elapsedMs / Math.max(1, predictedMs));
	}

	/** Records the number of events of an answer, beside its estimate. */
	answerEnded(isHinted: boolean, events: number, expectedEvents: number): void {
		this.#answerLengths.observe({hint: String(isHinted)}, events / Math.max(1, expectedEvents));
	}

	/** Records a request that was refused before its delivery started. */
	requestRefused(kind: string, totalMs: number): void {
		this.#requests.inc({kind: 'none', outcome: kind});
		this.#duration.observe({kind: 'none'}, totalMs / 1000);
	}

	/** Formats all metrics as Prometheus text. */
	async format(): Promise<{readonly contentType: string; readonly text: string}> {
		return {contentType: this.#registry.contentType, text: await this.#registry.metrics()};
	}

	#addGauge(name: string, help: string, read: () => number): void {
		// The registry holds the gauge and collects it at each scrape.
		// eslint-disable-next-line no-new
		new Gauge({
			name,
			help,
			registers: [this.#registry],
			collect() {
				this.set(read());
			},
		});
	}
}
