import type {
	DutyAuthority, DutyResult, PlatformDuties, PoolOrder,
} from '../../ports/platform-duties.ts';
import type {Upstream} from '../../ports/upstream.ts';
import type {PoolScaling, Service} from '../../version/routes/route-configuration.ts';
import type {Clock} from '../clock.ts';
import type {LogValues} from '../fleet/decision-log.ts';
import {countNeededDecoders, type StageDemand} from '../stages/stage-sizer.ts';
import {PoolOrders} from './pool-orders.ts';
import {
	countAll, hasReclaimable, noCounts, type PoolCounts, type PoolKind,
} from './pool-plan.ts';
import {PoolSizer, type NeededSize} from './pool-sizer.ts';
import {PoolTarget} from './pool-target.ts';
import type {WorkRate} from './work-rates.ts';

/** Service whose number of upstreams is ordered, with its upstreams and the load on them. */
export type Pool = {
	readonly service: Service;
	readonly scaling: PoolScaling;
	/** Listed upstreams, with those that are leaving. */
	readonly upstreams: readonly Upstream[];
	readonly work: WorkRate;
	/** Undefined for services without stages. */
	readonly stages: StageDemand | undefined;
};

/** Number of upstreams of a service by zone and kind, for the metrics. */
export type PoolFigures = {
	readonly service: string;
	readonly availabilityZone: string;
	readonly kind: PoolKind;
	readonly desired: number;
	readonly present: number;
	/** Ordered and not listed yet. */
	readonly coming: number;
	readonly leaving: number;
};

/** Dependencies of the pool controller. */
export type PoolControllerOptions = {
	readonly clock: Clock;
	readonly log: {readonly write: (event: string, values?: LogValues) => void};
	readonly duties: PlatformDuties;
	/** Authority to order; undefined unless this daemon may act at this very moment. */
	readonly authority: () => DutyAuthority | undefined;
	readonly pools: () => readonly Pool[];
	readonly onOrdered: (order: PoolOrder, result: DutyResult) => void;
};

type PoolState = {
	readonly sizer: PoolSizer;
	readonly target: PoolTarget;
	readonly orders: PoolOrders;
	loweredAt: number;
	desired: PoolCounts;
	/** Numbers last logged. */
	logged: string;
};

/** Time in which the upstreams register at the start of a deployment, in milliseconds; a few intervals of their heartbeats. */
const registrationMs = 4000;
/** Orders sent in one tick, so that the platform's limit on such calls is left to others. */
const maxOrdersPerTick = 2;
/** Time between orders that reduce different zones under load, in milliseconds; in it the engines that are left take over the stages of those that leave. */
const lowerIntervalMs = 1000;

/**
Orders the numbers of upstreams of services from the platform, only while this daemon holds the duty.

All state is rebuilt from the list of upstreams and the load when the duty changes hands, so a new holder continues with the
numbers that are there, and repeats of orders are harmless because they name whole numbers.
*/
export class PoolController {
	readonly #options: PoolControllerOptions;
	#states = new Map<string, PoolState>();
	#fencing: number | undefined;
	/** Time at which the first upstreams were listed. */
	#listedAt: number | undefined;

	constructor(options: PoolControllerOptions) {
		this.#options = options;
	}

	/** Compares the upstreams with the need and sends the next orders; must be called a few times per second. */
	tick(): void {
		const authority = this.#options.authority();
		if (!this.#isListComplete() || authority === undefined) {
			return;
		}

		if (authority.fencing !== this.#fencing) {
			this.#fencing = authority.fencing;
			this.#states = new Map();
		}

		let left = maxOrdersPerTick;
		for (const pool of this.#options.pools()) {
			left -= this.#step(pool, authority, left);
		}
	}

	/** Numbers of upstreams by service, zone and kind; empty unless this daemon holds the duty. */
	figures(): readonly PoolFigures[] {
		return this.#options.authority() === undefined ? [] : this.#options.pools().flatMap(({service, scaling, upstreams}) => this.#describe(service.name, scaling, upstreams));
	}

	/** False until upstreams have been listed for a while: at the start of a deployment they register one after the other. */
	#isListComplete(): boolean {
		const now = this.#options.clock.now();
		if (this.#listedAt === undefined && this.#options.pools().some(({upstreams}) => upstreams.length > 0)) {
			this.#listedAt = now;
		}

		return this.#listedAt !== undefined && now - this.#listedAt >= registrationMs;
	}

	#describe(service: string, scaling: PoolScaling, upstreams: readonly Upstream[]): readonly PoolFigures[] {
		const state = this.#states.get(service);
		const present = countUpstreams(upstreams.filter(({isDraining}) => !isDraining));
		const leaving = countUpstreams(upstreams.filter(({isDraining}) => isDraining));
		const kinds: readonly PoolKind[] = hasReclaimable(scaling) ? ['ordinary', 'reclaimable'] : ['ordinary'];
		return state === undefined
			? []
			: [...scaling.zonePrices.keys()].flatMap(zone => kinds.map(kind => {
				const here = (present.get(zone) ?? noCounts)[kind];
				return {
					service,
					availabilityZone: zone,
					kind,
					desired: (state.desired.get(zone) ?? noCounts)[kind],
					present: here,
					coming: Math.max(0, (state.orders.ordered(zone, kind) ?? 0) - here),
					leaving: (leaving.get(zone) ?? noCounts)[kind],
				};
			}));
	}

	/** Sends the next orders for one service; returns their number. */
	#step(pool: Pool, authority: DutyAuthority, maxOrders: number): number {
		const {scaling, service: {name}, work, stages} = pool;
		const now = this.#options.clock.now();
		const state = this.#state(name);
		const serving = pool.upstreams.filter(({isDraining}) => !isDraining);
		const present = countUpstreams(serving);
		const size = state.sizer.computeSize(
			{work, stages, isComplete: state.desired.size > 0 && serving.length >= countAll(state.desired)},
			{isHeadroomCheap: hasReclaimable(scaling), zones: scaling.zonePrices.size},
			now,
		);
		state.desired = state.target.update({
			scaling, size, present, limit: state.orders.limit(present, now),
		}, now);
		this.#logTarget(name, state, size, serving.length);
		const isIdle = work.busy === 0 && (stages?.runs ?? 0) === 0;
		const mayLower = isIdle || (now - state.loweredAt >= lowerIntervalMs && areStagesServed(serving, stages));
		const due = state.orders.due({
			scaling, desired: state.desired, present, mayLower,
		}, now);
		const isLower = ({availabilityZone, isReclaimable, count}: PoolOrder) => count < (present.get(availabilityZone) ?? noCounts)[isReclaimable ? 'reclaimable' : 'ordinary'];
		const raising = due.filter(order => !isLower(order));
		const lowering = due.filter(order => isLower(order));
		const zone = lowering[0]?.availabilityZone;
		const orders = [...raising, ...lowering.filter(({availabilityZone}) => isIdle || availabilityZone === zone)].slice(0, maxOrders);
		for (const order of orders) {
			state.loweredAt = isLower(order) ? now : state.loweredAt;
			state.orders.started(order, present, scaling, now);
			void this.#send(order, authority, state.orders);
		}

		return orders.length;
	}

	async #send(order: PoolOrder, authority: DutyAuthority, orders: PoolOrders): Promise<void> {
		const {duties, clock, log, onOrdered} = this.#options;
		const {fencing} = authority;
		log.write('pool.ordered', {...order, fencing});
		// Opening the connection may take a while, so the authority is checked again right before the order is written.
		const isHeld = () => this.#options.authority()?.fencing === fencing;
		let result: DutyResult;
		try {
			result = await duties.orderPool(order, authority, isHeld);
		} catch (error) {
			log.write('pool.failed', {service: order.service, availabilityZone: order.availabilityZone, cause: error instanceof Error ? error.message : String(error)});
			result = 'unknown';
		}

		orders.ended(order, result, clock.now());
		onOrdered(order, result);
		log.write('pool.answered', {...order, fencing, result});
	}

	#logTarget(service: string, state: PoolState, size: NeededSize, present: number): void {
		const desired = Object.fromEntries(state.desired);
		const text = JSON.stringify(desired);
		if (text !== state.logged) {
			state.logged = text;
			this.#options.log.write('pool.target', {
				service, total: countAll(state.desired), present, needed: size.total, neededAfterLoss: size.afterLoss, decoders: size.decoders, mayShrink: size.mayShrink, desired,
			});
		}
	}

	#state(service: string): PoolState {
		const known = this.#states.get(service) ?? {
			sizer: new PoolSizer(), target: new PoolTarget(), orders: new PoolOrders(service), loweredAt: Number.NEGATIVE_INFINITY, desired: new Map(), logged: '',
		};
		this.#states.set(service, known);
		return known;
	}
}

/** Numbers of upstreams by availability zone and kind. */
function countUpstreams(upstreams: readonly Upstream[]): PoolCounts {
	const counts = new Map<string, Record<PoolKind, number>>();
	for (const {availabilityZone, isReclaimable} of upstreams) {
		const inZone = counts.get(availabilityZone) ?? {...noCounts};
		inZone[isReclaimable === true ? 'reclaimable' : 'ordinary'] += 1;
		counts.set(availabilityZone, inZone);
	}

	return counts;
}

/** True if enough engines decode, some of them in each zone that has more than one; then some may leave without stopping a stage. */
function areStagesServed(serving: readonly Upstream[], stages: StageDemand | undefined): boolean {
	const engines = serving.filter(({stage}) => stage !== undefined);
	const decoders = engines.filter(({stage}) => stage === 'decode');
	const decodeZones = new Set(decoders.map(({availabilityZone}) => availabilityZone));
	const counts = countUpstreams(engines);
	return stages === undefined
		|| (decoders.length >= countNeededDecoders(stages) && decoders.length < engines.length
			&& [...counts].every(([zone, {ordinary, reclaimable}]) => ordinary + reclaimable < 2 || decodeZones.has(zone)));
}
