import {Rate} from '../rate.ts';

/** Role of an engine: processes prompts, generates tokens, or both. */
export type Role = 'prefill' | 'decode' | 'mixed';

/** An engine of a model, as the planner sees it. */
export type PlannedEngine = {
	readonly id: string;
	readonly availabilityZone: string;
	/** Role that it has, or will have after a change in progress. */
	readonly role: Role;
	/** True while it drains or changes role, or is down. */
	readonly isAway: boolean;
};

/** A role change to be ordered. */
export type RoleChange = {
	readonly id: string;
	readonly role: Role;
};

/** Options of the role planner. */
export type RolePlannerOptions = {
	/** Zone whose engines this planner changes. */
	readonly availabilityZone: string;
	/** Prompt tokens that an engine in the prefill role processes in a millisecond. */
	readonly prefillTokensPerMs: number;
	/** Tokens that an engine in the decode role generates in a millisecond. */
	readonly decodeTokensPerMs: number;
	/** Time without service during a change, drain included, in milliseconds. */
	readonly changeMs: number;
	/** Time for which a change is expected to be useful, in milliseconds. @default 60000 */
	readonly horizonMs?: number;
	/** Gain of a change below which none is made, as a part of the demand. @default 0.04 */
	readonly minGain?: number;
	/** Part of an engine's capacity that can be used within the latency targets. @default 0.8 */
	readonly usableFraction?: number;
	/** Largest part of all engines that is away at a time. @default 0.34 */
	readonly maxAwayFraction?: number;
};

const fastWindowMs = 2500;
const slowWindowMs = 6000;
const warmUpMs = 5000;

type Demand = {
	readonly prefill: number;
	readonly decode: number;
};

/** Plans role changes for the engines of one model in one availability zone, from the demand at all daemons; `now` in milliseconds. */
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

	/** Counts demand, whether it was served or refused. */
	recordDemand(now: number, promptTokens: number, outputTokens: number): void {
		for (const rates of [this.#fast, this.#slow]) {
			rates.prefill.add(now, promptTokens);
			rates.decode.add(now, outputTokens);
		}
	}

	/** Changes to order now in this planner's zone; all engines of the model in every zone are given. */
	plan(now: number, engines: readonly PlannedEngine[]): readonly RoleChange[] {
		const away = engines.filter(({isAway}) => isAway).length;
		const mostAway = Math.max(1, Math.floor(engines.length * this.#options.maxAwayFraction));
		const isSettling = now - this.#changedAt < this.#options.changeMs / 2;
		if (isSettling || away >= mostAway || this.#fast.prefill.ageMs(now) < warmUpMs) {
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

	/** Part of the demand that a number of prefill engines out of all can serve, both kinds of work together. */
	servedFraction({prefill, decode}: Demand, prefillEngines: number, decodeEngines: number): number {
		const {prefillTokensPerMs, decodeTokensPerMs, usableFraction: usablePart} = this.#options;
		const prefillPart = prefill === 0 ? 1 : prefillEngines * prefillTokensPerMs * usablePart / prefill;
		const decodePart = decode === 0 ? 1 : decodeEngines * decodeTokensPerMs * usablePart / decode;
		return Math.min(1, prefillPart, decodePart);
	}

	/** Number of prefill engines worth changing to; fast and slow demand must both ask for the change, so that noise does not. */
	#targetPrefillEngines(now: number, count: number, current: number): number {
		const fast = {prefill: this.#fast.prefill.perMs(now), decode: this.#fast.decode.perMs(now)};
		const slow = {prefill: this.#slow.prefill.perMs(now), decode: this.#slow.decode.perMs(now)};
		const best = this.#bestPrefillEngines(fast, count, current);
		return best !== current && this.#paysBack(fast, count, current, best) && this.#gain(slow, count, current, best) > 0
			? best
			: current;
	}

	/** Least change that serves the most, with the load of both roles as even as possible. */
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

	/** True when the work gained within the horizon exceeds the work lost while engines are away. */
	#paysBack(demand: Demand, count: number, from: number, to: number): boolean {
		const {changeMs, horizonMs, minGain: leastGain} = this.#options;
		const gain = this.#gain(demand, count, from, to);
		const during = this.servedFraction(demand, Math.min(from, to), count - Math.max(from, to));
		const loss = Math.max(0, this.servedFraction(demand, from, count - from) - during);
		return gain >= leastGain && gain * horizonMs > loss * changeMs;
	}

	/** Engine of this zone to change; zones take turns by how far they are from an even division of the target. */
	#chooseChange(engines: readonly PlannedEngine[], role: 'prefill' | 'decode', target: number): RoleChange | undefined {
		const own = engines.filter(engine => engine.availabilityZone === this.#options.availabilityZone);
		const turn = chooseZone(engines, role, target);
		const engine = turn === this.#options.availabilityZone
			? own.find(candidate => !candidate.isAway && candidate.role !== role)
			: undefined;
		return engine === undefined ? undefined : {id: engine.id, role};
	}
}

/** Zone whose number of prefill engines differs most from its part of the target; the same at every planner. */
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
