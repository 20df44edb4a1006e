import {Samples} from './samples.ts';

/** An upstream that the daemon may route to. */
export type Upstream = {
	readonly id: string;
	readonly availabilityZone: string;
	/** Model of an engine, or name of a plain service. */
	readonly group: string;
};

/** Outstanding work as an upstream reported it. */
export type LoadReport = {
	readonly outstandingTokens: number;
	/** Time at which the upstream measured it, in milliseconds of the daemon's clock. */
	readonly measuredAt: number;
};

/** Size of a request in tokens. */
export type RequestSize = {
	readonly promptTokens: number;
	/** Expected length of the answer. */
	readonly outputTokens: number;
};

/** Tokens of an attempt that are outstanding. */
type Attempt = {
	readonly outputTokens: number;
	outstandingTokens: number;
};

/** Time after which a report counts for 1/e of its deviation from the usual load of the group. */
const reportDecayMs = 800;
/** Time constant of the latency per token. */
const latencyTimeConstantMs = 1000;
/** Age from which a latency no longer counts; the next request is then a probe. */
const maxObservationAgeMs = 10_000;
const slowStartMs = 10_000;
/** Part of the usual work that an upstream gets at the start of its slow start. */
const initialSlowStartFraction = 0.1;
const minEjectionMs = 5000;
const maxEjectionMs = 30_000;

/** What one daemon knows about the load of one upstream. */
export class UpstreamLoad {
	/** Upstream whose load this is. */
	readonly upstream: Upstream;
	readonly #ownSamples = new Samples();
	readonly #attempts = new Map<string, Attempt>();
	/** Start times of attempts that have no first token yet, oldest first. */
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

	/** Tokens of this daemon's unfinished attempts. */
	get ownTokens(): number {
		return this.#ownTokens;
	}

	/** Tokens of other daemons at the last report. */
	get peerTokens(): number {
		return this.#peerTokens;
	}

	/** Smoothed time per generated token; undefined until one was seen. */
	get msPerToken(): number | undefined {
		return this.#msPerToken;
	}

	/** Counts an attempt. */
	start(now: number, attempt: string, {promptTokens, outputTokens}: RequestSize): void {
		this.#awaitingFirstToken.set(attempt, now);
		this.#attempts.set(attempt, {outputTokens, outstandingTokens: promptTokens + outputTokens});
		this.#addTokens(now, promptTokens + outputTokens);
	}

	/** Notes the first token of an attempt, whose prompt has been processed. */
	firstToken(now: number, attempt: string): void {
		this.#awaitingFirstToken.delete(attempt);
		const counted = this.#attempts.get(attempt);
		if (counted !== undefined) {
			this.#addTokens(now, counted.outputTokens - counted.outstandingTokens);
			counted.outstandingTokens = counted.outputTokens;
		}
	}

	/** Ends an attempt. */
	finish(now: number, attempt: string): void {
		this.#awaitingFirstToken.delete(attempt);
		this.#addTokens(now, -(this.#attempts.get(attempt)?.outstandingTokens ?? 0));
		this.#attempts.delete(attempt);
	}

	/** Takes a report; the part that own work explains at its time is not counted twice. */
	applyReport({outstandingTokens, measuredAt}: LoadReport): void {
		if (measuredAt > this.#reportedAt) {
			this.#reportedAt = measuredAt;
			this.#peerTokens = Math.max(0, outstandingTokens - this.#ownSamples.at(measuredAt));
		}
	}

	/** Takes the time in which streams of this upstream generated tokens. */
	observe(now: number, tokens: number, streamMs: number): void {
		if (streamMs <= 0) {
			return;
		}

		const observed = streamMs / Math.max(tokens, 0.5);
		const weight = Math.min(1, (now - this.#observedAt + 50) / latencyTimeConstantMs);
		this.#msPerToken = this.#msPerToken === undefined ? observed : this.#msPerToken + ((observed - this.#msPerToken) * weight);
		this.#observedAt = now;
	}

	/** Estimated outstanding tokens of all daemons; old reports fade into the usual load of the group. */
	tokens(now: number, usualForeign: number): number {
		const weight = Math.exp((this.#reportedAt - now) / reportDecayMs);
		return this.#ownTokens + (this.#peerTokens * weight) + (usualForeign * (1 - weight));
	}

	/** Age of the oldest attempt without a first token. */
	oldestFirstTokenWaitMs(now: number): number {
		const [oldest] = this.#awaitingFirstToken.values();
		return oldest === undefined ? 0 : now - oldest;
	}

	/** Part of the usual work that this upstream may get: 0 while ejected, then rising to 1. */
	readiness(now: number): number {
		if (now < this.#ejectedUntil) {
			return 0;
		}

		return Math.min(1, initialSlowStartFraction + ((1 - initialSlowStartFraction) * (now - this.#returnedAt) / slowStartMs));
	}

	/** True while the upstream is out of routing; `now` in milliseconds. */
	isEjected(now: number): boolean {
		return now < this.#ejectedUntil;
	}

	/** Takes the upstream out of routing; each further ejection lasts longer. */
	eject(now: number): void {
		this.#ejectedUntil = now + this.#ejectionMs;
		this.#returnedAt = this.#ejectedUntil;
		this.#ejectionMs = Math.min(maxEjectionMs, this.#ejectionMs * 2);
	}

	/** Forgets latency that is too old to judge by, and earlier ejections after a long time of normal latency. */
	expireObservations(now: number): void {
		const isOld = now - this.#observedAt > maxObservationAgeMs || this.#observedAt < this.#returnedAt;
		if (isOld && !this.isEjected(now)) {
			this.#msPerToken = undefined;
		}

		if (now > this.#returnedAt + (2 * slowStartMs)) {
			this.#ejectionMs = minEjectionMs;
		}
	}

	/** Keeps an upstream out for longer while its latency is still high. */
	extendEjection(now: number): void {
		this.#ejectedUntil = Math.max(this.#ejectedUntil, now + (minEjectionMs / 2));
		this.#returnedAt = this.#ejectedUntil;
	}

	#addTokens(now: number, tokens: number): void {
		this.#ownTokens += tokens;
		this.#ownSamples.record(now, this.#ownTokens);
	}
}
