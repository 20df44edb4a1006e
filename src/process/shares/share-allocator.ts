import {Rate} from '../rate.ts';

/** Demand of one customer at one daemon, as exchanged between daemons. */
export type CustomerUsage = {
	/** Customer; the sum over the customers of a model or service is told as `*` and its name, that of long work with ` long` added. */
	readonly customer: string;
	/** Tokens that arrived in the interval. */
	readonly tokens: number;
	/** Tokens that wait for admission. */
	readonly waitingTokens: number;
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

/** Demand of a customer at this daemon and at the others. */
type Demand = {
	readonly localRate: Rate;
	readonly remoteRates: Map<string, {readonly tokensPerMs: number; readonly at: number}>;
	/** Part of the demand that is at this daemon, and when it was computed. */
	fraction: number;
	computedAt: number;
	/** Tokens since the last news, when they belong to the present interval. */
	recentTokens: number;
	interval: number;
};

/** Options of the allotments. */
export type ShareAllocatorOptions = {
	/** Share of a customer, relative to the shares of the others. */
	readonly share: (customer: string) => number;
	/** Time after which a daemon's news no longer counts, in milliseconds. @default 2500 */
	readonly maxUsageAgeMs?: number;
	/** Customers whose demand is told to others at a time. @default 16 */
	readonly maxReportedCustomers?: number;
};

const demandTimeConstantMs = 1200;
const recomputeIntervalMs = 200;
/** Part that is divided evenly, so that the first requests of an idle daemon do not wait and noise moves little room. */
const evenFraction = 0.25;
const remoteIdleTimeoutMs = 10_000;
const entriesPerIdleScan = 100;
const minTokensPerMs = 1e-6;
/** A customer may be among the highest when its part of the recent demand is above 1 in this number. */
const candidateDemandRatio = 64;

/** Divides shares and room among the live daemons by where the demand is; what is idle at one daemon is lent to others; `now` in milliseconds. */
export class ShareAllocator {
	readonly #options: Required<ShareAllocatorOptions>;
	readonly #demands = new Map<string, Demand>();
	/** Names of the sums over customers. */
	readonly #groupTotals = new Set<string>();
	/** Customers with a large part of the demand since the last news. */
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

	/** Counts demand of a customer for a model or service that arrives at this daemon. */
	recordArrival(now: number, {customer, group, tokens, isLong}: Arrival): void {
		const demand = this.#getOrCreateDemand(customer);
		demand.localRate.add(now, tokens);
		this.#trackRecentDemand(customer, demand, tokens);
		// Rare long work must not move the room of a model to the daemon that happens to take it.
		const sum = groupPrefix + group + (isLong ? longSuffix : '');
		this.#getOrCreateDemand(sum).localRate.add(now, tokens);
		this.#groupTotals.add(sum);
	}

	/** Takes news of another daemon's demand; late news counts from when it was sent. */
	recordRemoteUsage(sentAt: number, origin: string, usage: CustomerUsage): void {
		const {remoteRates: others} = this.#getOrCreateDemand(usage.customer);
		if (usage.customer.startsWith(groupPrefix)) {
			// An idle daemon must say so, or the others keep its part free.
			this.#groupTotals.add(usage.customer);
		}

		if ((others.get(origin)?.at ?? -Infinity) < sentAt) {
			others.set(origin, {tokensPerMs: usage.tokens / usage.intervalMs, at: sentAt});
		}
	}

	/** News for the other daemons: the sums, and the customers with the highest demand. */
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
		return [...[...this.#groupTotals].map(sum => usage(sum)), ...customers];
	}

	/** Weight of a customer in this daemon's queues. */
	weight(now: number, customer: string): number {
		return this.#options.share(customer) * this.#daemonCount * this.#fraction(now, customer);
	}

	/** Part of the room of a model's or service's upstreams that this daemon may use. */
	capacityFraction(now: number, group: string): number {
		return this.#fraction(now, groupPrefix + group);
	}

	/** Part of long work in the demand for a model at all daemons. */
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

	/** Daemons without fresh news keep an equal part: silence is not idleness. */
	#computeFraction(now: number, {localRate: own, remoteRates: others}: Demand): number {
		const equal = 1 / this.#daemonCount;
		let othersDemand = 0;
		let heard = 0;
		for (const {tokensPerMs, at} of others.values()) {
			if (now - at <= this.#options.maxUsageAgeMs) {
				othersDemand += tokensPerMs;
				heard += 1;
			}
		}

		const ownDemand = own.perMs(now);
		const known = Math.min(1, (heard + 1) * equal);
		const total = ownDemand + othersDemand;
		const even = known / (heard + 1);
		return total === 0 ? even : (evenFraction * even) + ((1 - evenFraction) * known * ownDemand / total);
	}

	/** Keeps the customers that may be among the highest, so that news need not look at all of them. */
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

	/** Forgets customers without demand, a few in each call. */
	#evictIdle(now: number): void {
		for (let step = 0; step < entriesPerIdleScan; step += 1) {
			this.#idleScan ??= this.#demands.entries();
			const next = this.#idleScan.next();
			if (next.done === true) {
				this.#idleScan = undefined;
				return;
			}

			const [name, {localRate: own, remoteRates: others}] = next.value;
			// An idle daemon goes on telling its sums, because silence does not count as idleness.
			const hasOthers = this.#groupTotals.has(name) || others.values().some(({at}) => now - at < remoteIdleTimeoutMs);
			if (own.perMs(now) < minTokensPerMs && !hasOthers) {
				this.#demands.delete(name);
			}
		}
	}
}
