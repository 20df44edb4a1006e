import type {Upstream} from '../../ports/upstream.ts';
import type {ReportedLoad} from '../../ports/upstream-protocol.ts';
import type {SendResult} from '../../request/delivery/upstream-scheduler.ts';
import {ArrivalRate} from '../placement/arrival-rate.ts';
import {sharedObservationWeight, updateLatencyRatio} from './latency-ratio.ts';
import {PromptCache, type PromptCacheListener} from './prompt-cache.ts';

/** Age at which the load reported by an upstream no longer counts, in milliseconds; its weight falls linearly until then. */
const statedLoadMaxAgeMs = 500;
/** Weight of the newest observation in the moving average of failures. */
const newestObservationWeight = 0.2;
/** Bounds of the exponential backoff after consecutive failures, in milliseconds. */
const minAvoidanceMs = 300;
const maxAvoidanceMs = 4000;
/** Longest time for which an upstream is avoided that another daemon or an order made unavailable, in milliseconds. */
const maxAnnouncedAvoidanceMs = 10_000;
/** Time for which an upstream that refuses connections is avoided, in milliseconds; it is gone or restarting, which its next heartbeat shows. */
const refusedAvoidanceMs = 2000;
/** Time after which an upstream counts as reachable again even without a newer heartbeat, in milliseconds; daemons that follow others learn of heartbeats only with other changes. */
const maxUnreachableMs = 4000;
const neverAvoided = Number.NEGATIVE_INFINITY;

/** State of one upstream as known to this daemon: the daemon's own sends, the load that the upstream reports, and the outcomes of sends. */
export class UpstreamState {
	readonly cache: PromptCache;
	/** Prompts that other daemons send to the upstream. */
	readonly arrivals = new ArrivalRate();
	#upstream: Upstream;
	readonly #tokensByPriority = new Map<number, number>();
	#runs = 0;
	#prefills = 0;
	#stated: {readonly load: ReportedLoad; readonly at: number; readonly ownRuns: number} | undefined;
	#latencyRatio = 1;
	#stepRatio = 1;
	#failureFraction = 0;
	#consecutiveFailures = 0;
	#avoidedUntil = neverAvoided;
	/** Heartbeat that a new registry entry must exceed before the upstream counts as reachable again after a refused or misdirected send. */
	#awaitedHeartbeat = neverAvoided;
	#unreachableUntil = neverAvoided;

	constructor(upstream: Upstream, cacheTokens: number, cacheListener?: PromptCacheListener) {
		this.#upstream = upstream;
		this.cache = new PromptCache(cacheTokens, cacheListener);
	}

	/** Latest registry entry of the upstream. */
	get upstream(): Upstream {
		return this.#upstream;
	}

	/** This daemon's requests that run or wait at the upstream, without prefills. */
	get runs(): number {
		return this.#runs;
	}

	/** Weighted tokens of this daemon's prefills at the upstream, by rank. */
	get tokensByPriority(): ReadonlyMap<number, number> {
		return this.#tokensByPriority;
	}

	/** Ratio of measured to predicted prefill latency. */
	get latencyRatio(): number {
		return this.#latencyRatio;
	}

	/** Ratio of the time between events of this upstream to the mean of its service. */
	get stepRatio(): number {
		return this.#stepRatio;
	}

	/** Moving average of the fraction of sends that failed. */
	get failureFraction(): number {
		return this.#failureFraction;
	}

	/** Applies a newer registry entry. */
	update(upstream: Upstream): void {
		const isRestarted = upstream.startedAt !== this.#upstream.startedAt;
		if (isRestarted || upstream.stage !== this.#upstream.stage) {
			this.#latencyRatio = 1;
			this.#stated = undefined;
			this.#avoidedUntil = neverAvoided;
		}

		if (isRestarted) {
			this.#stepRatio = 1;
			this.cache.clear();
			this.#consecutiveFailures = 0;
			this.#awaitedHeartbeat = neverAvoided;
		}

		this.#upstream = upstream;
	}

	/** True while the upstream must be used only if there is no other. */
	isAvoided(now: number): boolean {
		return now < this.#avoidedUntil || this.isUnreachable(now);
	}

	/** True after the upstream's address refused connections or belonged to another upstream, until a newer heartbeat or for a limited time. */
	isUnreachable(now: number): boolean {
		return this.#upstream.heartbeatCount <= this.#awaitedHeartbeat && now < this.#unreachableUntil;
	}

	/** Requests of other daemons that run or wait at the upstream, according to its latest response; the weight falls with its age. */
	peerRuns(now: number): number {
		if (this.#stated === undefined) {
			return 0;
		}

		const {load, at, ownRuns} = this.#stated;
		const weight = Math.max(0, 1 - ((now - at) / statedLoadMaxAgeMs));
		return Math.max(0, load.running + load.waiting - ownRuns) * weight;
	}

	/** Current slowdown of the upstream's host as it reports it; 1 is normal. */
	slowness(now: number): number {
		if (this.#stated === undefined) {
			return 1;
		}

		const weight = Math.max(0, 1 - ((now - this.#stated.at) / statedLoadMaxAgeMs));
		return 1 + ((this.#stated.load.slowdownFactor - 1) * weight);
	}

	/** Records the load reported with a response. */
	observe(load: ReportedLoad, now: number): void {
		this.#stated = {load, at: now, ownRuns: this.#runs + this.#prefills};
	}

	/** Time for which other upstreams are preferred, in milliseconds. */
	avoidedMs(now: number): number {
		return Math.max(0, this.#avoidedUntil - now);
	}

	/** Learns the relative speed of the upstream from a prefill that any daemon has seen end; `predictedMs` was predicted with the current ratio. */
	learnSpeed(elapsedMs: number, predictedMs: number): void {
		this.#latencyRatio = updateLatencyRatio(this.#latencyRatio, elapsedMs, predictedMs, sharedObservationWeight);
	}

	/** Learns the relative decode speed of the upstream from the time between the events of an answer. */
	learnStep(eventMs: number, meanEventMs: number): void {
		this.#stepRatio = updateLatencyRatio(this.#stepRatio, eventMs, meanEventMs * this.#stepRatio, sharedObservationWeight);
	}

	/** Prefers other upstreams for a given time, in milliseconds. */
	avoidFor(durationMs: number, now: number): void {
		this.#avoidedUntil = Math.max(this.#avoidedUntil, now + Math.min(maxAnnouncedAvoidanceMs, durationMs));
	}

	/** Prefers other upstreams for a time that doubles with each consecutive failure. */
	avoid(now: number): void {
		this.#consecutiveFailures += 1;
		const avoidanceMs = Math.min(maxAvoidanceMs, minAvoidanceMs * (2 ** (this.#consecutiveFailures - 1)));
		this.#avoidedUntil = Math.max(this.#avoidedUntil, now + avoidanceMs);
	}

	/** Counts a run; the returned function must be called when it ends. */
	beginRun(predictedMs: number): (end: SendResult, now: number) => void {
		this.#runs += 1;
		return (end, now) => {
			this.#runs -= 1;
			this.#recordOutcome(end, predictedMs, now, false);
		};
	}

	/** Counts a prefill; the returned function must be called when it ends. */
	beginPrefill(tokens: number, priority: number, predictedMs: number): (end: SendResult, now: number) => void {
		this.#prefills += 1;
		this.#addTokens(priority, tokens);
		return (end, now) => {
			this.#prefills -= 1;
			this.#addTokens(priority, -tokens);
			this.#recordOutcome(end, predictedMs, now, true);
		};
	}

	/** Counts a run whose prompt the upstream prefills itself; `finishPrefill` must be called with its first event, if there is one, and `finish` when it ends. */
	beginWhole(tokens: number, priority: number, predictedMs: number, startedAt: number): {readonly finishPrefill: (now: number) => void; readonly finish: (end: SendResult, now: number) => void} {
		const finishRun = this.beginRun(predictedMs);
		this.#addTokens(priority, tokens);
		let isPrefilled = false;
		const endPrefill = () => {
			if (!isPrefilled) {
				isPrefilled = true;
				this.#addTokens(priority, -tokens);
			}
		};

		return {
			finishPrefill: now => {
				if (!isPrefilled) {
					this.#latencyRatio = updateLatencyRatio(this.#latencyRatio, now - startedAt, predictedMs);
				}

				endPrefill();
			},
			finish(end, now) {
				endPrefill();
				finishRun(end, now);
			},
		};
	}

	#addTokens(priority: number, tokens: number): void {
		const sum = (this.#tokensByPriority.get(priority) ?? 0) + tokens;
		// Floating-point rounding may leave a fraction of a token.
		if (sum < 1) {
			this.#tokensByPriority.delete(priority);
		} else {
			this.#tokensByPriority.set(priority, sum);
		}
	}

	#recordOutcome({kind, elapsedMs, load}: SendResult, predictedMs: number, now: number, isPrefill: boolean): void {
		if (load !== undefined) {
			this.observe(load, now);
		}

		switch (kind) {
			case 'served': {
				this.#consecutiveFailures = 0;
				this.#failureFraction *= 1 - newestObservationWeight;
				if (isPrefill) {
					this.#latencyRatio = updateLatencyRatio(this.#latencyRatio, elapsedMs, predictedMs);
				}

				return;
			}

			case 'failed': {
				// An error response is caused by the request as often as by the upstream, so the upstream is not avoided.
				this.#failureFraction += (1 - this.#failureFraction) * newestObservationWeight;
				return;
			}

			case 'cancelled': {
				return;
			}

			case 'misdirected':
			case 'refused': {
				this.#awaitedHeartbeat = this.#upstream.heartbeatCount;
				this.#unreachableUntil = now + maxUnreachableMs;
				this.#avoidedUntil = Math.max(this.#avoidedUntil, now + (kind === 'refused' ? refusedAvoidanceMs : 0));
				return;
			}

			case 'rejected':
			case 'unreachable':
			case 'lost':
			case 'silent': {
				this.#failureFraction += (1 - this.#failureFraction) * newestObservationWeight;
				this.avoid(now);
			}
		}
	}
}
