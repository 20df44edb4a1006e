import type {Upstream} from '../../ports/upstream.ts';
import type {ReportedLoad} from '../../ports/upstream-protocol.ts';
import type {SendResult} from '../../request/delivery/upstream-scheduler.ts';
import {updateLatencyRatio} from './latency-ratio.ts';
import {PromptCache} from './prompt-cache.ts';

/** A stated load counts less as it ages and not at all after this time, in milliseconds. */
const statedLoadMaxAgeMs = 500;
/** Weight of the newest observation in moving averages. */
const newestObservationWeight = 0.2;
const minAvoidanceMs = 300;
const maxAvoidanceMs = 4000;
/** An upstream whose connections are refused is gone or restarting; its next heartbeat tells. */
const refusedAvoidanceMs = 2000;
const neverAvoided = Number.NEGATIVE_INFINITY;

/** What this daemon has learnt of one upstream: its own sends, the load it states, and how sends have ended. */
export class UpstreamState {
	readonly cache: PromptCache;
	#upstream: Upstream;
	readonly #tokensByPriority = new Map<number, number>();
	#runs = 0;
	#prefills = 0;
	#stated: {readonly load: ReportedLoad; readonly at: number; readonly ownRuns: number} | undefined;
	#latencyRatio = 1;
	#failureShare = 0;
	#consecutiveFailures = 0;
	#avoidedUntil = neverAvoided;
	/** Heartbeat that must be exceeded before an upstream that was refused or misdirected is used again. */
	#awaitedHeartbeat = neverAvoided;

	constructor(upstream: Upstream, cacheTokens: number) {
		this.#upstream = upstream;
		this.cache = new PromptCache(cacheTokens);
	}

	/** The upstream as last listed. */
	get upstream(): Upstream {
		return this.#upstream;
	}

	/** Own requests that run or wait there. */
	get runs(): number {
		return this.#runs;
	}

	/** Tokens of own prompts that are being read there, by priority. */
	get tokensByPriority(): ReadonlyMap<number, number> {
		return this.#tokensByPriority;
	}

	/** Time that work takes relative to what was predicted. */
	get latencyRatio(): number {
		return this.#latencyRatio;
	}

	/** Moving average of the share of sends that failed. */
	get failureShare(): number {
		return this.#failureShare;
	}

	/** Takes a newer entry of the list. */
	update(upstream: Upstream): void {
		const isRestarted = upstream.startedAt !== this.#upstream.startedAt;
		if (isRestarted || upstream.stage !== this.#upstream.stage) {
			this.#latencyRatio = 1;
			this.#stated = undefined;
		}

		if (isRestarted) {
			this.cache.clear();
			this.#consecutiveFailures = 0;
			this.#avoidedUntil = neverAvoided;
			this.#awaitedHeartbeat = neverAvoided;
		}

		this.#upstream = upstream;
	}

	/** True while the upstream is used only if there is no other one. */
	isAvoided(now: number): boolean {
		return now < this.#avoidedUntil || this.isUnreachable;
	}

	/** True while the address is refused or belongs to another upstream, as far as is known. */
	get isUnreachable(): boolean {
		return this.#upstream.heartbeatCount <= this.#awaitedHeartbeat;
	}

	/** Requests of others that run or wait there, as far as a recent answer told. */
	peerRuns(now: number): number {
		if (this.#stated === undefined) {
			return 0;
		}

		const {load, at, ownRuns} = this.#stated;
		const weight = Math.max(0, 1 - ((now - at) / statedLoadMaxAgeMs));
		return Math.max(0, load.running + load.waiting - ownRuns) * weight;
	}

	/** How long work takes on the upstream's host at the moment, relative to the usual 1. */
	slowness(now: number): number {
		if (this.#stated === undefined) {
			return 1;
		}

		const weight = Math.max(0, 1 - ((now - this.#stated.at) / statedLoadMaxAgeMs));
		return 1 + ((this.#stated.load.slowdownFactor - 1) * weight);
	}

	/** Takes the load that an answer states. */
	observe(load: ReportedLoad, now: number): void {
		this.#stated = {load, at: now, ownRuns: this.#runs + this.#prefills};
	}

	/** Counts a run; the result is to be called at its end. */
	beginRun(predictedMs: number): (end: SendResult, now: number) => void {
		this.#runs += 1;
		return (end, now) => {
			this.#runs -= 1;
			this.#recordOutcome(end, predictedMs, now, false);
		};
	}

	/** Counts a prompt that is being read; the result is to be called at its end. */
	beginPrefill(tokens: number, priority: number, predictedMs: number): (end: SendResult, now: number) => void {
		this.#prefills += 1;
		this.#addTokens(priority, tokens);
		return (end, now) => {
			this.#prefills -= 1;
			this.#addTokens(priority, -tokens);
			this.#recordOutcome(end, predictedMs, now, true);
		};
	}

	#addTokens(priority: number, tokens: number): void {
		const sum = (this.#tokensByPriority.get(priority) ?? 0) + tokens;
		// Rounding may leave a fraction of a token.
		if (sum < 1) {
			this.#tokensByPriority.delete(priority);
		} else {
			this.#tokensByPriority.set(priority, sum);
		}
	}

	#recordOutcome({kind, elapsedMs, load}: SendResult, predictedMs: number, now: number, isPaced: boolean): void {
		if (load !== undefined) {
			this.observe(load, now);
		}

		switch (kind) {
			case 'served': {
				this.#consecutiveFailures = 0;
				this.#failureShare *= 1 - newestObservationWeight;
				if (isPaced) {
					this.#latencyRatio = updateLatencyRatio(this.#latencyRatio, elapsedMs, predictedMs);
				}

				return;
			}

			case 'failed': {
				// A failure of the upstream's own is a property of the request as often as of the upstream.
				this.#failureShare += (1 - this.#failureShare) * newestObservationWeight;
				return;
			}

			case 'cancelled': {
				return;
			}

			case 'misdirected':
			case 'refused': {
				this.#awaitedHeartbeat = this.#upstream.heartbeatCount;
				this.#avoidedUntil = Math.max(this.#avoidedUntil, now + (kind === 'refused' ? refusedAvoidanceMs : 0));
				return;
			}

			case 'rejected':
			case 'unreachable':
			case 'lost':
			case 'silent': {
				this.#consecutiveFailures += 1;
				this.#failureShare += (1 - this.#failureShare) * newestObservationWeight;
				const avoidanceMs = Math.min(maxAvoidanceMs, minAvoidanceMs * (2 ** (this.#consecutiveFailures - 1)));
				this.#avoidedUntil = Math.max(this.#avoidedUntil, now + avoidanceMs);
			}
		}
	}
}
