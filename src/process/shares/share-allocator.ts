import {Rate} from '../rate.ts';

/** Demand of one customer on one daemon, as daemons report it to each other. */
export type CustomerUsage = {
	/** Customer; or the total over all customers of a model or service, as `*name` for work that is not long and `*name long` for long work. */
	readonly customer: string;
	/** Tokens that arrived in the interval. */
	readonly tokens: number;
	/** Tokens that wait for admission. */
	readonly waitingTokens: number;
	/** Length of the interval, in milliseconds. */
	readonly intervalMs: number;
};

/** Work that arrives at this daemon. */
export type Arrival = {
	readonly customer: string;
	/** Model or plain service. */
	readonly group: string;
	readonly tokens: number;
	readonly isLong: boolean;
};

const groupPrefix = '*';
const longSuffix = ' long';

/** Demand of a customer on this daemon and on the others. */
type Demand = {
	readonly localRate: Rate;
	readonly remoteRates: Map<string, {readonly tokensPerMs: number; readonly at: number}>;
	/** Fraction of the share or capacity that falls to this daemon, from 0 to 1; recomputed at intervals. */
	fraction: number;
	computedAt: number;
	/** Tokens that arrived in the reporting interval `interval`. */
	recentTokens: number;
	/** Number of the reporting interval that `recentTokens` belongs to. */
	interval: number;
};

/** Options of the share allocator. */
export type ShareAllocatorOptions = {
	/** Share of a customer, relative to the shares of the others. */
	readonly share: (customer: string) => number;
	/** Age above which the usage that another daemon has reported no longer counts, in milliseconds. @default 2500 */
	readonly maxUsageAgeMs?: number;
	/** Maximum number of customers whose demand is reported in one interval. @default 16 */
	readonly maxReportedCustomers?: number;
};

const demandTimeConstantMs = 1200;
const recomputeIntervalMs = 200;
/** Fraction that is divided evenly, so that the first requests on an idle daemon do not wait and noise in the demand moves little capacity. */
const evenFraction = 0.25;
const remoteIdleTimeoutMs = 10_000;
const entriesPerIdleScan = 100;
const minTokensPerMs = 1e-6;
/** Customers with more than 1/64 of the recent demand are considered for the next report. */
const candidateDemandRatio = 64;

/**
Divides customers' shares and upstream capacity among the live daemons in proportion to the demand on each.

What one daemon does not use is available to the others. `now` is always in milliseconds.
*/
export class ShareAllocator {
	readonly #options: Required<ShareAllocatorOptions>;
	readonly #demands = new Map<string, Demand>();
	/** Names of the totals over all customers of a model or service. */
	readonly #groupTotals = new Set<string>();
	/** Customers that may be among those with the highest demand in this reporting interval. */
	readonly #topCandidates = new Set<string>();
	#recentTokens = 0;
	#interval = 0;
	#idleScan: Iterator<[string, Demand]> | undefined;
	#daemonCount = 1;

	constructor(options: ShareAllocatorOptions) {
		this.#options = {maxUsageAgeMs: 2500, maxReportedCustomers: 16, ...options};
	}

	/** Sets the number of live daemons, this one included. */
	setDaemonCount(count: number): void {
		this.#daemonCount = Math.max(1, count);
	}

	/** Records work that arrives at this daemon. */
	recordArrival(now: number, {customer, group, tokens, isLong}: Arrival): void {
		const demand = this.#getOrCreateDemand(customer);
		demand.localRate.add(now, tokens);
		this.#trackRecentDemand(customer, demand, tokens);
		// Long work is counted apart: it is rare, and must not move a model's capacity to the daemon that happens to receive it.
		const total = groupPrefix + group + (isLong ? longSuffix : '');
		this.#getOrCreateDemand(total).localRate.add(now, tokens);
		this.#groupTotals.add(total);
	}

	/** Records usage that another daemon has reported; its age counts from the time at which it was sent. */
	recordRemoteUsage(sentAt: number, origin: string, usage: CustomerUsage): void {
		const {remoteRates} = this.#getOrCreateDemand(usage.customer);
		if (usage.customer.startsWith(groupPrefix)) {
			// An idle daemon must report this total too, or the others would keep its fraction reserved.
			this.#groupTotals.add(usage.customer);
		}

		if ((remoteRates.get(origin)?.at ?? -Infinity) < sentAt) {
			remoteRates.set(origin, {tokensPerMs: usage.tokens / usage.intervalMs, at: sentAt});
		}
	}

	/** Returns the usage to report to the other daemons (the totals and the customers with the highest demand), and starts the next reporting interval. */
	takeLocalUsage(now: number, waitingTokens: (customer: string) => number): readonly CustomerUsage[] {
		this.#evictIdle(now);
		const usage = (customer: string): CustomerUsage => ({
			customer,
			tokens: (this.#demands.get(customer)?.localRate.perMs(now) ?? 0) * demandTimeConstantMs,
			waitingTokens: waitingTokens(customer),
			intervalMs: demandTimeConstantMs,
		});
		const customers = [...this.#topCandidates]
			.map(customer => usage(customer))
			.toSorted((a, b) => b.tokens - a.tokens)
			.slice(0, this.#options.maxReportedCustomers);
		this.#topCandidates.clear();
		this.#interval += 1;
		this.#recentTokens = 0;
		return [...[...this.#groupTotals].map(total => usage(total)), ...customers];
	}

	/** Returns the weight of a customer in this daemon's queues. */
	weight(now: number, customer: string): number {
		return this.#options.share(customer) * this.#daemonCount * this.#fraction(now, customer);
	}

	/** Returns the fraction of the capacity of a model's or service's upstreams that this daemon may use, from 0 to 1. */
	capacityFraction(now: number, group: string): number {
		return this.#fraction(now, groupPrefix + group);
	}

	/** Returns the fraction of long work in the demand for a model on all daemons, from 0 to 1. */
	longWorkFraction(now: number, group: string): number {
		const long = this.#totalRate(now, groupPrefix + group + longSuffix);
		return long === 0 ? 0 : long / (long + this.#totalRate(now, groupPrefix + group));
	}

	#totalRate(now: number, name: string): number {
		const demand = this.#demands.get(name);
		if (demand === undefined) {
			return 0;
		}

		let total = demand.localRate.perMs(now);
		for (const {tokensPerMs, at} of demand.remoteRates.values()) {
			total += now - at <= this.#options.maxUsageAgeMs ? tokensPerMs : 0;
		}

		return total;
	}

	#getOrCreateDemand(customer: string): Demand {
		let demand = this.#demands.get(customer);
		if (demand === undefined) {
			demand = {
				localRate: new Rate(demandTimeConstantMs), remoteRates: new Map(), fraction: 1 / this.#daemonCount, computedAt: -Infinity, recentTokens: 0, interval: 0,
			};
			this.#demands.set(customer, demand);
		}

		return demand;
	}

	#fraction(now: number, customer: string): number {
		const demand = this.#demands.get(customer);
		if (demand === undefined) {
			return 1 / this.#daemonCount;
		}

		if (now - demand.computedAt >= recomputeIntervalMs) {
			demand.fraction = this.#computeFraction(now, demand);
			demand.computedAt = now;
		}

		return demand.fraction;
	}

	/** Leaves an equal fraction to daemons without a recent report, because a missing report does not mean that a daemon is idle. */
	#computeFraction(now: number, {localRate, remoteRates}: Demand): number {
		const equalFraction = 1 / this.#daemonCount;
		let remoteDemand = 0;
		let reportingDaemons = 0;
		for (const {tokensPerMs, at} of remoteRates.values()) {
			if (now - at <= this.#options.maxUsageAgeMs) {
				remoteDemand += tokensPerMs;
				reportingDaemons += 1;
			}
		}

		const localDemand = localRate.perMs(now);
		const knownFraction = Math.min(1, (reportingDaemons + 1) * equalFraction);
		const total = localDemand + remoteDemand;
		const equalSplit = knownFraction / (reportingDaemons + 1);
		return total === 0 ? equalSplit : (evenFraction * equalSplit) + ((1 - evenFraction) * knownFraction * localDemand / total);
	}

	/** Keeps track of the customers that may have the highest demand, so that reports need not scan all customers. */
	#trackRecentDemand(customer: string, demand: Demand, tokens: number): void {
		if (demand.interval !== this.#interval) {
			demand.interval = this.#interval;
			demand.recentTokens = 0;
		}

		demand.recentTokens += tokens;
		this.#recentTokens += tokens;
		if (demand.recentTokens * candidateDemandRatio > this.#recentTokens) {
			this.#topCandidates.add(customer);
		}
	}

	/** Evicts customers without demand; scans a bounded number of entries per call. */
	#evictIdle(now: number): void {
		for (let step = 0; step < entriesPerIdleScan; step += 1) {
			this.#idleScan ??= this.#demands.entries();
			const next = this.#idleScan.next();
			if (next.done === true) {
				this.#idleScan = undefined;
				return;
			}

			const [name, {localRate, remoteRates}] = next.value;
			// Totals are kept and reported even when idle, because a missing report does not count as idleness.
			const isReported = this.#groupTotals.has(name) || remoteRates.values().some(({at}) => now - at < remoteIdleTimeoutMs);
			if (localRate.perMs(now) < minTokensPerMs && !isReported) {
				this.#demands.delete(name);
			}
		}
	}
}
