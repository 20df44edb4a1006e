import type {Stage, Upstream} from '../../ports/upstream.ts';

/** A change that brings the engines of a service closer to the plan. */
export type StageChange = {
	readonly upstream: Upstream;
	readonly stage: Stage;
};

/** What is known of the load of a service. */
export type StageDemand = {
	/** Requests that generate at the same time, on all engines together. */
	readonly runs: number;
	/** Requests that one engine runs at once. */
	readonly slots: number;
};

/** Part of an engine's slots that generating requests may take on average; beyond it their events come too slowly. */
const targetRunShare = 0.35;

/** Number of engines that generate, at least one in each availability zone that has two engines or more. */
export function countDecoders(zones: ReadonlyMap<string, number>, {runs, slots}: StageDemand): number {
	const total = [...zones.values()].reduce((sum, count) => sum + count, 0);
	const zonal = [...zones.values()].filter(count => count > 1).length;
	const needed = Math.ceil(runs / Math.max(1, slots * targetRunShare));
	return Math.min(Math.max(zonal, needed, 1), Math.max(1, total - 1));
}

/**
Plans the stages of the engines of one service.

Answers the load in which reading prompts binds and generating is light: all engines read prompts but as many as the running
requests need, spread over the availability zones so that each zone can serve alone and the loss of one leaves the others.
An engine that generates already keeps doing so, so that the plan changes only with the fleet or the load.
*/
export function planStages(upstreams: readonly Upstream[], demand: StageDemand): readonly StageChange[] {
	const engines = upstreams.filter(({stage}) => stage !== undefined).toSorted((a, b) => a.id < b.id ? -1 : 1);
	const zones = new Map<string, Upstream[]>();
	for (const engine of engines) {
		zones.set(engine.availabilityZone, [...zones.get(engine.availabilityZone) ?? [], engine]);
	}

	if (engines.length < 2) {
		return [];
	}

	const total = countDecoders(new Map([...zones].map(([zone, members]) => [zone, members.length])), demand);
	const decoders = chooseDecoders(zones, total);
	return engines.flatMap(upstream => {
		const stage: Stage = decoders.has(upstream.id) ? 'decode' : 'prefill';
		return stage === upstream.stage ? [] : [{upstream, stage}];
	});
}

/** Takes engines in turn from the availability zones, those that generate already first. */
function chooseDecoders(zones: ReadonlyMap<string, readonly Upstream[]>, total: number): ReadonlySet<string> {
	const queues = [...zones].toSorted(([a, first], [b, second]) => second.length - first.length || (a < b ? -1 : 1))
		.map(([, members]) => members.toSorted((a, b) => Number(b.stage === 'decode') - Number(a.stage === 'decode')));
	const chosen = new Set<string>();
	for (let round = 0; chosen.size < total; round += 1) {
		const row = queues.flatMap(queue => queue.length > round + 1 || queues.length === 1 || round > 0 ? queue.slice(round, round + 1) : []);
		const candidates = row.length > 0 ? row : queues.flatMap(queue => queue.slice(round, round + 1));
		if (candidates.length === 0) {
			return chosen;
		}

		for (const {id} of candidates.slice(0, total - chosen.size)) {
			chosen.add(id);
		}
	}

	return chosen;
}
