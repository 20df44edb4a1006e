import type {Stage, Upstream} from '../../ports/upstream.ts';

/** A stage change that brings an engine in line with the plan. */
export type StageChange = {
	readonly upstream: Upstream;
	readonly stage: Stage;
};

/** Returns the number of decode engines: as many as wanted, but at least one per availability zone with two or more engines, and at least one engine left for prefill. */
function clampDecoderCount(zones: ReadonlyMap<string, readonly Upstream[]>, wanted: number): number {
	const total = [...zones.values()].reduce((sum, {length}) => sum + length, 0);
	const multiEngineZoneCount = [...zones.values()].filter(({length}) => length > 1).length;
	return Math.min(Math.max(multiEngineZoneCount, wanted, 1), Math.max(1, total - 1));
}

/**
Plans the stages of the engines of one service.

Suits a load that is limited by prefill and whose decoding is light: all engines prefill except those needed for decoding. The
decode engines are spread over the availability zones, so that each zone with two or more engines can serve on its own and the
loss of a zone leaves both stages in the others. Within a zone, engines that already decode are chosen first, so that the plan
changes only with the fleet or the load. Only engines that take few requests, because they have named a limit, come after all
others: a decode engine serves many times as many requests as one that reads prompts. Their replacements come first in the plan.
*/
export function planStages(upstreams: readonly Upstream[], wantedDecoders: number, limited: ReadonlySet<string> = new Set()): readonly StageChange[] {
	const engines = upstreams.filter(({stage}) => stage !== undefined).toSorted((a, b) => a.id < b.id ? -1 : 1);
	const zones = new Map<string, Upstream[]>();
	for (const engine of engines) {
		zones.set(engine.availabilityZone, [...zones.get(engine.availabilityZone) ?? [], engine]);
	}

	if (engines.length < 2) {
		return [];
	}

	const decoders = chooseDecoders(zones, clampDecoderCount(zones, wantedDecoders), limited);
	const changes = engines.flatMap(upstream => {
		const stage: Stage = decoders.has(upstream.id) ? 'decode' : 'prefill';
		return stage === upstream.stage ? [] : [{upstream, stage}];
	});
	return limited.size === 0 ? changes : changes.toSorted((a, b) => Number(b.stage === 'decode') - Number(a.stage === 'decode'));
}

/**
Chooses decode engines round-robin over the availability zones, largest zone first; within a zone, engines without a limit come first, and among them those that already decode.

Zones with one engine are left out unless every zone has only one.
*/
function chooseDecoders(zones: ReadonlyMap<string, readonly Upstream[]>, total: number, limited: ReadonlySet<string>): ReadonlySet<string> {
	const queues = [...zones].toSorted(([a, first], [b, second]) => second.length - first.length || (a < b ? -1 : 1))
		.map(([, members]) => members.toSorted((a, b) => (Number(limited.has(a.id)) - Number(limited.has(b.id))) || (Number(b.stage === 'decode') - Number(a.stage === 'decode'))));
	const chosen = new Set<string>();
	for (let round = 0; chosen.size < total; round += 1) {
		const roundCandidates = queues.flatMap(queue => queue.length > round + 1 || queues.length === 1 || round > 0 ? queue.slice(round, round + 1) : []);
		const candidates = roundCandidates.length > 0 ? roundCandidates : queues.flatMap(queue => queue.slice(round, round + 1));
		if (candidates.length === 0) {
			return chosen;
		}

		for (const {id} of candidates.slice(0, total - chosen.size)) {
			chosen.add(id);
		}
	}

	return chosen;
}
