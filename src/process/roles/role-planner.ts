import {Rate} from '../rate.ts';

/** Role of an engine: prefill, decode, or both. */
export type Role = 'prefill' | 'decode' | 'mixed';

/** An engine of a model, as input of the planner. */
export type PlannedEngine = {
	readonly id: string;
	readonly availabilityZone: string;
	/** Current role, or the new one during a change. */
	readonly role: Role;
	/** True while the engine is draining, changing its role, or down. */
	readonly isAway: boolean;
};

/** A role change to order. */
export type RoleChange = {
	readonly id: string;
	readonly role: Role;
};

/** Options of the role planner. */
export type RolePlannerOptions = {
	/** Availability zone whose engines this planner changes. */
	readonly availabilityZone: string;
	/** Prompt tokens that an engine in the prefill role processes per millisecond. */
	readonly prefillTokensPerMs: number;
	/** Tokens that an engine in the decode role generates per millisecond. */
	readonly decodeTokensPerMs: number;
	/** Time for which an engine is out of service during a change, including the drain, in milliseconds. */
	readonly changeMs: number;
	/** Time over which a change must pay back, in milliseconds. @default 60000 */
	readonly horizonMs?: number;
	/** Smallest gain that justifies a change, as a fraction of the demand. @default 0.04 */
	readonly minGain?: number;
	/** Fraction of an engine's capacity that can be used within the latency targets. @default 0.8 */
	readonly usableFraction?: number;
	/** Largest fraction of all engines that may be out of service at the same time. @default 0.34 */
	readonly maxAwayFraction?: number;
};

/** Time constants of the two demand averages; a change must be justified by both. */
const fastWindowMs = 2500;
const slowWindowMs = 6000;
/** Time after the first demand before any change is planned. */
const warmUpMs = 5000;

type Demand = {
	readonly prefill: number;
	readonly decode: number;
};

/** Plans role changes for the engines of one model in one availability zone, based on the demand at all daemons; `now` is in milliseconds. */
export class RolePlanner {
	readonly #options: Required<RolePlannerOptions>;
	readonly #fast = {prefill: new Rate(fastWindowMs), decode: new Rate(fastWindowMs)};
	readonly #slow = {prefill: new Rate(slowWindowMs), decode: new Rate(slowWindowMs)};
	#changedAt = -Infinity;

	constructor(options: RolePlannerOptions) {
		this.#options = {
			horizonMs: 60_000, minGain: 0.04, usableFraction: 0.8, maxAwayFraction: 0.34, ...options,
		};
	}

	/** Records the demand of a request, whether it is served or refused. */
	recordDemand(now: number, promptTokens: number, outputTokens: number): void {
		for (const rates of [this.#fast, this.#slow]) {
			rates.prefill.add(now, promptTokens);
			rates.decode.add(now, outputTokens);
		}
	}

	/** Returns the changes to order now in this planner's zone; `engines` must contain all engines of the model in every zone. */
	plan(now: number, engines: readonly PlannedEngine[]): readonly RoleChange[] {
		const unavailable = engines.filter(({isAway}) => isAway).length;
		const maxUnavailable = Math.max(1, Math.floor(engines.length * this.#options.maxAwayFraction));
		const isSettling = now - this.#changedAt < this.#options.changeMs / 2;
		if (isSettling || unavailable >= maxUnavailable || this.#fast.prefill.ageMs(now) < warmUpMs) {
			return [];
		}

		const current = engines.filter(({role}) => role === 'prefill').length;
		const target = this.#targetPrefillEngines(now, engines.length, current);
		const change = target === current ? undefined : this.#chooseChange(engines, target > current ? 'prefill' : 'decode', target);
		if (change === undefined) {
			return [];
		}

		this.#changedAt = now;
		return [change];
	}

	/** Fraction of the demand that the given numbers of engines can serve, limited by the scarcer role. */
	servedFraction({prefill, decode}: Demand, prefillEngines: number, decodeEngines: number): number {
		const {prefillTokensPerMs, decodeTokensPerMs, usableFraction} = this.#options;
		const prefillPart = prefill === 0 ? 1 : prefillEngines * prefillTokensPerMs * usableFraction / prefill;
		const decodePart = decode === 0 ? 1 : decodeEngines * decodeTokensPerMs * usableFraction / decode;
		return Math.min(1, prefillPart, decodePart);
	}

	/** Number of prefill engines that is worth changing to; both the fast and the slow average must call for the change, so that noise does not cause one. */
	#targetPrefillEngines(now: number, count: number, current: number): number {
		const fast = {prefill: this.#fast.prefill.perMs(now), decode: this.#fast.decode.perMs(now)};
		const slow = {prefill: this.#slow.prefill.perMs(now), decode: this.#slow.decode.perMs(now)};
		const best = this.#bestPrefillEngines(fast, count, current);
		return best !== current && this.#paysBack(fast, count, current, best) && this.#gain(slow, count, current, best) > 0
			? best
			: current;
	}

	/** Number of prefill engines that serves the largest fraction of the demand, with the smallest change. */
	#bestPrefillEngines(demand: Demand, count: number, current: number): number {
		let best = current;
		for (let prefill = 1; prefill < count; prefill += 1) {
			const gain = this.#gain(demand, count, best, prefill);
			const isNearer = Math.abs(prefill - current) < Math.abs(best - current);
			if (gain > 1e-9 || (gain > -1e-9 && isNearer)) {
				best = prefill;
			}
		}

		return best;
	}

	#gain(demand: Demand, count: number, from: number, to: number): number {
		return this.servedFraction(demand, to, count - to) - this.servedFraction(demand, from, count - from);
	}

	/** True if the work gained within the horizon exceeds the work lost while engines are out of service. */
	#paysBack(demand: Demand, count: number, from: number, to: number): boolean {
		const {changeMs, horizonMs, minGain} = this.#options;
		const gain = this.#gain(demand, count, from, to);
		const during = this.servedFraction(demand, Math.min(from, to), count - Math.max(from, to));
		const loss = Math.max(0, this.servedFraction(demand, from, count - from) - during);
		return gain >= minGain && gain * horizonMs > loss * changeMs;
	}

	/** Chooses an engine of this zone to change, if this is the zone that is furthest from an even distribution of the target. */
	#chooseChange(engines: readonly PlannedEngine[], role: 'prefill' | 'decode', target: number): RoleChange | undefined {
		const own = engines.filter(engine => engine.availabilityZone === this.#options.availabilityZone);
		const chosenZone = chooseZone(engines, role, target);
		const engine = chosenZone === this.#options.availabilityZone
			? own.find(candidate => !candidate.isAway && candidate.role !== role)
			: undefined;
		return engine === undefined ? undefined : {id: engine.id, role};
	}
}

/** Chooses the zone whose number of prefill engines is furthest from its fraction of the target; every planner gets the same result. */
function chooseZone(engines: readonly PlannedEngine[], role: 'prefill' | 'decode', target: number): string | undefined {
	const zones = Map.groupBy(engines, ({availabilityZone}) => availabilityZone);
	let best: {readonly zone: string; readonly missing: number} | undefined;
	for (const zone of [...zones.keys()].toSorted()) {
		const members = zones.get(zone)!;
		const prefill = members.filter(engine => engine.role === 'prefill').length;
		const wanted = target * members.length / engines.length;
		const missing = role === 'prefill' ? wanted - prefill : prefill - wanted;
		const canChange = members.some(engine => !engine.isAway && engine.role !== role);
		if (canChange && missing > (best?.missing ?? -Infinity)) {
			best = {zone, missing};
		}
	}

	return best?.zone;
}
