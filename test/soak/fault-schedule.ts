import {SeededRandom} from '../../src/process/random.ts';

/** Number of variants of each kind of fault. */
const variantCounts = {
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
	upstreamAnswer: 10,
	upstreamLeave: 1,
	configuration: 1,
} as const;

/** A kind of fault. */
export type FaultKind = keyof typeof variantCounts;

/** A scheduled fault; times in milliseconds from the start of the load. */
export type Fault = {
	readonly kind: FaultKind;
	readonly at: number;
	readonly forMs: number;
	/** Index of the daemon or upstream, modulo their number. */
	readonly target: number;
	readonly variant: number;
};

const kinds = Object.keys(variantCounts) as FaultKind[];
const minFaultMs = 200;
const maxFaultMs = 3500;
const targets = 1000;

/** Generates a random schedule of faults that may overlap, two a second on average; the same seed gives the same schedule. */
export function generateFaults(seed: number, faultPeriodMs: number): readonly Fault[] {
	const random = new SeededRandom(seed);
	const drawn: Fault[] = [];
	for (let at = random.integer(400); at < faultPeriodMs; at += random.integer(1000)) {
		const kind = kinds[random.integer(kinds.length)]!;
		drawn.push({
			kind, at, forMs: Math.min(faultPeriodMs - at, minFaultMs + random.integer(maxFaultMs - minFaultMs)), target: random.integer(targets), variant: random.integer(variantCounts[kind]),
		});
	}

	return drawn;
}
