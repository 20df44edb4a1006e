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
	tokens: number;
};

/** Time after which a report counts for 1/e of its deviation from the usual load of the group. */
const reportAgeMs = 800;
/** Time constant of the latency per token. */
const latencyTimeConstantMs = 1000;
/** Age from which a latency no longer counts; the next request is then a probe. */
const observationAgeMs = 10_000;
const slowStartMs = 10_000;
/** Part of the usual work that an upstream gets at the start of its slow start. */
const slowStartFloor = 0.1;
const firstEjectionMs = 5000;
const lastEjectionMs = 30_000;

/** What one daemon knows about the load of one upstream. */
export class UpstreamLoad {
	/** Upstream whose load this is. */
	readonly upstream: Upstream;
	readonly #ownSamples = new Samples();
	readonly #attempts = new Map<string, Attempt>();
	/** Start times of attempts that have no first token yet, oldest first. */
	readonly #awaiting = new Map<string, number>();
	#own = 0;
	#foreign = 0;
	#reportedAt = -Infinity;
	#msPerToken: number | undefined;
	#observedAt = 0;
	#returnedAt: number;
	#ejectedUntil = -Infinity;
	#ejectionMs = firstEjectionMs;

	constructor(upstream: Upstream, returnedAt: number) {
		this.upstream = upstream;
		this.#returnedAt = returnedAt;
	}

	/** Tokens of this daemon's unfinished attempts. */
	get ownTokens(): number {
		return this.#own;
	}

	/** Tokens of other daemons at the last report. */
	get foreignTokens(): number {
		return this.#foreign;
	}

	/** Smoothed time per generated token; undefined until one was seen. */
	get msPerToken(): number | undefined {
		return this.#msPerToken;
	}

	/** Counts an attempt. */
	start(now: number, attempt: string, {promptTokens, outputTokens}: RequestSize): void {
		this.#awaiting.set(attempt, now);
		this.#attempts.set(attempt, {outputTokens, tokens: promptTokens + outputTokens});
		this.#add(now, promptTokens + outputTokens);
	}

	/** Notes the first token of an attempt, whose prompt has been processed. */
	firstToken(now: number, attempt: string): void {
		this.#awaiting.delete(attempt);
		const counted = this.#attempts.get(attempt);
		if (counted !== undefined) {
			this.#add(now, counted.outputTokens - counted.tokens);
			counted.tokens = counted.outputTokens;
		}
	}

	/** Ends an attempt. */
	finish(now: number, attempt: string): void {
		this.#awaiting.delete(attempt);
		this.#add(now, -(this.#attempts.get(attempt)?.tokens ?? 0));
		this.#attempts.delete(attempt);
	}

	/** Takes a report; the part that own work explains at its time is not counted twice. */
	report({outstandingTokens, measuredAt}: LoadReport): void {
		if (measuredAt > this.#reportedAt) {
			this.#reportedAt = measuredAt;
			this.#foreign = Math.max(0, outstandingTokens - this.#ownSamples.at(measuredAt));
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
		const weight = Math.exp((this.#reportedAt - now) / reportAgeMs);
		return this.#own + (this.#foreign * weight) + (usualForeign * (1 - weight));
	}

	/** Age of the oldest attempt without a first token. */
	oldestAwaitingMs(now: number): number {
		const [oldest] = this.#awaiting.values();
		return oldest === undefined ? 0 : now - oldest;
	}

	/** Part of the usual work that this upstream may get: 0 while ejected, then rising to 1. */
	readiness(now: number): number {
		if (now < this.#ejectedUntil) {
			return 0;
		}

		return Math.min(1, slowStartFloor + ((1 - slowStartFloor) * (now - this.#returnedAt) / slowStartMs));
	}

	/** True while the upstream is out of routing; `now` in milliseconds. */
	isEjected(now: number): boolean {
		return now < this.#ejectedUntil;
	}

	/** Takes the upstream out of routing; each further ejection lasts longer. */
	eject(now: number): void {
		this.#ejectedUntil = now + this.#ejectionMs;
		this.#returnedAt = this.#ejectedUntil;
		this.#ejectionMs = Math.min(lastEjectionMs, this.#ejectionMs * 2);
	}

	/** Forgets latency that is too old to judge by, and earlier ejections after a long time of normal latency. */
	recover(now: number): void {
		const isOld = now - this.#observedAt > observationAgeMs || this.#observedAt < this.#returnedAt;
		if (isOld && !this.isEjected(now)) {
			this.#msPerToken = undefined;
		}

		if (now > this.#returnedAt + (2 * slowStartMs)) {
			this.#ejectionMs = firstEjectionMs;
		}
	}

	/** Keeps an upstream out for longer while its latency is still high. */
	extendEjection(now: number): void {
		this.#ejectedUntil = Math.max(this.#ejectedUntil, now + (firstEjectionMs / 2));
		this.#returnedAt = this.#ejectedUntil;
	}

	#add(now: number, tokens: number): void {
		this.#own += tokens;
		this.#ownSamples.record(now, this.#own);
	}
}
