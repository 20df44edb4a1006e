import {performance} from 'node:perf_hooks';
import {median} from 'simple-statistics';
import {Admission} from '../../src/process/admission/admission.ts';
import {slotCost, tokenCost} from '../../src/process/admission/cost.ts';
import type {Ticket} from '../../src/process/admission/ticket.ts';
import {LoadTable} from '../../src/process/load/load-table.ts';
import {SeededRandom} from '../../src/process/random.ts';
import {ShareAllocator} from '../../src/process/shares/share-allocator.ts';
import {HedgePolicy} from '../../src/request/hedge.ts';
import {atMost, type Measure, type Measurement} from '../measure.ts';
import {zones} from '../simulation/scenario.ts';

const replicas = 1000;
const models = 17;
const customers = 10_000;
const fewCustomers = 10;
const rounds = 5;
const requestsPerRound = 20_000;
const maxInFlightRequests = 2000;
const costBoundUs = 20;
/** Largest ratio that counts as no growth: the spread of repeated runs. */
const growthBound = 1.25;

/** Measures the processor time of all decisions for one request at the design size. */
export const decisionCost: Measure = {
	name: 'decision-cost',
	deterministic: false,
	async run(): Promise<readonly Measurement[]> {
		const {few, many} = measureCosts();
		return [
			atMost('decision cost for a request', many, 'us', {bound: costBoundUs, baseline: few}),
			atMost('decision cost growth from 10 to 10000 customers', many / few, 'ratio', {bound: growthBound, baseline: 1}),
		];
	},
};

/** Returns the median costs in microseconds; the workloads alternate, so that the state of heap and machine affects both equally. */
function measureCosts(): {readonly few: number; readonly many: number} {
	const workloads = {few: new DecisionWorkload(fewCustomers), many: new DecisionWorkload(customers)};
	const costs: Record<keyof typeof workloads, number[]> = {few: [], many: []};
	for (let round = -1; round < rounds; round += 1) {
		for (const name of ['few', 'many'] as const) {
			const costUs = timeRound(workloads[name]);
			if (round >= 0) {
				costs[name].push(costUs);
			}
		}
	}

	return {few: median(costs.few), many: median(costs.many)};
}

function timeRound(workload: DecisionWorkload): number {
	const start = performance.now();
	workload.run(requestsPerRound);
	return (performance.now() - start) * 1000 / requestsPerRound;
}

/** Runs requests through all decisions; each finished request frees capacity for a waiting one. */
class DecisionWorkload {
	readonly #random = new SeededRandom(51);
	readonly #loads = new LoadTable({availabilityZone: zones[0], random: this.#random});
	readonly #allocator = new ShareAllocator({share: () => 1});
	readonly #admissions: readonly Admission[];
	readonly #hedge = new HedgePolicy();
	readonly #running: Array<{readonly ticket: Ticket; readonly upstream: string; readonly model: number}> = [];
	readonly #customers: number;
	#now = 0;
	#count = 0;
	#tickedAt = 0;
	#usageSentAt = 0;

	constructor(customerCount: number) {
		this.#customers = customerCount;
		this.#loads.setUpstreams(0, Array.from({length: replicas}, (_, index) => ({
			id: `engine-${index}`, availabilityZone: zones[index % zones.length]!, group: `model-${index % models}`,
		})));
		this.#admissions = Array.from({length: models}, () => new Admission(maxInFlightRequests * 3 / models, {
			weight: customer => this.#allocator.weight(this.#now, customer),
		}));
	}

	run(requests: number): void {
		for (let index = 0; index < requests; index += 1) {
			this.#now += 0.2;
			this.#arrive();
			if (this.#running.length >= maxInFlightRequests) {
				this.#finish();
			}

			if (this.#now - this.#tickedAt >= 25) {
				this.#tickedAt = this.#now;
				this.#tick();
			}
		}
	}

	#arrive(): void {
		this.#count += 1;
		const model = this.#random.integer(models);
		const customer = `customer-${this.#random.integer(this.#customers)}`;
		const tokens = tokenCost(400, 40);
		this.#allocator.recordArrival(this.#now, {
			customer, group: `model-${model}`, tokens, isLong: false,
		});
		const ticket: Ticket = {
			id: String(this.#count), customer, workClass: 'live', tokens, slots: slotCost(400), isLong: false, arrivedAt: this.#now, startBy: this.#now + 2000,
		};
		this.#apply(model, this.#admissions[model]!.offer(this.#now, ticket));
	}

	#apply(model: number, decisions: ReturnType<Admission['offer']>): void {
		for (const {kind, ticket} of decisions) {
			if (kind !== 'grant') {
				continue;
			}

			const request = {
				group: `model-${model}`, promptTokens: 400, outputTokens: 40, prefix: `prefix-${this.#random.integer(2000)}`, prefixTokens: 100,
			};
			const upstream = this.#loads.choose(this.#now, request)!;
			this.#loads.start(this.#now, ticket.id, upstream, request);
			this.#running.push({ticket, upstream, model});
		}
	}

	#finish(): void {
		const {ticket, upstream, model} = this.#running.shift()!;
		this.#loads.firstToken(this.#now, ticket.id, upstream, 50);
		this.#hedge.recordServed(ticket.tokens, 20);
		this.#loads.observe(this.#now, upstream, 10, 200);
		this.#apply(model, this.#admissions[model]!.firstToken(this.#now, ticket.id));
		this.#loads.finish(this.#now, ticket.id, upstream);
		this.#apply(model, this.#admissions[model]!.finish(this.#now, ticket));
	}

	#tick(): void {
		for (const [model, admission] of this.#admissions.entries()) {
			this.#apply(model, admission.tick(this.#now));
		}

		if (this.#now - this.#usageSentAt >= 500) {
			this.#usageSentAt = this.#now;
			this.#allocator.takeLocalUsage(this.#now, customer => this.#admissions[0]!.waitingTokens(customer));
		}
	}
}
