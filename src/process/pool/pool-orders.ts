import type {DutyResult, PoolOrder} from '../../ports/platform-duties.ts';
import type {PoolScaling} from '../../version/routes/route-configuration.ts';
import {
	countAll, listingMarginMs, noCounts, priceOf, type PoolCounts, type PoolKind, type PoolLimit,
} from './pool-plan.ts';

/** State of the orders for one kind of upstreams in one availability zone. */
type OrderState = {
	/** Last number ordered; undefined after an order that was not accepted. */
	readonly count: number | undefined;
	readonly orderedAt: number;
	readonly isPending: boolean;
	/** No order is sent before this time. */
	readonly notBefore: number;
	/** Orders in a row that were answered as exhausted. */
	readonly exhaustions: number;
	/** Orders in a row that were throttled or whose outcome is unknown. */
	readonly failures: number;
	/** Repeats in a row of an accepted order whose upstreams did not appear. */
	readonly repeats: number;
	/** Until this time no more upstreams are expected than there are. */
	readonly exhaustedUntil: number;
};

/** Desired, present and last ordered number of one kind of upstreams in one zone. */
type OrderEntry = {
	readonly zone: string;
	readonly kind: PoolKind;
	readonly wanted: number;
	readonly has: number;
	/** Last number ordered; that which is there if nothing was ordered. */
	readonly known: number;
	readonly state: OrderState;
};

/** What decides which orders are due. */
export type OrderInput = {
	readonly scaling: PoolScaling;
	readonly desired: PoolCounts;
	/** Upstreams that accept work. */
	readonly present: PoolCounts;
	/** True if the number of upstreams may fall now. */
	readonly mayLower: boolean;
};

const initial: OrderState = {
	count: undefined, orderedAt: Number.NEGATIVE_INFINITY, isPending: false, notBefore: Number.NEGATIVE_INFINITY, exhaustions: 0, failures: 0, repeats: 0, exhaustedUntil: Number.NEGATIVE_INFINITY,
};
const kinds: readonly PoolKind[] = ['ordinary', 'reclaimable'];
/** Bounds of the exponential delay before an order that was throttled or whose outcome is unknown is repeated, in milliseconds. */
const minRepeatDelayMs = 1000;
const maxRepeatDelayMs = 8000;
const rejectedDelayMs = 30_000;
/** Time after which an order without an outcome no longer holds up the next one, in milliseconds. */
const maxPendingMs = 10_000;
/** Bounds of the exponential delay before an exhausted kind is asked for again, in milliseconds. */
const minExhaustedMs = 3000;
const maxExhaustedMs = 24_000;
/** Repeats in a row of an accepted order without effect, from which a kind counts as exhausted in a zone. */
const maxRepeats = 2;
/** Part of the desired upstreams that may be missing while others are ordered away; also the least step by which they are. */
const maxMissingShare = 0.05;

/**
Decides which orders are sent for a service.

Orders name the whole number, so repeating one does no harm. Numbers rise before others fall: upstreams are only ordered away when
those that replace them serve. An order without effect is repeated, because the platform may have lost it or may have reclaimed the
upstreams since.
*/
export class PoolOrders {
	readonly #service: string;
	readonly #states = new Map<string, OrderState>();

	constructor(service: string) {
		this.#service = service;
	}

	/** Largest numbers of upstreams that can be expected. */
	limit(present: PoolCounts, now: number): PoolLimit {
		return (zone, kind) => now < this.#state(zone, kind).exhaustedUntil ? (present.get(zone) ?? noCounts)[kind] : Number.POSITIVE_INFINITY;
	}

	/** Orders to be sent now, the most urgent first; each must be followed by `started` and `ended`. */
	due(input: OrderInput, now: number): readonly PoolOrder[] {
		const {desired, present, scaling} = input;
		const entries = [...desired].flatMap(([zone, counts]) => kinds.map(kind => {
			const state = this.#state(zone, kind);
			const has = (present.get(zone) ?? noCounts)[kind];
			return {
				zone, kind, wanted: counts[kind], has, state, known: state.count ?? has,
			};
		}));
		const open = entries.filter(({state}) => now >= (state.isPending ? state.orderedAt + maxPendingMs : state.notBefore));
		const changed = open.filter(({wanted, has, known, state}) => wanted !== known || (has !== wanted && now - state.orderedAt >= scaling.bootMs + listingMarginMs));
		const raised = changed.filter(({wanted, has}) => wanted >= has).flatMap(entry => {
			const count = Math.min(entry.wanted, this.#room(input, entry.zone, entry.kind));
			const isRepeat = entry.wanted === entry.known;
			return count < entry.has || (count === entry.known && !isRepeat) ? [] : [{...entry, count}];
		});
		return [...raised, ...input.mayLower ? this.#reduce(input, entries, changed) : []].map(({zone, kind, count}) => ({
			service: this.#service, availabilityZone: zone, count, isReclaimable: kind === 'reclaimable',
		}));
	}

	/** Records that an order is sent; `present` is the number of such upstreams at that time. */
	started(order: PoolOrder, present: PoolCounts, scaling: PoolScaling, now: number): void {
		const {zone, kind} = keyOf(order);
		const state = this.#state(zone, kind);
		const has = (present.get(zone) ?? noCounts)[kind];
		const isRepeat = state.count === order.count && has < order.count && now - state.orderedAt < 2 * (scaling.bootMs + listingMarginMs);
		this.#set(zone, kind, {
			...state, count: order.count, isPending: true, orderedAt: now, repeats: isRepeat ? state.repeats + 1 : 0,
		});
	}

	/** Records the outcome of an order. */
	ended(order: PoolOrder, result: DutyResult, now: number): void {
		const {zone, kind} = keyOf(order);
		const {failures, ...last} = this.#state(zone, kind);
		const isUnanswered = result === 'throttled' || result === 'unknown';
		const state = {...last, failures: isUnanswered ? failures : 0, isPending: false};
		switch (result) {
			case 'accepted': {
				this.#set(zone, kind, state.repeats >= maxRepeats ? exhaust({...state, exhaustions: state.exhaustions + 1}, now) : {...state, exhaustions: 0});
				return;
			}

			case 'exhausted': {
				this.#set(zone, kind, exhaust({...state, count: undefined, exhaustions: state.exhaustions + 1}, now));
				return;
			}

			case 'rejected': {
				this.#set(zone, kind, {...state, count: undefined, notBefore: now + rejectedDelayMs});
				return;
			}

			case 'throttled':
			case 'unknown': {
				const delayMs = Math.min(maxRepeatDelayMs, minRepeatDelayMs * (2 ** state.failures));
				this.#set(zone, kind, {
					...state, count: undefined, failures: state.failures + 1, notBefore: now + delayMs,
				});
			}
		}
	}

	/** Last number ordered, by availability zone and kind. */
	ordered(availabilityZone: string, kind: PoolKind): number | undefined {
		return this.#state(availabilityZone, kind).count;
	}

	/** Reduces the numbers that save most, as long as enough upstreams serve without those that are ordered away. */
	#reduce({desired, scaling}: OrderInput, entries: readonly OrderEntry[], changed: readonly OrderEntry[]): ReadonlyArray<OrderEntry & {readonly count: number}> {
		const total = countAll(desired);
		let spare = -Math.ceil(total * (1 - maxMissingShare));
		for (const {has, known} of entries) {
			// Upstreams that were ordered away may still be listed as serving.
			spare += Math.min(has, known);
		}

		const minStep = Math.max(1, total * maxMissingShare);
		const savingOf = ({zone, kind, has, wanted}: OrderEntry) => (has - wanted) * priceOf(scaling, zone, kind);
		return changed.filter(({wanted, has}) => wanted < has).toSorted((a, b) => savingOf(b) - savingOf(a)).flatMap(entry => {
			const {has, known, wanted} = entry;
			const step = Math.min(has - wanted, spare + (has - Math.min(has, known)));
			const isOrdered = wanted !== known && has - step >= known;
			if (isOrdered || step < Math.min(has - wanted, minStep)) {
				return [];
			}

			spare -= Math.max(0, Math.min(has, known) - (has - step));
			return [{...entry, count: has - step}];
		});
	}

	/** Number up to which upstreams of a kind may be ordered while those of the other kind are there or coming. */
	#room({scaling, present}: OrderInput, zone: string, kind: PoolKind): number {
		const other: PoolKind = kind === 'ordinary' ? 'reclaimable' : 'ordinary';
		return scaling.maxUpstreams - Math.max((present.get(zone) ?? noCounts)[other], this.#state(zone, other).count ?? 0);
	}

	#state(zone: string, kind: PoolKind): OrderState {
		return this.#states.get(`${zone} ${kind}`) ?? initial;
	}

	#set(zone: string, kind: PoolKind, state: OrderState): void {
		this.#states.set(`${zone} ${kind}`, state);
	}
}

/** Expects no more upstreams for a time that doubles with each exhaustion in a row. */
function exhaust(state: OrderState, now: number): OrderState {
	const until = now + Math.min(maxExhaustedMs, minExhaustedMs * (2 ** (state.exhaustions - 1)));
	return {
		...state, exhaustedUntil: until, notBefore: until, repeats: 0,
	};
}

function keyOf({availabilityZone, isReclaimable}: PoolOrder): {readonly zone: string; readonly kind: PoolKind} {
	return {zone: availabilityZone, kind: isReclaimable ? 'reclaimable' : 'ordinary'};
}
