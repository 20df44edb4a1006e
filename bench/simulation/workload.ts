import {SeededRandom, type Random} from '../../src/process/random.ts';
import type {SimulatedRequest} from './scenario.ts';

/** Size of a request. */
export type RequestShape = {
	readonly promptTokens: number;
	readonly outputTokens: number;
};

/** Description of one customer's requests, which arrive at exponentially distributed intervals. */
export type RequestSource = {
	readonly customer: string;
	readonly workClass?: 'live' | 'patient';
	/** Model or plain service that the requests are for. @default 'model' */
	readonly group?: string;
	readonly fromMs: number;
	readonly toMs: number;
	/** Mean arrival rate at a time, in requests per second. */
	readonly rate: (at: number) => number;
	/** Draws the size of a request that arrives at a time. */
	readonly shape: (at: number, random: Random) => RequestShape;
	/** Number of distinct prompt prefixes that the requests share; with 0, none has a prefix. @default 0 */
	readonly prefixCount?: number;
	/** Fraction of the prompt that is the shared prefix. @default 0.5 */
	readonly prefixFraction?: number;
};

/** Creates the requests of all sources, ordered by arrival, each at a random daemon. The same seed gives the same requests. */
export function createRequests(seed: number, daemons: number, sources: readonly RequestSource[]): readonly SimulatedRequest[] {
	const requests = sources.flatMap((source, index) => createSourceRequests(new SeededRandom(seed + (1000 * (index + 1))), daemons, source, index));
	return requests.toSorted((a, b) => a.at - b.at);
}

function createSourceRequests(random: Random, daemons: number, source: RequestSource, index: number): readonly SimulatedRequest[] {
	const {customer, workClass = 'live', group = 'model', fromMs, toMs, rate, shape, prefixCount = 0, prefixFraction = 0.5} = source;
	const requests: SimulatedRequest[] = [];
	for (let at = fromMs + drawArrivalGapMs(random, rate(fromMs)); at < toMs; at += drawArrivalGapMs(random, rate(at))) {
		const size = shape(at, random);
		const prefix = prefixCount === 0
			? {}
			: {
				prefix: `${customer}-${random.integer(prefixCount)}`, prefixTokens: Math.floor(size.promptTokens * prefixFraction),
			};
		requests.push({
			id: `${index}-${requests.length}`, at, daemonIndex: random.integer(daemons), customer, workClass, group, ...size, ...prefix,
		});
	}

	return requests;
}

/** Draws a token count from a truncated exponential distribution, from a third of the given mean to about 2.7 times it. */
export function drawTokenCount(random: Random, mean: number): number {
	return Math.max(1, Math.round(mean * (0.33 + (0.67 * -Math.log(1 - (random.next() * 0.97))))));
}

function drawArrivalGapMs(random: Random, perSecond: number): number {
	return -Math.log(1 - random.next()) * 1000 / Math.max(perSecond, 0.001);
}
