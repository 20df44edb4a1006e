import {SeededRandom} from '../../src/process/random.ts';

/** Number of variants of each kind of fault. */
const faults = {
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
export type FaultKind = keyof typeof faults;

/** A scheduled fault; times in milliseconds from the start of the load. */
export type Fault = {
	readonly kind: FaultKind;
	readonly at: number;
	readonly forMs: number;
	/** Index of the daemon or upstream, modulo their number. */
	readonly target: number;
	readonly variant: number;
};

const kinds = Object.keys(faults) as FaultKind[];
const shortestMs = 200;
const longestMs = 3500;
const targets = 1000;

/** Generates a random schedule of faults that may overlap, two a second on average; the same seed gives the same schedule. */
export function drawFaults(seed: number, lengthMs: number): readonly Fault[] {
	const random = new SeededRandom(seed);
	const drawn: Fault[] = [];
	for (let at = random.integer(400); at < lengthMs; at += random.integer(1000)) {
		const kind = kinds[random.integer(kinds.length)]!;
		drawn.push({
			kind, at, forMs: Math.min(lengthMs - at, shortestMs + random.integer(longestMs - shortestMs)), target: random.integer(targets), variant: random.integer(faults[kind]),
		});
	}

	return drawn;
}
