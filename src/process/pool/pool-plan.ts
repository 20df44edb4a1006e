import type {PoolScaling} from '../../version/routes/route-configuration.ts';

/** Kind of upstreams by which they are ordered. */
export type PoolKind = 'ordinary' | 'reclaimable';

/** Numbers of upstreams of a service by availability zone and kind. */
export type PoolCounts = ReadonlyMap<string, Readonly<Record<PoolKind, number>>>;

/** Largest numbers of upstreams that can be had of a kind in a zone. */
export type PoolLimit = (availabilityZone: string, kind: PoolKind) => number;

/** Number of upstreams that a service needs. */
export type PoolSize = {
	readonly total: number;
	/** Number up to which ordinary upstreams take the place of cheaper ones that cannot be had. */
	readonly essential: number;
	/** Number that must be left when any one availability zone, or all reclaimable upstreams of it, are lost. */
	readonly afterLoss: number;
};

/** Time after the boot time within which new upstreams are listed, in milliseconds. */
export const listingMarginMs = 4000;
/** Part of the upstreams that cannot be reclaimed, so that a service whose reclaimable ones are all lost still answers a few urgent requests. */
const ordinaryShare = 0.1;
/** Fewest upstreams of a zone, so that callers of a zone that is cut off find one of each stage. */
const minPerZone = 2;

/** Least price that counts, so that upstreams of zones without a price are spread too, and fewer of them are a saving. */
const minPrice = 0.01;

/** No upstreams of either kind. */
export const noCounts: Readonly<Record<PoolKind, number>> = {ordinary: 0, reclaimable: 0};

/** Price of one second of an upstream. */
export function priceOf({zonePrices, reclaimablePrice}: PoolScaling, availabilityZone: string, kind: PoolKind): number {
	return Math.max(minPrice, (zonePrices.get(availabilityZone) ?? 0) * (kind === 'ordinary' ? 1 : reclaimablePrice ?? 1));
}

/** Number of upstreams of both kinds in all zones. */
export function countAll(counts: PoolCounts): number {
	return [...counts.values()].reduce((sum, {ordinary, reclaimable}) => sum + ordinary + reclaimable, 0);
}

/** Price of one second of these upstreams. */
export function priceAll(scaling: PoolScaling, counts: PoolCounts): number {
	return [...counts].reduce((sum, [zone, {ordinary, reclaimable}]) => sum + (ordinary * priceOf(scaling, zone, 'ordinary')) + (reclaimable * priceOf(scaling, zone, 'reclaimable')), 0);
}

/** True if the service has reclaimable upstreams that are cheaper than ordinary ones. */
export function hasReclaimable({reclaimablePrice}: PoolScaling): boolean {
	return reclaimablePrice !== undefined && reclaimablePrice < 1;
}

/**
Chooses the numbers of upstreams by availability zone and kind.

Suits pools whose reclaimable upstreams are much cheaper than the others: nearly all are reclaimable, spread over the zones such
that enough are left when a zone loses all of them. Zones get numbers in inverse proportion to their prices, so that the cheap ones
get most and the loss of one zone costs a limited part; concentration on the cheapest would save little, and would need as many
more against its loss. A kind that cannot be had in a zone is replaced by the other zones, and then by ordinary upstreams, but not for the headroom
that only a low price justifies. The numbers in `kept` are not reduced.
*/
export function planPool(scaling: PoolScaling, {total, essential, afterLoss}: PoolSize, limit: PoolLimit, kept: PoolCounts = new Map()): PoolCounts {
	const allotment = new Allotment(scaling, limit, kept);
	const zones = [...scaling.zonePrices.keys()];
	const minimum = Math.min(scaling.maxUpstreams, Math.max(scaling.minUpstreams, minPerZone));
	const cheap: PoolKind = hasReclaimable(scaling) ? 'reclaimable' : 'ordinary';
	for (const zone of zones) {
		allotment.addIn(zone, 'ordinary', 1 - allotment.ordinaryIn(zone));
	}

	allotment.addUntil('ordinary', () => allotment.countOf('ordinary') >= total * ordinaryShare);
	for (const zone of zones) {
		allotment.addIn(zone, cheap, minimum - allotment.countIn(zone));
		allotment.addIn(zone, 'ordinary', minimum - allotment.countIn(zone));
	}

	allotment.addUntil(cheap, () => allotment.count >= total);
	allotment.addUntil('ordinary', () => allotment.count >= Math.min(total, essential));
	const isSafe = () => allotment.count - allotment.largestLoss >= afterLoss;
	allotment.addUntil(cheap, isSafe, true);
	allotment.addUntil('ordinary', isSafe, true);
	return allotment.counts;
}

/** Numbers of upstreams that are added one by one. */
class Allotment {
	readonly #scaling: PoolScaling;
	readonly #limit: PoolLimit;
	readonly #counts: Map<string, Readonly<Record<PoolKind, number>>>;

	constructor(scaling: PoolScaling, limit: PoolLimit, kept: PoolCounts) {
		this.#scaling = scaling;
		this.#limit = limit;
		this.#counts = new Map([...scaling.zonePrices.keys()].map(zone => [zone, kept.get(zone) ?? noCounts]));
	}

	get counts(): PoolCounts {
		return this.#counts;
	}

	get count(): number {
		return countAll(this.#counts);
	}

	/** Number of upstreams in the zone that has most. */
	get largestLoss(): number {
		return Math.max(0, ...[...this.#counts.keys()].map(zone => this.countIn(zone)));
	}

	countOf(kind: PoolKind): number {
		return [...this.#counts.values()].reduce((sum, counts) => sum + counts[kind], 0);
	}

	ordinaryIn(zone: string): number {
		return this.#counts.get(zone)!.ordinary;
	}

	countIn(zone: string): number {
		const {ordinary, reclaimable} = this.#counts.get(zone)!;
		return ordinary + reclaimable;
	}

	/** Adds up to this number in a zone, as far as the limits allow it. */
	addIn(zone: string, kind: PoolKind, number: number): void {
		for (let added = 0; added < number && this.#hasRoom(zone, kind); added += 1) {
			this.#add(zone, kind);
		}
	}

	/**
	Adds upstreams of a kind until it is enough or none can be had, each in the zone where the next one is cheapest for the number that the zone has.

	If `isForLoss` is set, the zone that alone has most gets none, because they would be lost with it.
	*/
	addUntil(kind: PoolKind, isEnough: () => boolean, isForLoss = false): void {
		while (!isEnough()) {
			const open = [...this.#counts.keys()].filter(zone => this.#hasRoom(zone, kind) && !(isForLoss && this.#isLargest(zone)));
			const [next] = open.toSorted((a, b) => this.#weigh(a, kind) - this.#weigh(b, kind) || (a < b ? -1 : 1));
			if (next === undefined) {
				return;
			}

			this.#add(next, kind);
		}
	}

	#isLargest(zone: string): boolean {
		return [...this.#counts.keys()].every(other => other === zone || this.countIn(other) < this.countIn(zone));
	}

	#weigh(zone: string, kind: PoolKind): number {
		return (this.countIn(zone) + 1) * priceOf(this.#scaling, zone, kind);
	}

	#hasRoom(zone: string, kind: PoolKind): boolean {
		return this.countIn(zone) < this.#scaling.maxUpstreams && this.#counts.get(zone)![kind] < this.#limit(zone, kind);
	}

	#add(zone: string, kind: PoolKind): void {
		const counts = this.#counts.get(zone)!;
		this.#counts.set(zone, {...counts, [kind]: counts[kind] + 1});
	}
}
