import type {Stage, Upstream} from '../../ports/upstream.ts';

/** A change that brings the engines of a service closer to the plan. */
export type StageChange = {
	readonly upstream: Upstream;
	readonly stage: Stage;
};

/** Number of engines that generate: as many as wanted, at least one in each availability zone that has two engines or more. */
function clampDecoders(zones: ReadonlyMap<string, readonly Upstream[]>, wanted: number): number {
	const total = [...zones.values()].reduce((sum, {length}) => sum + length, 0);
	const zonal = [...zones.values()].filter(({length}) => length > 1).length;
	return Math.min(Math.max(zonal, wanted, 1), Math.max(1, total - 1));
}

/**
Plans the stages of the engines of one service.

Answers the load in which reading prompts binds and generating is light: all engines read prompts but those that are
needed to generate, spread over the availability zones so that each zone can serve alone and the loss of one leaves the others.
An engine that generates already keeps doing so, so that the plan changes only with the fleet or the load.
*/
export function planStages(upstreams: readonly Upstream[], wantedDecoders: number): readonly StageChange[] {
	const engines = upstreams.filter(({stage}) => stage !== undefined).toSorted((a, b) => a.id < b.id ? -1 : 1);
	const zones = new Map<string, Upstream[]>();
	for (const engine of engines) {
		zones.set(engine.availabilityZone, [...zones.get(engine.availabilityZone) ?? [], engine]);
	}

	if (engines.length < 2) {
		return [];
	}

	const decoders = chooseDecoders(zones, clampDecoders(zones, wantedDecoders));
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
