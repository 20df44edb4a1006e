import {decay} from '../decay.ts';

/** Answers that are expected to be of alike length. */
export type AnswerKind = {
	readonly service: string;
	readonly route: string;
	/** Output tokens that the caller expects; undefined without a hint. */
	readonly hintedTokens: number | undefined;
};

/** Time after which the weight of an answer has fallen to 1/e, in milliseconds. */
const memoryMs = 120_000;
/** Answers for which the mean of a broader group counts in that of a narrower one. */
const priorWeight = 3;
/** Most means that are kept; those that were not observed for longest are dropped. */
const maxMeans = 512;
const maxHintMagnitude = 16;

/** Mean of recent lengths. */
class RecentMean {
	#weight = 0;
	#sum = 0;
	#decayedAt = 0;

	/** Number of recent lengths. */
	weight(now: number): number {
		return this.#weight * this.#keptFraction(now);
	}

	/** Mean in which `prior` counts as some more lengths. */
	mean(now: number, prior = 0, weight = 0): number {
		const kept = this.#keptFraction(now);
		return ((this.#sum * kept) + (prior * weight)) / ((this.#weight * kept) + weight);
	}

	observe(length: number, now: number): void {
		const kept = this.#keptFraction(now);
		this.#weight = (this.#weight * kept) + 1;
		this.#sum = (this.#sum * kept) + length;
		this.#decayedAt = now;
	}

	#keptFraction(now: number): number {
		return decay(this.#decayedAt, now, memoryMs);
	}
}

/**
Learns the mean length of answers in events, by service, route and magnitude of the caller's hint.

A hint only selects the answers that are compared: where hints are wrong, or count something else than events, the answers with
the same hint show it. A mean of few answers is drawn towards that of the route, and this one towards that of the service.
*/
export class AnswerLengths {
	/** The means that were observed last are at the end. */
	readonly #means = new Map<string, RecentMean>();

	/** Number of means that are kept. */
	get size(): number {
		return this.#means.size;
	}

	/** Expected number of events of an answer; undefined if nothing is known of its service. */
	expect(kind: AnswerKind, now: number): number | undefined {
		const [service, ...narrower] = groupKeys(kind);
		const mean = this.#means.get(service);
		if (mean === undefined || mean.weight(now) === 0) {
			return undefined;
		}

		let expected = mean.mean(now);
		for (const key of narrower) {
			expected = this.#means.get(key)?.mean(now, expected, priorWeight) ?? expected;
		}

		return expected;
	}

	/** Records the number of events of an answer that has ended. */
	observe(kind: AnswerKind, events: number, now: number): void {
		for (const key of groupKeys(kind)) {
			const mean = this.#means.get(key) ?? new RecentMean();
			mean.observe(events, now);
			this.#means.delete(key);
			this.#means.set(key, mean);
		}

		while (this.#means.size > maxMeans) {
			this.#means.delete(this.#means.keys().next().value!);
		}
	}
}

/** Keys of the groups of answers that one belongs to, from the broadest to the narrowest. */
function groupKeys({service, route, hintedTokens}: AnswerKind): readonly [string, ...string[]] {
	const keys: [string, ...string[]] = [JSON.stringify([service]), JSON.stringify([service, route])];
	if (hintedTokens !== undefined) {
		keys.push(JSON.stringify([service, route, Math.min(maxHintMagnitude, Math.floor(Math.log2(Math.max(1, hintedTokens))))]));
	}

	return keys;
}
