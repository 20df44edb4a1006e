import {
	PlatformDuties, type DutyAuthority, type DutyResult, type PoolOrder,
} from '../../../src/ports/platform-duties.ts';
import type {Stage, Upstream} from '../../../src/ports/upstream.ts';
import {ManualClock} from '../../../src/process/clock.ts';
import {WorkCounter} from '../../../src/process/pool/service-work.ts';
import {PoolController} from '../../../src/process/pool/pool-controller.ts';
import {WorkRates} from '../../../src/process/pool/work-rates.ts';
import {SeededRandom} from '../../../src/process/random.ts';
import type {StageDemand} from '../../../src/process/stages/stage-sizer.ts';
import type {PoolScaling} from '../../../src/version/routes/route-configuration.ts';
import {createModelService, createUpstream} from '../../fixtures/fleet/configuration.ts';

/** Kind of requests of the model. */
export type RequestKind = {
	/** Requests per second at a moment in seconds. */
	readonly perSecond: (second: number) => number;
	/** Mean engine time of one request, in milliseconds. */
	readonly workMs: number;
	readonly targetMs: number;
	readonly deadlineMs: number;
};

type Engine = {
	upstream: Upstream;
	servesFrom: number;
	leavesAt: number;
	busyUntil: number;
};

/** What callers got, and what it cost. */
export type ModelResult = {
	/** Share of the requests answered within their target. */
	readonly onTime: number;
	/** Price of each second. */
	readonly prices: readonly number[];
	/** Number of upstreams that accept work, at each second. */
	readonly present: readonly number[];
};

export const scaling: PoolScaling = {
	minUpstreams: 1, maxUpstreams: 49, bootMs: 4000, reclaimablePrice: 0.22, zonePrices: new Map([['a', 1], ['b', 0.8], ['c', 1.25], ['d', 0.9]]),
};

const stepMs = 50;
const ticksEveryMs = 250;
const drainMs = 3000;
const slots = 64;

/** Something that happens to the pool at a second. */
export type ModelEvent = {readonly second: number; readonly run: (model: PoolModel) => void};

/** Model of a pool: engines with a queue each, a platform that takes orders, and the controller; time passes in steps. */
export class PoolModel extends PlatformDuties {
	readonly clock = new ManualClock(0);
	readonly orders: PoolOrder[] = [];
	readonly results: DutyResult[] = [];
	/** Times of the orders, in milliseconds. */
	readonly times: number[] = [];
	/** Zones in which the model has engines that decode. */
	decodeZones: ReadonlySet<string> = new Set(scaling.zonePrices.keys());
	/** Time at which the first upstream of the start is listed, and the interval to each further one, in milliseconds. */
	startListingMs: readonly [number, number] = [0, 0];
	/** Called before the authority is checked for an order. */
	beforeOrder: (() => void) | undefined;
	/** Zones whose reclaimable upstreams are exhausted until a time in milliseconds. */
	readonly dryUntil = new Map<string, number>();
	/** Result of the next orders instead of what the platform would answer; the order is applied if it is `unknown`. */
	nextResults: DutyResult[] = [];
	authority: DutyAuthority | undefined = {holder: 'daemon-1', fencing: 1};
	/** Load on the stages; undefined if the engines have none. */
	stages: StageDemand | undefined;
	controller = this.#createController();
	/** Controller of the daemon that takes over the duty next; it knows the list of upstreams like the one of the holder. */
	#successor = this.#createController();
	readonly #engines: Engine[] = [];
	readonly #work = new WorkCounter();
	readonly #rates = new WorkRates(0);
	readonly #random = new SeededRandom(7);
	readonly #kinds: readonly RequestKind[];
	readonly #events: readonly ModelEvent[];
	#nextId = 0;

	constructor(kinds: readonly RequestKind[], start: number, events: readonly ModelEvent[] = []) {
		super();
		this.#kinds = kinds;
		this.#events = events;
		const zones = [...scaling.zonePrices.keys()];
		for (let index = 0; index < start; index += 1) {
			this.#add(zones[index % zones.length]!, false, 0);
		}
	}

	get upstreams(): readonly Upstream[] {
		return this.#engines
			.filter(({servesFrom, leavesAt, upstream}) => servesFrom <= this.clock.now() && this.clock.now() < leavesAt && (servesFrom > 0 || this.#isListed(upstream)))
			.map(({upstream}) => upstream.stage === 'decode' && !this.decodeZones.has(upstream.availabilityZone) ? {...upstream, stage: 'prefill' as const} : upstream);
	}

	get serving(): readonly Upstream[] {
		return this.upstreams.filter(({isDraining}) => !isDraining);
	}

	/** Replaces the controller, as when another daemon takes over the duty. */
	changeHolder(): void {
		this.authority = {holder: `daemon-${this.authority!.fencing + 1}`, fencing: this.authority!.fencing + 1};
		this.controller = this.#successor;
		this.#successor = this.#createController();
	}

	/** Takes all reclaimable upstreams of a zone away, and gives no new ones there for a while. */
	reclaim(zone: string, dryMs: number): void {
		this.dryUntil.set(zone, this.clock.now() + dryMs);
		this.drain(({availabilityZone, isReclaimable}) => availabilityZone === zone && isReclaimable === true);
	}

	/** Drains the upstreams that match. */
	drain(matches: (upstream: Upstream) => boolean): void {
		for (const engine of this.#engines.filter(({upstream}) => !upstream.isDraining && matches(upstream))) {
			engine.upstream = {...engine.upstream, isDraining: true};
			engine.leavesAt = this.clock.now() + drainMs;
		}
	}

	override async reportUsage(): Promise<DutyResult> {
		throw new Error('not used');
	}

	override async orderPool(order: PoolOrder, _authority: DutyAuthority, shouldStart: () => boolean): Promise<DutyResult> {
		this.beforeOrder?.();
		const result = shouldStart() ? this.#apply(order) : 'throttled';
		this.results.push(result);
		return result;
	}

	/** Lets time pass; requests arrive from the second `from` on. */
	async run(seconds: number, from = 0): Promise<ModelResult> {
		const present: number[] = [];
		const prices: number[] = [];
		let requests = 0;
		let onTime = 0;
		const events = [...this.#events];
		for (let now = 0; now < seconds * 1000; now += stepMs) {
			this.clock.advance(stepMs);
			while (events.length > 0 && events[0]!.second * 1000 <= now) {
				events.shift()!.run(this);
			}

			if (now >= from * 1000) {
				for (const kind of this.#kinds) {
					for (let left = kind.perSecond(now / 1000) * stepMs / 1000; this.#random.next() < left; left -= 1) {
						requests += 1;
						onTime += this.#serve(kind) ? 1 : 0;
					}
				}
			}

			if (now % ticksEveryMs === 0) {
				this.#rates.hear('daemon-1', this.#work.totals(['model']), this.clock.now(), true);
				this.controller.tick();
				this.#successor.tick();
				await Promise.resolve();
			}

			if (now % 1000 === 0) {
				present.push(this.serving.length);
				prices.push(this.#price());
			}
		}

		return {
			onTime: onTime / Math.max(1, requests), prices, present,
		};
	}

	async [Symbol.asyncDispose](): Promise<void> {
		// Holds nothing open.
	}

	#isListed({id}: Upstream): boolean {
		const [first, interval] = this.startListingMs;
		return this.clock.now() >= first + (interval * Number(id.slice(2)));
	}

	#apply(order: PoolOrder): DutyResult {
		this.orders.push(order);
		this.times.push(this.clock.now());
		const now = this.clock.now();
		const {availabilityZone: zone, isReclaimable, count} = order;
		const next = this.nextResults.shift();
		if (next !== undefined && next !== 'unknown') {
			return next;
		}

		const here = this.#engines.filter(({upstream}) => !upstream.isDraining && upstream.availabilityZone === zone && (upstream.isReclaimable ?? false) === isReclaimable);
		const others = this.#engines.filter(({upstream}) => !upstream.isDraining && upstream.availabilityZone === zone).length - here.length;
		if (count + others > scaling.maxUpstreams || count + others < scaling.minUpstreams) {
			return 'rejected';
		}

		if (isReclaimable && count > here.length && now < (this.dryUntil.get(zone) ?? 0)) {
			return 'exhausted';
		}

		for (let index = here.length; index < count; index += 1) {
			this.#add(zone, isReclaimable, now + scaling.bootMs);
		}

		const leaving = new Set(here.slice(count).map(({upstream}) => upstream.id));
		this.drain(({id}) => leaving.has(id));
		return next ?? 'accepted';
	}

	#price(): number {
		let sum = 0;
		for (const {availabilityZone, isReclaimable} of this.upstreams) {
			sum += scaling.zonePrices.get(availabilityZone)! * (isReclaimable === true ? scaling.reclaimablePrice! : 1);
		}

		return sum;
	}

	/** Runs a request on the engine that is free first; returns true if it is answered within its target. */
	#serve({workMs, targetMs, deadlineMs}: RequestKind): boolean {
		const now = this.clock.now();
		const ms = workMs * (0.2 - (0.8 * Math.log(1 - this.#random.next())));
		this.#work.arrived('model', ms);
		const engines = this.#engines.filter(({upstream, servesFrom}) => servesFrom <= now && !upstream.isDraining && upstream.stage === 'prefill');
		const [best] = engines.toSorted((a, b) => a.busyUntil - b.busyUntil);
		const endsAt = Math.max(now, best?.busyUntil ?? 0) + ms;
		if (best === undefined || endsAt > now + deadlineMs) {
			this.#work.refused('model', ms);
			return false;
		}

		best.busyUntil = endsAt;
		return endsAt <= now + targetMs;
	}

	#add(availabilityZone: string, isReclaimable: boolean, servesFrom: number): void {
		this.#nextId += 1;
		const stage: Stage = this.#nextId % 3 === 0 && this.decodeZones.has(availabilityZone) ? 'decode' : 'prefill';
		this.#engines.push({
			upstream: createUpstream({
				id: `u-${this.#nextId}`, availabilityZone, stage, slots, isReclaimable,
			}),
			servesFrom,
			leavesAt: Number.POSITIVE_INFINITY,
			busyUntil: 0,
		});
	}

	#createController(): PoolController {
		const controller: PoolController = new PoolController({
			clock: this.clock,
			log: {
				write() {
					// The tests look at orders only.
				},
			},
			duties: this,
			authority: () => this.controller === controller ? this.authority : undefined,
			pools: () => [{
				service: {...createModelService(), scaling}, scaling, upstreams: this.upstreams, work: this.#rates.measure('model', this.clock.now()), stages: this.stages,
			}],
			onOrdered() {
				// The model records orders itself.
			},
		});
		return controller;
	}
}
