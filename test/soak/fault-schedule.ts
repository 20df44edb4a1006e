import {SeededRandom} from '../../src/process/random.ts';

/** Number of variants of each kind of failure. */
const failureVariants = {
	daemonKill: 1,
	daemonPause: 1,
	daemonTerm: 1,
	daemonHup: 1,
	daemonStoreLink: 4,
	storeDown: 1,
	storeSilent: 1,
	storeAnswersLost: 1,
	storeHistory: 1,
	storeReset: 1,
	upstreamCrash: 1,
	upstreamLink: 4,
	upstreamAnswer: 11,
	upstreamLeave: 1,
	configuration: 1,
} as const;

/** Number of variants of restores of the store; they are drawn apart, so that the other failures of a seed stay the same. */
const restoreVariants = {
	storeRestored: 2,
} as const;

/** Number of variants of each kind of change that must not cost a caller an answer. */
const changeVariants = {
	configurationSeries: 3,
	upstreamStandstill: 1,
	oddEntries: 1,
	daemonStops: 3,
} as const;

/** A kind of failure. */
export type FailureKind = keyof typeof failureVariants | keyof typeof restoreVariants;

/** A kind of change. */
export type ChangeKind = keyof typeof changeVariants;

/** A kind of fault. */
export type FaultKind = FailureKind | ChangeKind;

/** Failures without changes. */
export const onlyFailures: FaultGroups = {hasFailures: true, hasChanges: false};

/** Kinds of faults that a schedule contains. */
export type FaultGroups = {readonly hasFailures: boolean; readonly hasChanges: boolean};

/** A scheduled fault; times in milliseconds from the start of the load. */
export type Fault<Kind extends FaultKind = FaultKind> = {
	readonly kind: Kind;
	readonly at: number;
	readonly forMs: number;
	/** Index of the daemon or upstream, modulo their number. */
	readonly target: number;
	readonly variant: number;
};

/** Distance between the seed of the failures and that of the changes, so that adding changes leaves the failures of a seed the same. */
const changeSeedDistance = 1_000_000;
const restoreSeedDistance = 2_000_000;
const failureGapMs = 1000;
const changeGapMs = 1500;
const restoreGapMs = 8000;
const minFaultMs = 200;
const maxFaultMs = 3500;
const targets = 1000;

/** Generates a random schedule of faults that may overlap, on average two failures a second, a restore of the store every four seconds and four changes in three seconds; the same seed gives the same schedule. */
export function generateFaults(seed: number, faultPeriodMs: number, {hasFailures, hasChanges}: FaultGroups = onlyFailures): readonly Fault[] {
	return [
		...(hasFailures ? draw(new SeededRandom(seed), faultPeriodMs, failureVariants, failureGapMs) : []),
		...(hasFailures ? draw(new SeededRandom(seed + restoreSeedDistance), faultPeriodMs, restoreVariants, restoreGapMs) : []),
		...(hasChanges ? draw(new SeededRandom(seed + changeSeedDistance), faultPeriodMs, changeVariants, changeGapMs) : []),
	];
}

/** Returns true for a change, and false for a failure. */
export function isChange(fault: Fault): fault is Fault<ChangeKind> {
	return Object.hasOwn(changeVariants, fault.kind);
}

function draw<Kind extends FaultKind>(random: SeededRandom, faultPeriodMs: number, variants: Readonly<Record<Kind, number>>, maxGapMs: number): readonly Fault[] {
	const kinds = Object.keys(variants) as Kind[];
	const drawn: Fault[] = [];
	for (let at = random.integer(400); at < faultPeriodMs; at += random.integer(maxGapMs)) {
		const kind = kinds[random.integer(kinds.length)]!;
		drawn.push({
			kind, at, forMs: Math.min(faultPeriodMs - at, minFaultMs + random.integer(maxFaultMs - minFaultMs)), target: random.integer(targets), variant: random.integer(variants[kind]),
		});
	}

	return drawn;
}
