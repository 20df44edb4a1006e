import {Samples} from './samples.ts';

/** An upstream that the daemon may route to. */
export type Upstream = {
	readonly id: string;
	readonly availabilityZone: string;
	/** Model of an engine, or name of a plain service. */
	readonly group: string;
};

/** Outstanding work as reported by an upstream. */
export type LoadReport = {
	readonly outstandingTokens: number;
	/** Time of the measurement on the daemon's clock, in milliseconds. */
	readonly measuredAt: number;
};

/** Size of a request in tokens. */
export type RequestSize = {
	readonly promptTokens: number;
	/** Expected number of generated tokens. */
	readonly outputTokens: number;
};

/** Outstanding work of an attempt. */
type Attempt = {
	readonly outputTokens: number;
	/** Tokens still to be processed; only the output after the first token. */
	outstandingTokens: number;
};

/** Age at which the weight of a report has decayed to 1/e; the rest of the estimate is the median load of the group. */
const reportDecayMs = 800;
/** Time constant of the smoothed latency per token. */
const latencyTimeConstantMs = 1000;
/** Age above which an observed latency is discarded; the next request then probes the upstream. */
const maxObservationAgeMs = 10_000;
const slowStartMs = 10_000;
/** Fraction of the normal load that an upstream gets at the beginning of its slow start. */
const initialSlowStartFraction = 0.1;
/** Duration of the first ejection; it doubles with each further one up to the limit below. */
const minEjectionMs = 5000;
const maxEjectionMs = 30_000;

/** Load of one upstream as known to one daemon. */
export class UpstreamLoad {
	readonly upstream: Upstream;
	readonly #ownSamples = new Samples();
	readonly #attempts = new Map<string, Attempt>();
	/** Start times of attempts without a first token, oldest first. */
	readonly #awaitingFirstToken = new Map<string, number>();
	#ownTokens = 0;
	#peerTokens = 0;
	#reportedAt = -Infinity;
	#msPerToken: number | undefined;
	#observedAt = 0;
	#returnedAt: number;
	#ejectedUntil = -Infinity;
	#ejectionMs = minEjectionMs;

	constructor(upstream: Upstream, returnedAt: number) {
		this.upstream = upstream;
		this.#returnedAt = returnedAt;
	}

	/** Outstanding tokens of this daemon's attempts. */
	get ownTokens(): number {
		return this.#ownTokens;
	}

	/** Outstanding tokens of other daemons according to the latest report. */
	get peerTokens(): number {
		return this.#peerTokens;
	}

	/** Smoothed time per generated token, in milliseconds; undefined without a recent observation. */
	get msPerToken(): number | undefined {
		return this.#msPerToken;
	}

	/** Records the start of an attempt. */
	start(now: number, attempt: string, {promptTokens, outputTokens}: RequestSize): void {
		this.#awaitingFirstToken.set(attempt, now);
		this.#attempts.set(attempt, {outputTokens, outstandingTokens: promptTokens + outputTokens});
		this.#addTokens(now, promptTokens + outputTokens);
	}

	/** Records the first token of an attempt, which means that its prompt has been processed. */
	firstToken(now: number, attempt: string): void {
		this.#awaitingFirstToken.delete(attempt);
		const counted = this.#attempts.get(attempt);
		if (counted !== undefined) {
			this.#addTokens(now, counted.outputTokens - counted.outstandingTokens);
			counted.outstandingTokens = counted.outputTokens;
		}
	}

	/** Records the end of an attempt. */
	finish(now: number, attempt: string): void {
		this.#awaitingFirstToken.delete(attempt);
		this.#addTokens(now, -(this.#attempts.get(attempt)?.outstandingTokens ?? 0));
		this.#attempts.delete(attempt);
	}

	/** Applies a report; this daemon's own work at the time of the measurement is subtracted, so that it is not counted twice. */
	applyReport({outstandingTokens, measuredAt}: LoadReport): void {
		if (measuredAt > this.#reportedAt) {
			this.#reportedAt = measuredAt;
			this.#peerTokens = Math.max(0, outstandingTokens - this.#ownSamples.at(measuredAt));
		}
	}

	/** Records the time in which streams of this upstream generated a number of tokens. */
	observe(now: number, tokens: number, streamMs: number): void {
		if (streamMs <= 0) {
			return;
		}

		const observed = streamMs / Math.max(tokens, 0.5);
		const weight = Math.min(1, (now - this.#observedAt + 50) / latencyTimeConstantMs);
		this.#msPerToken = this.#msPerToken === undefined ? observed : this.#msPerToken + ((observed - this.#msPerToken) * weight);
		this.#observedAt = now;
	}

	/** Estimates the outstanding tokens of all daemons; as a report ages, the group's median replaces it. */
	tokens(now: number, medianPeerTokens: number): number {
		const weight = Math.exp((this.#reportedAt - now) / reportDecayMs);
		return this.#ownTokens + (this.#peerTokens * weight) + (medianPeerTokens * (1 - weight));
	}

	/** Time for which the oldest attempt without a first token has waited, in milliseconds. */
	oldestFirstTokenWaitMs(now: number): number {
		const [oldest] = this.#awaitingFirstToken.values();
		return oldest === undefined ? 0 : now - oldest;
	}

	/** Fraction of the normal load that this upstream may get: 0 while ejected, then rising to 1 during the slow start. */
	readiness(now: number): number {
		if (now < this.#ejectedUntil) {
			return 0;
		}

		return Math.min(1, initialSlowStartFraction + ((1 - initialSlowStartFraction) * (now - this.#returnedAt) / slowStartMs));
	}

	/** True while the upstream is ejected from routing; `now` is in milliseconds. */
	isEjected(now: number): boolean {
		return now < this.#ejectedUntil;
	}

	/** Ejects the upstream from routing; each further ejection lasts twice as long, up to a limit. */
	eject(now: number): void {
		this.#ejectedUntil = now + this.#ejectionMs;
		this.#returnedAt = this.#ejectedUntil;
		this.#ejectionMs = Math.min(maxEjectionMs, this.#ejectionMs * 2);
	}

	/** Discards an outdated latency, and resets the ejection time after a long period without ejections. */
	expireObservations(now: number): void {
		const isOld = now - this.#observedAt > maxObservationAgeMs || this.#observedAt < this.#returnedAt;
		if (isOld && !this.isEjected(now)) {
			this.#msPerToken = undefined;
		}

		if (now > this.#returnedAt + (2 * slowStartMs)) {
			this.#ejectionMs = minEjectionMs;
		}
	}

	/** Extends the ejection while the latency is still high. */
	extendEjection(now: number): void {
		this.#ejectedUntil = Math.max(this.#ejectedUntil, now + (minEjectionMs / 2));
		this.#returnedAt = this.#ejectedUntil;
	}

	#addTokens(now: number, tokens: number): void {
		this.#ownTokens += tokens;
		this.#ownSamples.record(now, this.#ownTokens);
	}
}
