/** One disruption or step of planned work, with the fields of a day file. */
export type Disruption = {
	readonly kind: string;
	readonly fields: Readonly<Record<string, string | number>>;
};

/** A day file: its name and its contents. */
export type DayFile = {
	readonly name: string;
	readonly text: string;
};

/** What strikes at the end of a day. */
type Closing = Readonly<Record<string, string | number>>;

/** Position of an entry: seconds from the start of traffic. */
type Entry = Disruption & {readonly at: number};

/** Variants of each kind of planned work. */
const plannedVariants: Readonly<Record<string, ReadonlyArray<Disruption['fields']>>> = {
	config_change: [{how: 'route'}, {how: 'timeout'}, {how: 'idle'}, {how: 'weights'}, {how: 'tenant'}, {how: 'quota'}, {how: 'quota down'}, {how: 'topup'}],
	config_storm: [{gap_s: 0.3, for_s: 2}, {gap_s: 0.3, for_s: 2, how: 'idle'}, {gap_s: 0.2, for_s: 2, how: 'timeout'}],
	hup: [{share: 0.5, gap_s: 0.5}],
	roll_term: [{
		share: 0.34, x: 1, gap_s: 1, how: 'busy',
	}, {share: 0.5, x: 2, gap_s: 1}, {
		share: 0.34, x: 1, gap_s: 1, how: 'leader',
	}],
	scale_in: [{share: 0.1}, {share: 0.1, how: 'spot', x: 2}, {
		share: 0.1, how: 'reclaim', x: 2.5, for_s: 4,
	}],
	release: [{share: 0.34, x: 1, gap_s: 1}],
	scale_out: [{share: 0.3, gap_s: 1}],
	add_nodes: [{count: 1}],
	replace_core: [{how: 'planned', x: 1}],
};

/** Sets of three kinds of planned work; each pair of different kinds is in exactly one set. */
const plannedSets = [
	['config_change', 'config_storm', 'hup'],
	['roll_term', 'scale_in', 'release'],
	['scale_out', 'add_nodes', 'replace_core'],
	['config_change', 'roll_term', 'scale_out'],
	['config_storm', 'scale_in', 'add_nodes'],
	['hup', 'release', 'replace_core'],
	['config_change', 'scale_in', 'replace_core'],
	['config_storm', 'release', 'scale_out'],
	['hup', 'roll_term', 'add_nodes'],
	['config_change', 'release', 'add_nodes'],
	['config_storm', 'roll_term', 'replace_core'],
	['hup', 'scale_in', 'scale_out'],
] as const;

/** Variants of each kind of unplanned disruption. */
const unplannedVariants: Readonly<Record<string, ReadonlyArray<Disruption['fields']>>> = {
	burst: [{x: 2, for_s: 2}],
	retry_abuse: [{share: 0.3, x: 3, for_s: 2}],
	give_up: [{share: 0.3, x: 150, for_s: 2}, {
		share: 0.3, x: 150, for_s: 2, how: 'once',
	}],
	srv_crash: [{share: 0.15, for_s: 2}, {share: 0.15, for_s: 2, how: 'dark'}, {share: 0.1, how: 'gone'}],
	srv_slow: [{share: 0.15, x: 4, for_s: 2}],
	srv_grey: ['errors', 'shed', 'busy', 'hang', 'reset', 'mute', 'slow'].map(how => ({
		share: 0.15, for_s: 2, how, ...(how === 'slow' ? {x: 8} : {x: 0.4}),
	})),
	srv_lying_health: ['errors', 'hang', 'reset', 'bad'].map(how => ({share: 0.15, for_s: 2, how})),
	srv_flap: [{share: 0.15, gap_s: 1, for_s: 3}],
	srv_cut: [{share: 0.2, for_s: 2}, {share: 0.2, for_s: 2, how: 'some'}, {share: 0.2, for_s: 2, how: 'reset'}, {share: 0.1, for_s: 2, how: 'reborn'}],
	replace_with_reuse: [{share: 0.1}, {share: 0.1, how: 'drain'}, {share: 0.1, how: 'dark'}],
	idle_race: [{share: 0.5, x: 300, for_s: 3}],
	answer_lost: [{share: 0.5, x: 0.03, for_s: 2}],
	garble: [{}, ...['extra', 'unframed', 'early'].map(how => ({how}))].map(fields => ({
		share: 0.5, x: 0.02, for_s: 2, ...fields,
	})),
	node_kill: [{share: 0.1}, {share: 0.1, how: 'power', for_s: 2}],
	node_freeze: [{share: 0.2, for_s: 2}, {share: 0.1, for_s: 2, how: 'renewed'}],
	node_slow: [{share: 0.2, x: 5, for_s: 2}],
	herd_kill: [{share: 0.4}],
	after_ack_kill: [{count: 1}, {count: 1, how: 'timed'}],
	clock_step: [{share: 0.3, x: 2000, for_s: 2}, {
		share: 0.3, x: 2000, for_s: 2, how: 'back',
	}],
	zone_cut: [{zone: '@z0', for_s: 2}, {zone: '@z0', for_s: 2, how: 'reset'}],
	core_cut: [{count: 1, for_s: 2}],
	node_cut: [{share: 0.2, for_s: 2}, {share: 0.2, for_s: 2, how: 'meet'}, {share: 0.2, for_s: 2, how: 'servers'}],
	lossy: [{x: 0.03, for_s: 2}],
	platform_down: [{for_s: 2, how: 'silent'}, {for_s: 2, how: 'busy'}, {for_s: 2, how: 'reset'}, {for_s: 2, how: 'nodes', share: 0.35}],
	platform_slow: [{x: 50, for_s: 2}],
	platform_lost: [{x: 0.3, for_s: 2}, {x: 0.3, for_s: 2, how: 'late'}],
	platform_compact: [{for_s: 2}, {for_s: 2, how: 'drain'}],
	big_config: [{}],
	applied_late: [{x: 0.5, for_s: 2, how: 'all'}],
	kv_slow: [{share: 0.3, x: 8, for_s: 2}],
	handle_short: [{share: 0.3, for_s: 2}],
	reset_conns: [{share: 0.3, x: 0.5}],
};

/** Kinds that some sites do not play; they have days of their own, because a site leaves out a day with any of them. */
const limitedGroups = [['idle_race', 'srv_flap', 'srv_lying_health'], ['big_config']] as const;

const closings: ReadonlyArray<Closing | undefined> = [
	undefined,
	{kind: 'kill_all', down_s: 0.6},
	{kind: 'power_off_all', down_s: 1},
	{kind: 'wipe_after_ack', down_s: 1},
	{kind: 'kill_all', down_s: 0.6, how: 'timed'},
	{kind: 'power_off_all', down_s: 1, how: 'taken'},
];

/** Time between sets of planned work, in seconds; longer than a stop takes. */
const plannedGapS = 10;
/** Time between the kinds of one set, in seconds. */
const overlapS = 0.4;
/** Time between unplanned disruptions, in seconds; longer than machines take to be in touch again. */
const unplannedGapS = 6;
/** Time from a change of the configuration to the disruption beside it, in seconds. */
const afterChangeS = 0.7;
const firstAtS = 4;
const daySeconds = 36;
const firstSeed = 4300;
const restoresPerDay = 2;
const firstRestoreS = 11;
/** Time between two restores of the store, in seconds. */
const restoreGapS = 12;
/** Time for which the store is away before it is back, in seconds. */
const restoreAwayS = 1.5;
/** Age of the copy when the store goes away, in seconds. */
const copyAgeS = 6;
/** Time from planned work that the copy lacks to the outage, in seconds. */
const lostWorkS = 3;
/** Position of the first seed of the restored days after those of the other days. */
const firstRestoredSeed = 100;
/** Disruptions while the store is away before it is back from a copy. */
const besideRestore: ReadonlyArray<Disruption | undefined> = [
	undefined,
	{kind: 'herd_kill', fields: {share: 0.4}},
	{kind: 'zone_cut', fields: {zone: '@z0', for_s: 2}},
	{kind: 'node_kill', fields: {share: 0.2}},
	{kind: 'core_cut', fields: {count: 1, for_s: 3}},
];

/** Kinds of planned work that the day files contain. */
export const plannedKinds: readonly string[] = Object.keys(plannedVariants);

/** Kinds of unplanned disruptions that the day files contain. */
export const unplannedKinds: readonly string[] = Object.keys(unplannedVariants);

/** Returns the variants of a kind; throws if no day file knows the kind. */
export function findVariants(kind: string): readonly Disruption[] {
	const variants = plannedVariants[kind] ?? unplannedVariants[kind];
	if (variants === undefined) {
		throw new Error(`Unknown kind of disruption: ${kind}.`);
	}

	return variants.map(fields => ({kind, fields}));
}

/** Creates the days with planned work alone: all pairs of kinds overlap. */
export function createPlannedDays(sets: ReadonlyArray<readonly string[]> = plannedSets): readonly DayFile[] {
	const uses = new Map<string, number>();
	const setsPerDay = Math.floor((daySeconds - firstAtS) / plannedGapS);
	return chunk(sets, setsPerDay).map((daySets, day) => createDay(`planned-${day + 1}`, day, {
		plan: daySets.flatMap((kinds, index) => kinds.flatMap((kind, step) => takeVariants(kind, uses).map(variant => ({
			...variant, at: firstAtS + (index * plannedGapS) + (step * overlapS),
		})))),
		faults: [],
		closing: undefined,
	}));
}

/** Creates the days on which each unplanned disruption comes right after a change of the configuration; groups of kinds have different days. */
export function createUnplannedDays(groups: ReadonlyArray<readonly string[]> = groupKinds()): readonly DayFile[] {
	const changes = findVariants('config_change');
	return groups.flatMap(kinds => spread(kinds.flatMap(kind => findVariants(kind)))).map((disruptions, day) => {
		const times = disruptions.map((_disruption, index) => firstAtS + (index * unplannedGapS));
		return createDay(`beside-a-change-${day + 1}`, plannedSets.length + day, {
			plan: times.map((at, index) => ({...changes[(day + index) % changes.length]!, at})),
			faults: disruptions.map((disruption, index) => ({...disruption, at: times[index]! + afterChangeS})),
			closing: closings[day % closings.length],
		});
	});
}

/** Creates the days on which the store is restored from an older copy, with planned work that the copy lacks and that comes right after the return. */
export function createRestoredDays(): readonly DayFile[] {
	const days = Math.ceil(plannedKinds.length / restoresPerDay);
	const uses = new Map<string, number>();
	return Array.from({length: days}, (_, day) => {
		const restores = Array.from({length: restoresPerDay}, (_restore, index) => {
			const number = (day * restoresPerDay) + index;
			const at = firstRestoreS + (index * restoreGapS);
			return {
				at,
				before: plannedKinds[number % plannedKinds.length]!,
				after: plannedKinds[(number + Math.floor(plannedKinds.length / 2)) % plannedKinds.length]!,
				beside: besideRestore[number % besideRestore.length]!,
			};
		});
		return createDay(`beside-a-restore-${day + 1}`, firstRestoredSeed + day, {
			plan: restores.flatMap(({at, before, after}) => [
				...takeVariants(before, uses).map(variant => ({...variant, at: at - lostWorkS})),
				{kind: 'config_change', fields: {how: 'route'}, at: at - (lostWorkS / 2)},
				...takeVariants(after, uses).map(variant => ({...variant, at: at + restoreAwayS + overlapS})),
			]),
			faults: restores.flatMap(({at, beside}) => [
				{kind: 'platform_down', fields: {how: 'restored', x: copyAgeS, for_s: restoreAwayS}, at},
				...beside === undefined ? [] : [{...beside, at: at + (restoreAwayS / 2)}],
			]),
			closing: closings[day % closings.length],
		});
	});
}

function groupKinds(): ReadonlyArray<readonly string[]> {
	const limited = new Set<string>(limitedGroups.flat());
	return [unplannedKinds.filter(kind => !limited.has(kind)), ...limitedGroups];
}

/** Spreads disruptions over days, so that variants of one kind go to different days. */
function spread(disruptions: readonly Disruption[]): ReadonlyArray<readonly Disruption[]> {
	const count = Math.ceil(disruptions.length / Math.floor((daySeconds - firstAtS) / unplannedGapS));
	return Array.from({length: count}, (_, day) => disruptions.filter((_disruption, index) => index % count === day));
}

/** Variants of a kind that the next use of it plays: two changes of the configuration at once, one of any other kind. */
function takeVariants(kind: string, uses: Map<string, number>): readonly Disruption[] {
	const variants = findVariants(kind);
	const count = kind === 'config_change' ? 2 : 1;
	const first = uses.get(kind) ?? 0;
	uses.set(kind, first + count);
	return Array.from({length: count}, (_, index) => variants[(first + index) % variants.length]!);
}

function createDay(name: string, index: number, {plan, faults, closing}: {readonly plan: readonly Entry[]; readonly faults: readonly Entry[]; readonly closing: Closing | undefined}): DayFile {
	const lines = [
		'# Written by `node deploy/write-day-files.ts`.',
		`name = ${JSON.stringify(name)}`,
		'slot = "trouble"',
		`seed = ${firstSeed + index}`,
		`length_s = ${daySeconds.toFixed(1)}`,
		...(closing === undefined ? [] : [`closing = ${formatTable(closing)}`]),
		...formatEntries('plan', plan),
		...formatEntries('faults', faults),
	];
	return {name, text: `${lines.join('\n')}\n`};
}

function formatEntries(key: string, entries: readonly Entry[]): readonly string[] {
	return entries.length === 0
		? [`${key} = []`]
		: [`${key} = [`, ...entries.map(({at, kind, fields}) => `  ${formatTable({at: Number(at.toFixed(1)), kind, ...fields})},`), ']'];
}

function formatTable(fields: Readonly<Record<string, string | number>>): string {
	return `{ ${Object.entries(fields).map(([key, value]) => `${key} = ${formatValue(key, value)}`).join(', ')} }`;
}

/** Times and factors are written with a decimal point, counts without one. */
function formatValue(key: string, value: string | number): string {
	if (typeof value === 'string') {
		return JSON.stringify(value);
	}

	return Number.isInteger(value) && key !== 'count' ? value.toFixed(1) : String(value);
}

function chunk<Item>(items: readonly Item[], size: number): ReadonlyArray<readonly Item[]> {
	return Array.from({length: Math.ceil(items.length / size)}, (_, index) => items.slice(index * size, (index + 1) * size));
}
